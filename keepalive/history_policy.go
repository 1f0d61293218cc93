package keepalive

import (
	"fmt"
	"github.com/laureltally/laureltally/config"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// poolWeight is the weight of the estimate over all keys, in exposures.
	poolWeight = 3
	// priorWeight is the weight of the prior, in exposures.
	priorWeight = 4
	// dayPoolWeight and dayPriorWeight are the same for the slots of the day.
	dayPoolWeight  = 1
	dayPriorWeight = 4
	// nearLoadRatio is the largest ratio of a load time to the staging load time at
	// which the weights count as still staged.
	nearLoadRatio = 0.6
	// referenceLoad is the load time, in seconds, at which Config.TailPower has no
	// effect on the cost of a cold start.
	referenceLoad = 5
	// minSegment is the assumed minimum length of a segment, in seconds.
	minSegment = 0.001
	// evictionHorizon is how far ahead the savings of idle keys are compared, in
	// seconds.
	evictionHorizon = 1800
	// evictionSample is how many entries are compared to evict one.
	evictionSample = 8
)

// HistoryPolicy is a Policy that learns from the request history of each key.
type HistoryPolicy[K comparable] struct {
	cfg Config[K]
	// exchange is how much idle accelerator time a unit of cold-start time is worth
	// with the configured weights.
	exchange float64
	index    map[K]int
	entries  []entry[K]
	// poolHazards and poolDayProfile are the estimates over all keys.
	poolHazards    [sessionStageCount]hazards
	poolDayProfile dayProfile
	reloads        reloads
	staging        staging
	scanPosition   int
}

var (
	_ Policy[ident.Model] = (*HistoryPolicy[ident.Model])(nil)
	_ Policy[AdapterKey]  = (*HistoryPolicy[AdapterKey])(nil)
)

// New returns a HistoryPolicy without history. It fails with a *ConfigError.
func New[K comparable](cfg Config[K]) (*HistoryPolicy[K], error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("new history policy: %w", err)
	}
	return &HistoryPolicy[K]{
		cfg:      cfg,
		exchange: exchangeRate(cfg),
		index:    make(map[K]int),
	}, nil
}

// SetAim replaces the weights and keeps the history. Both weights zero mean
// equal weights. On failure it returns a *ConfigError and changes nothing.
func (p *HistoryPolicy[K]) SetAim(aim config.Aim) error {
	cfg := p.cfg
	cfg.Aim = aim
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return fmt.Errorf("set aim: %w", err)
	}
	p.cfg = cfg
	p.exchange = exchangeRate(cfg)
	return nil
}

// exchangeRate returns how much idle time a unit of cold-start time is worth.
func exchangeRate[K comparable](cfg Config[K]) float64 {
	return cfg.Exchange * cfg.Aim.ColdStart / cfg.Aim.IdleHours
}

// Observe implements Policy.
func (p *HistoryPolicy[K]) Observe(key K, now time.Time) {
	e := p.find(key)
	if e == nil {
		p.insert(key, now)
		return
	}
	before := e.sessionStage
	idle := e.recordRequest(now)
	p.poolHazards[before].observe(idle)
	if p.cfg.DailyProfile && idle >= sessionGap {
		p.poolDayProfile.observe(idle, now)
	}
}

// ObserveLoad records that a load of a key ended at now after took. The cost of
// later cold starts is estimated from it.
func (p *HistoryPolicy[K]) ObserveLoad(key K, took time.Duration, now time.Time) {
	e := p.find(key)
	if e == nil {
		return
	}
	idle := e.idle(now.Add(-took))
	if idle > burstWindow {
		e.stageLoad = float32(took.Seconds())
		p.reloads.observe(spanOf(idle), p.share(e), took)
		return
	}
	if e.staged {
		e.staged = false
		p.staging.recordOutcome(float32(took.Seconds()) < nearLoadRatio*e.stageLoad)
	}
	p.reloads.observe(int(e.lastSpan), p.share(e), took)
}

// KeepUntil implements Policy.
func (p *HistoryPolicy[K]) KeepUntil(key K, lastUsed time.Time) time.Time {
	keep := p.bestKeep(p.find(key), lastUsed)
	return lastUsed.Add(min(max(keep, p.cfg.MinKeep), p.cfg.MaxKeep))
}

