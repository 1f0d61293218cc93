package keepalive

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/config"
)

func TestSetAimKeepsTheHistory(t *testing.T) {
	p, err := New(Config[string]{Aim: config.Aim{ColdStart: 1, IdleHours: 100}})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_000_000, 0)
	for range 50 {
		p.Observe("m", now)
		now = now.Add(3 * time.Minute)
	}
	short := p.KeepUntil("m", now).Sub(now)
	if err := p.SetAim(config.Aim{ColdStart: 100, IdleHours: 1}); err != nil {
		t.Fatal(err)
	}
	if long := p.KeepUntil("m", now).Sub(now); long <= short || p.Len() != 1 {
		t.Fatalf("kept for %v with the first weights, %v with the second, %d keys", short, long, p.Len())
	}
	if err := p.SetAim(config.Aim{ColdStart: 1, IdleHours: -1}); err == nil {
		t.Fatal("SetAim accepted a negative weight")
	}
}
