package quarantine

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/fleet"
)

// Knows reports whether a crash of a server is known.
func (d *Detector) Knows(s fleet.ServerStart) bool {
	return slices.ContainsFunc(d.crashes, func(k Crash) bool { return k.Server == s })
}

// Recent returns the crashes of some servers that a process which starts may count, without the
// traits that were sound since.
func (d *Detector) Recent(now time.Time, servers []fleet.ServerStart) []Crash {
	var out []Crash
	for _, c := range d.crashes {
		if now.Sub(c.At) <= NewsTTL && slices.Contains(servers, c.Server) && len(c.Traits) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// SoundSince returns the traits of a crash that this router knows to be sound since then. Others
// may not: the answers were no news before the crash was known.
func (d *Detector) SoundSince(c Crash) []Sound {
	var out []Sound
	for _, t := range c.Traits {
		if at := d.soundAt(t); at.After(c.At) {
			out = append(out, Sound{Trait: t, BegunAt: at})
		}
	}
	return out
}
