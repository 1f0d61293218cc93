package residency

import "time"

const (
	// limitBackoff and limitStep are the factors of additive increase and
	// multiplicative decrease: the limit halves in about seven bad answers and
	// recovers within some dozen good ones.
	limitBackoff = 0.9
	limitStep    = 0.5
	// backoffPause is the least time between two decreases: answers that ran side
	// by side tell of the same overload.
	backoffPause = 500 * time.Millisecond
	// blameShare is the part of the limit below which a late answer does not speak
	// against it: with so few requests something else was slow.
	blameShare = 0.5
	// busyShare is the part of the limit that must be in use for a good answer to
	// prove that more would go well too.
	busyShare = 0.8
)

// limit is how many requests the engine takes at once such that they stay within
// their objectives. It answers sustained overload, where each further request
// slows all others.
type limit struct {
	value, least, most float64
	lowered            time.Time
}

// learn takes the outcome of a request that ran beside active others.
func (l *limit) learn(now time.Time, r *Request, o Outcome, active int) {
	if o.TimeToFirstEvent == 0 {
		return
	}
	slow := r.MaxEventGap > 0 && o.LongestEventGap > r.MaxEventGap || r.Objective > 0 && o.TimeToFirstEvent > r.Objective
	switch {
	case slow && now.Sub(l.lowered) >= backoffPause && float64(active) >= blameShare*l.value:
		l.value = max(l.least, l.value*limitBackoff)
		l.lowered = now
	case !slow && float64(active) >= busyShare*l.value:
		l.value = min(l.most, l.value+limitStep)
	}
}
