package keepalive

import (
	"cmp"
	"slices"
	"time"
)

const (
	// prewarmInterval is how often the results of Prewarm and Stage may change, and
	// how far ahead Prewarm looks.
	prewarmInterval = 10 * time.Minute
	// stageHorizon is how far ahead Stage looks, in seconds.
	stageHorizon = 2 * 3600
	// minAvoidedLoads is the minimum expected number of requests that staging saves
	// a long load.
	minAvoidedLoads = 0.2
)

// Prewarm returns the keys worth loading at now ahead of a request, the most
// valuable first. The caller skips keys that are loaded or do not fit. A
// replica loaded this way stays until KeepUntil of its load time.
func (p *HistoryPolicy[K]) Prewarm(now time.Time) []K {
	if !p.cfg.DailyProfile {
		return nil
	}
	return p.rank(func(e *entry[K]) (float64, bool) {
		if e.idle(now) < sessionGap {
			return 0, false
		}
		return p.expectedSaving(e, now, prewarmInterval.Seconds()), p.worthLoading(e, now)
	})
}

// Stage returns the keys in far worth staging: loaded and unloaded at once, so
// that their weights are in a near cache when the next request arrives. far
// lists the keys whose weights take long to load from where they are now. The
// most valuable come first. A key that was staged before and is far again
// counts as a failed staging.
func (p *HistoryPolicy[K]) Stage(now time.Time, far []K) []K {
	if !p.cfg.DailyProfile {
		return nil
	}
	isFar := make(map[K]bool, len(far))
	for _, key := range far {
		isFar[key] = true
	}
	return p.rank(func(e *entry[K]) (float64, bool) {
		idle := e.idle(now)
		if !isFar[e.key] || idle < sessionGap {
			return 0, false
		}
		if e.staged {
			e.staged = false
			p.staging.recordOutcome(false)
		}
		avoided := p.requestProbability(e, now, stageHorizon) * e.delayedRequests(idle.Seconds()) * p.staging.successRate()
		e.staged = avoided > minAvoidedLoads
		return avoided, e.staged
	})
}

// NextPrewarm returns when the results of Prewarm and Stage may next change,
// and false if they never do.
func (p *HistoryPolicy[K]) NextPrewarm(now time.Time) (time.Time, bool) {
	return now.Truncate(prewarmInterval).Add(prewarmInterval), p.cfg.DailyProfile
}

// worthLoading reports whether loading a replica at now is expected to save
// more than its idle time over prewarmInterval.
func (p *HistoryPolicy[K]) worthLoading(e *entry[K], now time.Time) bool {
	saving := p.expectedSaving(e, now, prewarmInterval.Seconds())
	return saving > p.share(e)*prewarmInterval.Seconds()
}

// rank returns the keys for which value returns true, the highest value first.
func (p *HistoryPolicy[K]) rank(value func(e *entry[K]) (float64, bool)) []K {
	type ranked struct {
		key   K
		value float64
	}
	var found []ranked
	for i := range p.entries {
		e := &p.entries[i]
		if v, ok := value(e); ok {
			found = append(found, ranked{key: e.key, value: v})
		}
	}
	slices.SortStableFunc(found, func(a, b ranked) int { return cmp.Compare(b.value, a.value) })
	keys := make([]K, len(found))
	for i, f := range found {
		keys[i] = f.key
	}
	return keys
}
