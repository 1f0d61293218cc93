package keepalive

import (
	"cmp"
	"slices"
	"time"
)

const (
	// prewarmInterval is how often Prewarm and Stage are asked.
	prewarmInterval = 10 * time.Minute
	// stageHorizon is how far ahead Stage looks, in seconds.
	stageHorizon = 2 * 3600
	// stageThreshold is how many requests must be expected to be spared a long
	// load for weights to be brought nearer.
	stageThreshold = 0.2
)

// Prewarm returns the keys that are worth loading at now although no request
// asks for them, the most valuable first. The caller leaves out what is loaded
// and what does not fit. A replica loaded so stays until KeepUntil of the time
// when it was loaded.
func (k *HistoryPolicy[K]) Prewarm(now time.Time) []K {
	if !k.cfg.DailyProfile {
		return nil
	}
	return k.rank(func(e *entry[K]) (float64, bool) {
		if e.idle(now) < sessionGap {
			return 0, false
		}
		return k.value(e, now, prewarmInterval.Seconds()), k.worthHolding(e, now)
	})
}

// Stage returns those of the keys whose weights are far, from which a load
// would now take long, that are worth a load and an unload at once, so that the
// weights are near when the next request comes. The most valuable come first.
// Keys that it returned before and that are far again count as failures.
func (k *HistoryPolicy[K]) Stage(now time.Time, far []K) []K {
	if !k.cfg.DailyProfile {
		return nil
	}
	isFar := make(map[K]bool, len(far))
	for _, key := range far {
		isFar[key] = true
	}
	return k.rank(func(e *entry[K]) (float64, bool) {
		idle := e.idle(now)
		if !isFar[e.key] || idle < sessionGap {
			return 0, false
		}
		if e.staged {
			e.staged = false
			k.staging.ended(false)
		}
		spared := k.likely(e, now, stageHorizon) * e.hits(idle.Seconds()) * k.staging.useful()
		e.staged = spared > stageThreshold
		return spared, e.staged
	})
}

// NextPrewarm returns when Prewarm and Stage may next return another answer,
// and false if they never do.
func (k *HistoryPolicy[K]) NextPrewarm(now time.Time) (time.Time, bool) {
	return now.Truncate(prewarmInterval).Add(prewarmInterval), k.cfg.DailyProfile
}

// worthHolding tells whether a replica is worth its idle time right from now.
func (k *HistoryPolicy[K]) worthHolding(e *entry[K], now time.Time) bool {
	worth := k.value(e, now, prewarmInterval.Seconds())
	return worth > k.share(e)*prewarmInterval.Seconds()
}

// rank returns the keys that a function accepts, the highest value first.
func (k *HistoryPolicy[K]) rank(value func(e *entry[K]) (float64, bool)) []K {
	type ranked struct {
		key   K
		value float64
	}
	var found []ranked
	for i := range k.entries {
		e := &k.entries[i]
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