// EvictOrder implements Policy.
func (p *HistoryPolicy[K]) EvictOrder(idle []K, now time.Time) []K {
	score := make(map[K]float64, len(idle))
	for _, key := range idle {
		e := p.find(key)
		score[key] = p.expectedSaving(e, now, evictionHorizon) / p.share(e)
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
func (p *HistoryPolicy[K]) Len() int { return len(p.entries) }

// find returns the entry of a key, or nil.
func (p *HistoryPolicy[K]) find(key K) *entry[K] {
	i, known := p.index[key]
	if !known {
		return nil
	}
	return &p.entries[i]
}

// insert adds a key and evicts an old one if Config.MaxKeys is reached.
func (p *HistoryPolicy[K]) insert(key K, now time.Time) {
	fresh := entry[K]{key: key, last: now.UnixNano(), session: now.UnixNano(), inBurst: 1, burst: 1}
	if p.cfg.DailyProfile {
		fresh.dayProfile = new(dayProfile)
	}
	if len(p.entries) < p.cfg.MaxKeys {
		p.index[key] = len(p.entries)
		p.entries = append(p.entries, fresh)
		return
	}
	i := p.oldestOfSample()
	delete(p.index, p.entries[i].key)
	p.index[key] = i
	p.entries[i] = fresh
}

// oldestOfSample returns the least recently used of the next evictionSample
// entries.
func (p *HistoryPolicy[K]) oldestOfSample() int {
	oldest := p.scanPosition
	for range min(evictionSample, len(p.entries)) {
		if p.entries[p.scanPosition].last < p.entries[oldest].last {
			oldest = p.scanPosition
		}
		p.scanPosition = (p.scanPosition + 1) % len(p.entries)
	}
	return oldest
}

// share returns the share of an accelerator that a key occupies.
func (p *HistoryPolicy[K]) share(e *entry[K]) float64 {
	if e == nil {
		return DefaultShare
	}
	return p.cfg.Share(e.key)
}

// spanHazard returns the probability that the idle time of e ends in a span,
// given that it has reached the span. A nil entry has no history of its own.
func (p *HistoryPolicy[K]) spanHazard(e *entry[K], span int) float64 {
	at := singleRequest
	if e != nil {
		at = e.sessionStage
	}
	pooled := p.poolHazards[at][span].blend(priorHazards[span], priorWeight)
	if e == nil {
		return pooled
	}
	return e.hazards[at][span].blend(pooled, poolWeight)
}

// bestKeep returns how long a replica should stay loaded from a time on to
// maximize the cold-start cost saved minus the idle time spent. The search
// stops once the gain is maxInterimLoss below the maximum.
func (p *HistoryPolicy[K]) bestKeep(e *entry[K], from time.Time) time.Duration {
	var best, gain, keep float64
	survival, first := 1.0, -1.0
	share := p.share(e)
	maxLoss := share * maxInterimLoss
	p.segments(e, from, p.cfg.MaxKeep.Seconds(), func(s segment) bool {
		if first < 0 {
			first = s.start
		}
		gain += survival * (s.probability*s.coldStartCost - share*(1-s.probability/2)*(s.end-s.start))
		survival *= 1 - s.probability
		if gain > best {
			best, keep = gain, s.end-first
		}
		return best-gain < maxLoss
	})
	return seconds(keep)
}

// maxInterimLoss is how far below its maximum the gain may fall before the search
// for a higher one stops, in seconds of the replica's idle time.
const maxInterimLoss = 300

// expectedSaving returns the cold-start cost that a loaded replica is expected
// to save within horizon seconds.
func (p *HistoryPolicy[K]) expectedSaving(e *entry[K], now time.Time, horizon float64) float64 {
	sum, survival := 0.0, 1.0
	p.segments(e, now, horizon, func(s segment) bool {
		sum += survival * s.probability * s.coldStartCost
		survival *= 1 - s.probability
		return true
	})
	return sum
}

// requestProbability returns the probability of a request within horizon
// seconds.
func (p *HistoryPolicy[K]) requestProbability(e *entry[K], now time.Time, horizon float64) float64 {
	survival := 1.0
	p.segments(e, now, horizon, func(s segment) bool {
		survival *= 1 - s.probability
		return true
	})
	return 1 - survival
}
