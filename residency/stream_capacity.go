package residency

import (
	"math"
	"time"
)

const (
	// prefillTarget is the share of time that an engine prefills when it runs as many streams as
	// it states. For other values see docs/design/uneven-servers.md.
	prefillTarget = 0.45
	// maxPrefillShare bounds the measured share.
	maxPrefillShare = 0.8
	// capacityTime is the time constant of the measured share.
	capacityTime = 5 * time.Second
	// capacityWeight is the weight of one request in the mean times.
	capacityWeight = 0.02
	// initialStreams is the number of streams before any has ended, and minStreams keeps a slow
	// engine in use.
	initialStreams, minStreams = 16, 4
)

// streamCapacity estimates how many streams an engine can run so that prefill takes
// prefillTarget of its time. By Little's law the number of streams is the share of time that
// the engine prefills, multiplied by the ratio of a stream's time to its prefill time; that
// ratio falls by the share that is left for the streams.
type streamCapacity struct {
	// prefill is a decaying sum of the prefill time of admitted prompts, as a share of time.
	prefill float64
	at      time.Time
	// stream and own are the mean time of streams and of their prefill, in seconds.
	stream, own float64
	n           int
}

// advance advances the time.
func (c *streamCapacity) advance(now time.Time) {
	if s := now.Sub(c.at).Seconds(); s > 0 {
		c.prefill *= math.Exp(-s / capacityTime.Seconds())
		c.at = now
	}
}

// admitted takes the prefill time of an admitted prompt.
func (c *streamCapacity) admitted(now time.Time, d time.Duration) {
	c.advance(now)
	c.prefill += d.Seconds() / capacityTime.Seconds()
}

// ended takes the time of a complete stream and its prefill time.
func (c *streamCapacity) ended(stream, own time.Duration) {
	c.n++
	weight := max(capacityWeight, 1/float64(c.n))
	c.stream += weight * (stream.Seconds() - c.stream)
	c.own += weight * (own.Seconds() - c.own)
}

// limit returns the number of streams at which prefill takes a share of the time.
func (c *streamCapacity) limit(target float64) float64 {
	if c.own <= 0 {
		return initialStreams
	}
	ratio := c.stream / c.own * (1 - min(maxPrefillShare, c.prefill))
	return max(minStreams, ratio*target/(1-target))
}
