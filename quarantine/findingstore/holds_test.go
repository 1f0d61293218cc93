package findingstore

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/quarantine"
)

func TestQuarantinesOutliveProcesses(t *testing.T) {
	ctx, s, now := t.Context(), memstore.New(memstore.Options{}), time.Unix(1000, 0)
	h := quarantine.Hold{Trait: 0xbad0, At: now, Until: now.Add(quarantine.DefaultHoldTime)}
	for range 2 {
		if err := SaveHold(ctx, s, h); err != nil {
			t.Fatal(err)
		}
	}
	for _, key := range []string{holdPrefix + "nonsense", holdPrefix + "1"} {
		if _, err := s.Put(ctx, key, []byte(`"x"`), 0); err != nil {
			t.Fatal(err)
		}
	}
	holds, skipped, err := LoadHolds(ctx, s, now.Add(time.Minute))
	if err != nil || len(holds) != 1 || holds[0].Trait != h.Trait || !holds[0].Until.Equal(h.Until) || len(skipped) != 2 {
		t.Errorf("holds %+v, skipped %v, error %v", holds, skipped, err)
	}
	// A part that is quarantined again lasts longer.
	later := quarantine.Hold{Trait: h.Trait, At: h.Until, Until: h.Until.Add(quarantine.DefaultHoldTime)}
	if err := SaveHold(ctx, s, later); err != nil {
		t.Fatal(err)
	}
	if holds, _, _ := LoadHolds(ctx, s, h.Until.Add(time.Second)); len(holds) != 1 {
		t.Errorf("the longer quarantine is not stored: %+v", holds)
	}
	if holds, _, _ := LoadHolds(ctx, s, later.Until.Add(2*quarantine.DefaultHoldTime)); len(holds) != 0 {
		t.Errorf("ended quarantines: %+v", holds)
	}
	if _, err := s.Get(ctx, holdPrefix+h.Trait.String()); err == nil {
		t.Error("the ended quarantine is kept")
	}
}

// A process that starts later must not take over what a sound answer has ended.
func TestQuarantineThatHasEndedIsDeleted(t *testing.T) {
	ctx, s, now := t.Context(), memstore.New(memstore.Options{}), time.Unix(1000, 0)
	h := quarantine.Hold{Trait: 0xbad0, At: now, Until: now.Add(quarantine.DefaultHoldTime)}
	if err := SaveHold(ctx, s, h); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := DeleteHold(ctx, s, h.Trait); err != nil {
			t.Fatal(err)
		}
	}
	if holds, _, err := LoadHolds(ctx, s, now); err != nil || len(holds) != 0 {
		t.Errorf("holds %+v, error %v", holds, err)
	}
}
