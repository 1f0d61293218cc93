package main

import "testing"

func TestSeriesComparesTotalWithBudget(t *testing.T) {
	s := series{SizeName: "models", Xs: []float64{1, 2, 3, 4}, Ys: []float64{3, 5, 7, 9}, TargetSize: 8, Count: 10, CountOf: "routers", Rate: 2, Budget: 170}
	l := fit(s.Xs, s.Ys)
	if got := s.total(l); got != 340 || s.verdict(got) != "over" {
		t.Fatalf("value %v, %s", got, s.verdict(got))
	}
	if got, of := s.budgetReachedAt(l); got != 5 || of != "routers" {
		t.Fatalf("budget reached at %v %s", got, of)
	}
	s.Count, s.CountOf, s.Rate = 0, "", 0
	if got, of := s.budgetReachedAt(l); got != 84.5 || of != "models" {
		t.Fatalf("budget reached at %v %s", got, of)
	}
	if got := s.total(l); got != 17 || s.verdict(got) != "within" {
		t.Fatalf("value %v, %s", got, s.verdict(got))
	}
}
