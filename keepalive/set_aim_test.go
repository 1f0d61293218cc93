package keepalive

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/config"
)

func TestSetAimKeepsTheHistory(t *testing.T) {
	k, err := New(Config[string]{Aim: config.Aim{ColdStart: 1, IdleHours: 100}})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_000_000, 0)
	for range 50 {
		k.Observe("m", now)
		now = now.Add(3 * time.Minute)
	}
	short := k.KeepUntil("m", now).Sub(now)
	if err := k.SetAim(config.Aim{ColdStart: 100, IdleHours: 1}); err != nil {
		t.Fatal(err)
	}
	if long := k.KeepUntil("m", now).Sub(now); long <= short || k.Len() != 1 {
		t.Fatalf("kept for %v with the first weights, %v with the second, %d keys", short, long, k.Len())
	}
	if err := k.SetAim(config.Aim{ColdStart: 1, IdleHours: -1}); err == nil {
		t.Fatal("SetAim accepted a negative weight")
	}
}
