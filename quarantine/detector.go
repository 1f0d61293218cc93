package quarantine

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// maxCrashes bounds the crashes that a Detector remembers.
	maxCrashes = 256
	// maxHolds bounds the quarantined traits.
	maxHolds = 256
)

// Detector decides at one router which traits are quarantined.
type Detector struct {
	opts Options
	// since is when the Detector began to see answers. What was sound before it hears from
	// others only.
	since time.Time
	// decideAt is when crashes from before since begin to count, zero while none is known.
	decideAt time.Time
	// crashes is in order of time.
	crashes []Crash
	// soundParts and soundRequests hold the traits that were answered soundly. Requests
	// are many more, and would drive out the parts.
	soundParts, soundRequests soundRecords
	// holds includes traits on probation.
	holds map[ident.Trait]Hold
}

// NewDetector returns a Detector that has seen nothing before now.
func NewDetector(now time.Time, o Options) *Detector {
	return &Detector{opts: o.withDefaults(), since: now, holds: make(map[ident.Trait]Hold)}
}

// ObserveCrash takes a crash and returns the quarantines that follow from it. A crash that
// is known adds only the traits that it did not have.
func (d *Detector) ObserveCrash(now time.Time, c Crash) []Hold {
	d.forget(now)
	if !d.Counts(now, c) {
		return nil
	}
	if c.At.Before(d.since) && d.decideAt.IsZero() {
		d.decideAt = now.Add(learnTime)
	}
	i := slices.IndexFunc(d.crashes, func(k Crash) bool { return k.Server == c.Server })
	if i < 0 {
		d.insert(c)
		return d.evaluate(now)
	}
	if !d.crashes[i].Merge(c.Traits) {
		return nil
	}
	return d.evaluate(now)
}

