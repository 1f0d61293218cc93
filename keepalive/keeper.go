package keepalive

import (
	"fmt"
	"github.com/laureltally/laureltally/config"
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
	// dayPoolWeight and dayPriorWeight are the same for the slots of the day.
	dayPoolWeight  = 1
	dayPriorWeight = 4
	// nearPart is the part of a load from the store that a load of weights takes
	// at most that were still near.
	nearPart = 0.6
	// referenceLoad is the load time that counts as itself, in seconds.
	referenceLoad = 5
	// minSegment is the least length that a segment is taken to have, in
	// seconds.
	minSegment = 0.001
	// evictionHorizon is the time ahead over which idle keys are compared, in
	// seconds.
	evictionHorizon = 1800
	// forgetSample is how many entries are compared to find one to forget.
	forgetSample = 8
)

// HistoryPolicy is the Policy that learns from the history of each key.
type HistoryPolicy[K comparable] struct {
	cfg Config[K]
	// exchange is the idle accelerator time that a unit of cold-start time is
	// worth under the aim.
	exchange float64
	index    map[K]int
	entries  []entry[K]
	// pool and poolDays are the history over all keys.
	pool     [stageCount]gaps
	poolDays days
	reloads  reloads
	staging  staging
	hand     int
}

var (
	_ Policy[ident.Model] = (*HistoryPolicy[ident.Model])(nil)
	_ Policy[AdapterKey]  = (*HistoryPolicy[AdapterKey])(nil)
)

// New returns a Keeper without history. It fails with a *ConfigError.
func New[K comparable](cfg Config[K]) (*HistoryPolicy[K], error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("new keeper: %w", err)
	}
	return &HistoryPolicy[K]{
		cfg:      cfg,
		exchange: exchangeOf(cfg),
		index:    make(map[K]int),
	}, nil
}

// SetAim changes the weights and keeps the histories. Both weights zero mean
// equal weights. It fails with a *ConfigError and changes nothing then.
func (k *HistoryPolicy[K]) SetAim(aim config.Aim) error {
	cfg := k.cfg
	cfg.Aim = aim
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return fmt.Errorf("set aim: %w", err)
	}
	k.cfg = cfg
	k.exchange = exchangeOf(cfg)
	return nil
}

// exchangeOf is the idle time that cold-start time is worth under the aim.
func exchangeOf[K comparable](cfg Config[K]) float64 {
	return cfg.Exchange * cfg.Aim.ColdStart / cfg.Aim.IdleHours
}

// Observe implements Policy.
func (k *HistoryPolicy[K]) Observe(key K, now time.Time) {
	e := k.find(key)
	if e == nil {
		k.insert(key, now)
		return
	}
	before := e.stage
	idle := e.arrive(now)
	k.pool[before].observe(idle)
	if k.cfg.DailyProfile && idle >= sessionGap {
		k.poolDays.observe(idle, now)
	}
}

// ObserveLoad records that a load of a key ended at now after took. The Keeper
// learns from it what a cold start costs after an idle time.
func (k *HistoryPolicy[K]) ObserveLoad(key K, took time.Duration, now time.Time) {
	e := k.find(key)
	if e == nil {
		return
	}
	idle := e.idle(now.Add(-took))
	if idle > burstWindow {
		e.stageLoad = float32(took.Seconds())
		k.reloads.observe(spanOf(idle), k.share(e), took)
		return
	}
	if e.staged {
		e.staged = false
		k.staging.ended(float32(took.Seconds()) < nearPart*e.stageLoad)
	}
	k.reloads.observe(int(e.lastSpan), k.share(e), took)
}

// KeepUntil implements Policy.
func (k *HistoryPolicy[K]) KeepUntil(key K, lastUsed time.Time) time.Time {
	keep := k.bestKeep(k.find(key), lastUsed)
	return lastUsed.Add(min(max(keep, k.cfg.MinKeep), k.cfg.MaxKeep))
}

// EvictOrder implements Policy.
func (k *HistoryPolicy[K]) EvictOrder(idle []K, now time.Time) []K {
	score := make(map[K]float64, len(idle))
	for _, key := range idle {
		e := k.find(key)
		score[key] = k.value(e, now, evictionHorizon) / k.share(e)
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
func (k *HistoryPolicy[K]) Len() int { return len(k.entries) }

// find returns the entry of a key, or nil.
func (k *HistoryPolicy[K]) find(key K) *entry[K] {
	i, known := k.index[key]
	if !known {
		return nil
	}
	return &k.entries[i]
}

// insert adds a key, in the place of an old one if the bound is reached.
func (k *HistoryPolicy[K]) insert(key K, now time.Time) {
	fresh := entry[K]{key: key, last: now.UnixNano(), session: now.UnixNano(), inBurst: 1, burst: 1}
	if k.cfg.DailyProfile {
		fresh.days = new(days)
	}
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
func (k *HistoryPolicy[K]) oldestOfSample() int {
	oldest := k.hand
	for range min(forgetSample, len(k.entries)) {
		if k.entries[k.hand].last < k.entries[oldest].last {
			oldest = k.hand
		}
		k.hand = (k.hand + 1) % len(k.entries)
	}
	return oldest
}

// share returns the share of an accelerator that a key takes.
func (k *HistoryPolicy[K]) share(e *entry[K]) float64 {
	if e == nil {
		return DefaultShare
	}
	return k.cfg.Share(e.key)
}

// spanChance returns the chance that the idle time of e ends in a span that it
// has reached. A nil entry has no history of its own.
func (k *HistoryPolicy[K]) spanChance(e *entry[K], span int) float64 {
	at := lone
	if e != nil {
		at = e.stage
	}
	pooled := k.pool[at][span].blend(priorChances[span], priorWeight)
	if e == nil {
		return pooled
	}
	return e.gaps[at][span].blend(pooled, poolWeight)
}

// bestKeep returns how long a replica stays from a time on, such that the worth
// of the avoided cold starts exceeds the idle time by the most. It does not
// look past a stretch that costs more than a load would.
func (k *HistoryPolicy[K]) bestKeep(e *entry[K], from time.Time) time.Duration {
	var best, gain, keep float64
	alive, first := 1.0, -1.0
	share := k.share(e)
	bridge := share * bridgeTime
	k.segments(e, from, k.cfg.MaxKeep.Seconds(), func(s segment) bool {
		if first < 0 {
			first = s.start
		}
		gain += alive * (s.chance*s.worth - share*(1-s.chance/2)*(s.end-s.start))
		alive *= 1 - s.chance
		if gain > best {
			best, keep = gain, s.end-first
		}
		return best-gain < bridge
	})
	return seconds(keep)
}

// bridgeTime is the longest stretch of idle time without worth that a replica
// stays for what comes after it, in seconds.
const bridgeTime = 300

// value returns the expected worth of a loaded replica over some seconds.
func (k *HistoryPolicy[K]) value(e *entry[K], now time.Time, ahead float64) float64 {
	sum, alive := 0.0, 1.0
	k.segments(e, now, ahead, func(s segment) bool {
		sum += alive * s.chance * s.worth
		alive *= 1 - s.chance
		return true
	})
	return sum
}

// likely returns the chance of a request within some seconds.
func (k *HistoryPolicy[K]) likely(e *entry[K], now time.Time, ahead float64) float64 {
	alive := 1.0
	k.segments(e, now, ahead, func(s segment) bool {
		alive *= 1 - s.chance
		return true
	})
	return 1 - alive
}
