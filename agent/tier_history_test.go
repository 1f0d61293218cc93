package agent

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/wire"
)

func TestTierHistoryReportsTheLastChange(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	history := make(tierHistory)
	for _, step := range []struct {
		after  time.Duration
		tier   engine.Tier
		before engine.Tier
		since  int64
	}{
		{0, engine.TierRemote, "", 0},
		{time.Second, engine.TierRemote, "", 0},
		{2 * time.Second, engine.TierDisk, engine.TierRemote, 1_002_000},
		{3 * time.Second, engine.TierDisk, engine.TierRemote, 1_002_000},
		{4 * time.Second, engine.TierMemory, engine.TierDisk, 1_004_000},
	} {
		r := wire.ModelReport{Model: "m", Tier: step.tier}
		history.annotate(start.Add(step.after), &r)
		if r.PreviousTier != step.before || r.TierSince != step.since {
			t.Errorf("after %v: %+v", step.after, r)
		}
	}
}
