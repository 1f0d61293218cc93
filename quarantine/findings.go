package quarantine

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// maxFindings bounds each kind of finding.
	maxFindings = 256
	// NewsTTL is how long crashes and sound traits are passed on, to routers that connect
	// again too.
	NewsTTL = time.Minute
	// soundInterval is the minimum time between two proofs of the same trait that are
	// passed on.
	soundInterval = time.Second
)

// Findings holds at a sidecar what is passed on to routers: the crashes of its engine, and
// what routers have told it.
type Findings struct {
	// seq numbers the findings in order of arrival.
	seq     uint64
	crashes []numbered[Crash]
	sound   []numbered[Sound]
	holds   []numbered[Hold]
}

type numbered[T any] struct {
	seq   uint64
	value T
}

// Seq returns the number of the newest finding.
func (f *Findings) Seq() uint64 { return f.seq }

// AddCrash adds a crash. One that is known is added again only with further traits.
func (f *Findings) AddCrash(now time.Time, c Crash) bool {
	f.forget(now)
	i := slices.IndexFunc(f.crashes, func(k numbered[Crash]) bool { return k.value.Server == c.Server })
	if i >= 0 {
		known := f.crashes[i].value
		if !known.Merge(c.Traits) {
			return false
		}
		c = known
		f.crashes = slices.Delete(f.crashes, i, i+1)
	}
	f.crashes = add(f, f.crashes, c)
	return true
}

// AddSound adds the proof that a trait is sound, and drops its quarantine if that began
// before.
func (f *Findings) AddSound(now time.Time, s Sound) bool {
	f.forget(now)
	i := slices.IndexFunc(f.sound, func(k numbered[Sound]) bool { return k.value.Trait == s.Trait })
	if i >= 0 {
		if s.BegunAt.Sub(f.sound[i].value.BegunAt) < soundInterval {
			return false
		}
		f.sound = slices.Delete(f.sound, i, i+1)
	}
	f.sound = add(f, f.sound, s)
	f.holds = slices.DeleteFunc(f.holds, func(k numbered[Hold]) bool { return k.value.Trait == s.Trait && s.BegunAt.After(k.value.At) })
	return true
}

// Holds reports whether a trait is quarantined, as far as is known here.
func (f *Findings) Holds(t ident.Trait) bool {
	return slices.ContainsFunc(f.holds, func(k numbered[Hold]) bool { return k.value.Trait == t })
}

// AddHold adds a quarantine and reports whether it is new or lasts longer than the known
// one.
func (f *Findings) AddHold(now time.Time, h Hold) bool {
	f.forget(now)
	if slices.ContainsFunc(f.sound, func(k numbered[Sound]) bool { return k.value.Trait == h.Trait && k.value.BegunAt.After(h.At) }) {
		return false
	}
	i := slices.IndexFunc(f.holds, func(k numbered[Hold]) bool { return k.value.Trait == h.Trait })
	if i >= 0 {
		if !h.Outlasts(f.holds[i].value) {
			return false
		}
		f.holds = slices.Delete(f.holds, i, i+1)
	}
	f.holds = add(f, f.holds, h)
	return true
}

// Since returns the findings after a number.
func (f *Findings) Since(now time.Time, seq uint64) News {
	f.forget(now)
	return News{Crashes: since(f.crashes, seq), Sound: since(f.sound, seq), Holds: since(f.holds, seq)}
}

func (f *Findings) forget(now time.Time) {
	f.crashes = slices.DeleteFunc(f.crashes, func(k numbered[Crash]) bool { return now.Sub(k.value.At) > NewsTTL })
	f.sound = slices.DeleteFunc(f.sound, func(k numbered[Sound]) bool { return now.Sub(k.value.BegunAt) > NewsTTL })
	f.holds = slices.DeleteFunc(f.holds, func(k numbered[Hold]) bool { return now.After(k.value.Until) })
}

// add appends a value under the next number. If there are too many, the oldest is dropped.
func add[T any](f *Findings, list []numbered[T], v T) []numbered[T] {
	if len(list) >= maxFindings {
		list = slices.Delete(list, 0, 1)
	}
	f.seq++
	return append(list, numbered[T]{f.seq, v})
}

func since[T any](list []numbered[T], seq uint64) []T {
	var out []T
	for _, k := range list {
		if k.seq > seq {
			out = append(out, k.value)
		}
	}
	return out
}
