package memory

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/ident"
)

func TestReservationsNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacityMB = 100
		r := New(capacityMB)
		want := make(map[Key]int64)
		key := func() Key {
			return Key{Model: ident.Model(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")), Adapter: ident.Adapter(rapid.SampledFrom([]string{"", "x"}).Draw(t, "adapter"))}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				var sum int64
				for _, mb := range want {
					sum += mb
				}
				if r.UsedMB() != sum || r.FreeMB() != capacityMB-sum || sum > capacityMB {
					t.Fatalf("used %d, free %d, want used %d of %d", r.UsedMB(), r.FreeMB(), sum, capacityMB)
				}
			},
			"reserve": func(t *rapid.T) {
				k, mb := key(), rapid.Int64Range(0, capacityMB+1).Draw(t, "mb")
				free, reserved := r.FreeMB(), r.ReservedMB(k)
				err := r.Reserve(k, mb)
				var insufficient *InsufficientMemoryError
				if fits := mb-reserved <= free; (err == nil) != fits || (err != nil && !errors.As(err, &insufficient)) {
					t.Fatalf("reserve %d MiB with %d reserved and %d free: %v", mb, reserved, free, err)
				}
				if err == nil {
					want[k] = max(reserved, mb)
				}
			},
			"free": func(t *rapid.T) {
				k := key()
				r.Release(k)
				delete(want, k)
			},
		})
	})
}

func TestRecordedMemoryMayExceedCapacity(t *testing.T) {
	r := New(10)
	r.RecordUsed(Key{Model: "a"}, 15)
	if r.FreeMB() != 0 || r.UsedMB() != 15 {
		t.Errorf("free %d, used %d", r.FreeMB(), r.UsedMB())
	}
	if err := r.Reserve(Key{Model: "b"}, 1); err == nil {
		t.Error("reservation above the capacity succeeded")
	}
}