func (d *Detector) insert(c Crash) {
	if len(d.crashes) >= maxCrashes {
		d.crashes = slices.Delete(d.crashes, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(d.crashes, c.At, func(k Crash, at time.Time) int { return k.At.Compare(at) })
	d.crashes = slices.Insert(d.crashes, i, c)
}

// ObserveSound takes the proof that a trait is sound. Earlier crashes do not speak against
// it any more, and a quarantine that began before the answer did ends.
func (d *Detector) ObserveSound(s Sound) {
	d.sound(s.Trait).put(s)
	for i := range d.crashes {
		if c := &d.crashes[i]; c.At.Before(s.BegunAt) && slices.Contains(c.Traits, s.Trait) {
			c.Traits = slices.DeleteFunc(slices.Clone(c.Traits), func(t ident.Trait) bool { return t == s.Trait })
		}
	}
	if h, ok := d.holds[s.Trait]; ok && s.BegunAt.After(h.At) {
		delete(d.holds, s.Trait)
	}
}

// sound returns the records that a trait belongs to.
func (d *Detector) sound(t ident.Trait) *soundRecords {
	if t.OfRequest() {
		return &d.soundRequests
	}
	return &d.soundParts
}

// soundAt returns when the newest sound answer to a trait began, or the zero time.
func (d *Detector) soundAt(t ident.Trait) time.Time { return d.sound(t).get(t) }

// ObserveHold takes a quarantine that another process has decided, and reports whether it
// is new.
func (d *Detector) ObserveHold(now time.Time, h Hold) bool {
	known, ok := d.holds[h.Trait]
	soundAt := d.soundAt(h.Trait)
	if ok && !h.Until.After(known.Until) || soundAt.After(h.At) || now.After(h.Until) {
		return false
	}
	// The router that decided it may not know that the request is sound.
	if h.Trait.OfRequest() && h.Tentative() && !soundAt.IsZero() {
		return false
	}
	d.hold(now, h)
	return !ok || now.After(known.Until)
}

// Held returns the quarantine of one of the traits of a request and the time until this
// router lets the request through, which is zero if none is quarantined.
func (d *Detector) Held(now time.Time, traits []ident.Trait) (Hold, time.Duration) {
	for _, t := range traits {
		h, ok := d.holds[t]
		if remaining := h.Until.Add(d.opts.Stagger).Sub(now); ok && remaining > 0 {
			return h, remaining
		}
		if now.Before(d.decideAt) && d.undecided(t) {
			return Hold{Trait: t, Until: d.decideAt}, d.decideAt.Sub(now)
		}
	}
	return Hold{}, 0
}

// Holds returns the quarantines in force.
func (d *Detector) Holds(now time.Time) []Hold {
	d.forget(now)
	var out []Hold
	for _, h := range d.holds {
		if now.Before(h.Until) {
			out = append(out, h)
		}
	}
	return out
}

// ObserveAnswer takes a sound answer that this router has relayed, and returns what other
// routers have to know of it: that traits which they may suspect are sound.
func (d *Detector) ObserveAnswer(now time.Time, traits []ident.Trait, begunAt time.Time) []Sound {
	d.forget(now)
	var out []Sound
	for _, t := range traits {
		s := Sound{Trait: t, BegunAt: begunAt}
		if d.contradicts(now, s) {
			out = append(out, s)
		}
		d.ObserveSound(s)
	}
	return out
}

// contradicts reports whether a sound answer contradicts something that speaks against its
// trait.
func (d *Detector) contradicts(now time.Time, s Sound) bool {
	if h, ok := d.holds[s.Trait]; ok && s.BegunAt.After(h.At) {
		return true
	}
	return slices.ContainsFunc(d.crashes, func(c Crash) bool {
		return c.At.Before(s.BegunAt) && d.speaksAgainst(&c, s.Trait) && !d.explained(now, &c)
	})
}

// Suspected reports whether a request has crashed a server, as far as is known, and was not
// answered soundly after that.
func (d *Detector) Suspected(request ident.Trait) bool {
	if _, ok := d.holds[request]; ok {
		return true
	}
	return slices.ContainsFunc(d.crashes, func(c Crash) bool { return d.speaksAgainst(&c, request) })
}

// speaksAgainst reports whether a trait was there at a crash and was not answered soundly
// after it.
func (d *Detector) speaksAgainst(c *Crash, t ident.Trait) bool {
	return slices.Contains(c.Traits, t) && c.At.After(d.soundAt(t))
}

// evaluate quarantines the traits that explain enough crashes. Requests come first: all
// parts of the prompt of one that comes again go along with it, while a part that crashes
// servers does so under different requests.
func (d *Detector) evaluate(now time.Time) []Hold {
	out := d.crashingRequests(now)
	for _, h := range out {
		d.hold(now, h)
	}
	for {
		s := d.mostSuspectPart(now)
		if s == nil {
			return out
		}
		h := Hold{Trait: s.part, At: s.newestAt, Until: now.Add(d.opts.HoldTime), Evidence: Evidence{Crashes: s.explainedAll, Spaced: s.explained}}
		d.hold(now, h)
		out = append(out, h)
	}
}

// hold sets a quarantine. If there are too many, the one that ends first is dropped.
func (d *Detector) hold(now time.Time, h Hold) {
	d.forget(now)
	if _, ok := d.holds[h.Trait]; !ok && len(d.holds) >= maxHolds {
		var first Hold
		for _, other := range d.holds {
			if first.Until.IsZero() || other.Until.Before(first.Until) {
				first = other
			}
		}
		delete(d.holds, first.Trait)
	}
	d.holds[h.Trait] = h
}

// explained reports whether a quarantined trait was there at a crash.
func (d *Detector) explained(now time.Time, c *Crash) bool {
	return slices.ContainsFunc(c.Traits, func(t ident.Trait) bool { return d.explains(now, c, t) })
}

// explains reports whether a trait that was there at a crash has been quarantined for it or
// before it. A later crash under a request that is quarantined tentatively, at a router that
// had not learned of it, is new evidence.
func (d *Detector) explains(now time.Time, c *Crash, t ident.Trait) bool {
	h, ok := d.holds[t]
	if ok && h.Tentative() {
		return c.At.Sub(h.At) < d.opts.Spacing
	}
	return ok && (now.Before(h.Until) || c.At.Before(h.Until))
}

// needed returns how many crashes quarantine a trait.
func (d *Detector) needed(t ident.Trait) int {
	if _, probation := d.holds[t]; probation {
		return 1
	}
	switch {
	case d.soundAt(t).IsZero():
		return d.opts.MinCrashes
	case t.OfRequest():
		return d.opts.MinCrashes + 1
	}
	return d.opts.MinCrashesOfSound
}

// forget drops what is too old to count.
func (d *Detector) forget(now time.Time) {
	for t, h := range d.holds {
		if now.Sub(h.Until) > d.opts.HoldTime {
			delete(d.holds, t)
		}
	}
	d.crashes = slices.DeleteFunc(d.crashes, func(c Crash) bool { return now.Sub(c.At) > d.opts.Memory })
}
