package main

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestFitFindsLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope := rapid.Float64Range(0.1, 100).Draw(t, "slope")
		intercept := rapid.Float64Range(-100, 100).Draw(t, "intercept")
		xs := []float64{1, 2, 4, 8, 16}
		ys := make([]float64, len(xs))
		for i, x := range xs {
			ys[i] = intercept + slope*x
		}
		l := fit(xs, ys)
		if math.Abs(l.slope-slope) > 1e-6 || math.Abs(l.valueAt(32)-(intercept+32*slope)) > 1e-4 || l.r2 < 0.999 {
			t.Fatalf("got %+v", l)
		}
		if x := l.xFor(l.valueAt(50)); math.Abs(x-50) > 1e-3 {
			t.Fatalf("x for the value at 50 is %v", x)
		}
	})
}

func TestFitOfNoiseIsPoor(t *testing.T) {
	if l := fit([]float64{1, 2, 3, 4}, []float64{5, -5, 5, -5}); l.r2 > 0.5 {
		t.Fatalf("got %+v", l)
	}
}

func TestFlatLineHasNoXForOtherValues(t *testing.T) {
	l := fit([]float64{1, 2, 3, 4}, []float64{7, 7, 7, 7})
	if l.slope != 0 || l.r2 != 1 || l.xFor(8) != 0 {
		t.Fatalf("got %+v", l)
	}
}
