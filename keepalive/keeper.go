package keepalive

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// poolWeight is how many own exposures the estimate over all keys counts
	// for.
	poolWeight = 3
	// priorWeight is how many exposures the prior counts for.
	priorWeight = 4
	// evictionHorizon is the time ahead over which idle keys are compared, in
	// seconds.
	evictionHorizon = 600
	// forgetSample is how many entries are compared to find one to forget.
	forgetSample = 8
)

// Keeper is the Policy that learns from the history of each key.
type Keeper[K comparable] struct {
	cfg     Config
	worth   float64
	index   map[K]int
	entries []entry[K]
	// pool is the history over all keys.
	pool gaps
	hand int
}

var (
	_ Policy[ident.Model] = (*Keeper[ident.Model])(nil)
	_ Policy[AdapterKey]  = (*Keeper[AdapterKey])(nil)
)

// New returns a Keeper without history. It fails with a *ConfigError.
func New[K comparable](cfg Config) (*Keeper[K], error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("new keeper: %w", err)
	}
	return &Keeper[K]{
		cfg:   cfg,
		worth: cfg.Exchange.Seconds() * cfg.Aim.ColdStart / cfg.Aim.IdleHours,
		index: make(map[K]int),
	}, nil
}

// Observe implements Policy.
func (k *Keeper[K]) Observe(key K, now time.Time) {
	i, known := k.index[key]
	if !known {
		k.insert(key, now)
		return
	}
	e := &k.entries[i]
	idle := e.idle(now)
	e.gaps.observe(idle)
	k.pool.observe(idle)
	e.last = max(e.last, now.UnixNano())
}

// KeepUntil implements Policy.
func (k *Keeper[K]) KeepUntil(key K, lastUsed time.Time) time.Time {
	e := k.find(key)
	var idle float64
	if e != nil {
		idle = e.idle(lastUsed).Seconds()
	}
	keep := k.bestKeep(e, idle)
	return lastUsed.Add(min(max(keep, k.cfg.MinKeep), k.cfg.MaxKeep))
}

// EvictOrder implements Policy.
func (k *Keeper[K]) EvictOrder(idle []K, now time.Time) []K {
	score := make(map[K]float64, len(idle))
	for _, key := range idle {
		score[key] = k.chanceWithin(k.find(key), now, evictionHorizon)
	}
	out := slices.Clone(idle)
	slices.SortStableFunc(out, func(a, b K) int {
		switch {
		case score[a] < score[b]:
			return -1
		case score[a] > score[b]:
			return 1
		}
		return 0
	})
	return out
}

// Len returns the number of keys with a history.
func (k *Keeper[K]) Len() int { return len(k.entries) }

// find returns the entry of a key, or nil.
func (k *Keeper[K]) find(key K) *entry[K] {
	i, known := k.index[key]
	if !known {
		return nil
	}
	return &k.entries[i]
}

// insert adds a key, in the place of an old one if the bound is reached.
func (k *Keeper[K]) insert(key K, now time.Time) {
	fresh := entry[K]{key: key, last: now.UnixNano()}
	if len(k.entries) < k.cfg.MaxKeys {
		k.index[key] = len(k.entries)
		k.entries = append(k.entries, fresh)
		return
	}
	i := k.oldestOfSample()
	delete(k.index, k.entries[i].key)
	k.index[key] = i
	k.entries[i] = fresh
}

// oldestOfSample returns the entry used longest ago among the next few.
func (k *Keeper[K]) oldestOfSample() int {
	oldest := k.hand
	for range min(forgetSample, len(k.entries)) {
		if k.entries[k.hand].last < k.entries[oldest].last {
			oldest = k.hand
		}
		k.hand = (k.hand + 1) % len(k.entries)
	}
	return oldest
}

// spanChance returns the chance that the idle time of e ends in a span that it
// has reached. A nil entry has no history of its own.
func (k *Keeper[K]) spanChance(e *entry[K], span int) float64 {
	pooled := k.pool[span].blend(priorChances[span], priorWeight)
	if e == nil {
		return pooled
	}
	return e.gaps[span].blend(pooled, poolWeight)
}

// bestKeep returns the time to keep a replica that has been idle for some
// seconds, such that the worth of the avoided cold starts exceeds the idle time
// by the most.
func (k *Keeper[K]) bestKeep(e *entry[K], idle float64) time.Duration {
	var (
		best, gain, keep float64
		alive            = 1.0
		limit            = idle + k.cfg.MaxKeep.Seconds()
	)
	first := spanOf(time.Duration(idle * float64(time.Second)))
	for i := first; i < spanCount; i++ {
		start, end := spanBounds(i)
		from := max(start, idle)
		if from >= limit {
			break
		}
		p := partChance(k.spanChance(e, i), start, end, from)
		gain += alive * (p*k.worth - (1-p/2)*(end-from))
		alive *= 1 - p
		if gain > best {
			best, keep = gain, end-idle
		}
	}
	return time.Duration(keep * float64(time.Second))
}

// partChance returns the chance of the rest of a span from the chance of the
// whole, with an even hazard.
func partChance(p, start, end, from float64) float64 {
	if from <= start {
		return p
	}
	return 1 - math.Pow(1-p, (end-from)/(end-start))
}

// chanceWithin returns the chance of a request within some seconds from now.
func (k *Keeper[K]) chanceWithin(e *entry[K], now time.Time, ahead float64) float64 {
	var idle float64
	if e != nil {
		idle = e.idle(now).Seconds()
	}
	alive := 1.0
	for i := spanOf(time.Duration(idle * float64(time.Second))); i < spanCount; i++ {
		start, end := spanBounds(i)
		from, to := max(start, idle), min(end, idle+ahead)
		if from >= to {
			break
		}
		whole := k.spanChance(e, i)
		alive *= math.Pow(1-whole, (to-from)/(end-start))
	}
	return 1 - alive
}
