package routing

import (
	"testing"
	"time"
)

func TestCrossRegionVolume(t *testing.T) {
	v, err := NewCrossRegionVolume(CrossRegionVolumeOptions{BytesPerSecond: 1000, BurstBytes: 500})
	if err != nil {
		t.Fatal(err)
	}
	if !v.Allows(start, "e") {
		t.Fatal("no crossing allowed initially")
	}
	v.Add(start, "e", 2500)
	tests := []struct {
		after time.Duration
		want  bool
	}{{0, false}, {1900 * time.Millisecond, false}, {2100 * time.Millisecond, true}}
	for _, tt := range tests {
		if got := v.Allows(start.Add(tt.after), "e"); got != tt.want {
			t.Errorf("Allows after %v = %v, want %v", tt.after, got, tt.want)
		}
	}
	if !v.Allows(start, "other") || v.Bytes("e") != 2500 || v.Bytes("other") != 0 {
		t.Errorf("environments are not counted separately: %d, %d", v.Bytes("e"), v.Bytes("other"))
	}
}
