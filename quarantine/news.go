package quarantine

import (
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/wire"
)

// News is what processes tell one another.
type News struct {
	Crashes []Crash
	Sound   []Sound
	Holds   []Hold
}

// Empty reports whether there is nothing to tell.
func (n *News) Empty() bool { return len(n.Crashes)+len(n.Sound)+len(n.Holds) == 0 }

// Encode returns the message that tells news.
func (n *News) Encode(now time.Time) *wire.CrashFindings {
	m := &wire.CrashFindings{}
	for _, c := range n.Crashes {
		m.Crashes = append(m.Crashes, wire.ServerCrash{Address: c.Server.Address, Started: c.Server.Started, Age: now.Sub(c.At), Traits: c.Traits})
	}
	for _, s := range n.Sound {
		m.Sound = append(m.Sound, wire.SoundTrait{Trait: s.Trait, Age: now.Sub(s.BegunAt)})
	}
	for _, h := range n.Holds {
		m.Quarantined = append(m.Quarantined, wire.QuarantinedTrait{Trait: h.Trait, Age: now.Sub(h.At), Remaining: h.Until.Sub(now)})
	}
	return m
}

// Decode returns the news that a message tells. Lists beyond the bounds of their
// senders are cut.
func Decode(now time.Time, m *wire.CrashFindings) News {
	var n News
	for _, c := range m.Crashes[:min(len(m.Crashes), maxFindings)] {
		n.Crashes = append(n.Crashes, Crash{Server: fleet.ServerStart{Address: c.Address, Started: c.Started}, At: now.Add(-c.Age), Traits: c.Traits[:min(len(c.Traits), maxCrashTraits)]})
	}
	for _, s := range m.Sound[:min(len(m.Sound), maxFindings)] {
		n.Sound = append(n.Sound, Sound{Trait: s.Trait, BegunAt: now.Add(-s.Age)})
	}
	for _, q := range m.Quarantined[:min(len(m.Quarantined), maxFindings)] {
		n.Holds = append(n.Holds, Hold{Trait: q.Trait, At: now.Add(-q.Age), Until: now.Add(min(q.Remaining, DefaultHoldTime))})
	}
	return n
}
