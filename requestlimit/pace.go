package requestlimit

import (
	"time"

	"github.com/laureltally/laureltally/serving"
)

// maxInterval is the longest time between two requests to a server, however low its limit
// is: without responses nobody learns that the limit has ended.
const maxInterval = 5 * time.Second

// Pace spaces requests evenly. The zero value has no limit.
type Pace struct {
	limit serving.RequestLimit
	// next is when the next request may be sent.
	next time.Time
}

// Limit returns the limit.
func (p *Pace) Limit() serving.RequestLimit { return p.limit }

// Set sets the limit.
func (p *Pace) Set(now time.Time, l serving.RequestLimit) {
	p.limit = l
	if earliest := now.Add(p.interval()); p.next.After(earliest) {
		p.next = earliest
	}
}

// Wait returns the time until a request may be sent after a number of others.
func (p *Pace) Wait(now time.Time, ahead int) time.Duration {
	if !p.limit.Named {
		return 0
	}
	return max(0, p.next.Sub(now)) + time.Duration(ahead)*p.interval()
}

// Take counts a request that is sent. Unused time is not saved, but for one interval.
func (p *Pace) Take(now time.Time) {
	if !p.limit.Named {
		return
	}
	i := p.interval()
	if earliest := now.Add(-i); p.next.Before(earliest) {
		p.next = earliest
	}
	p.next = p.next.Add(i)
}

func (p *Pace) interval() time.Duration { return interval(p.limit, 1) }

// interval returns the time between two requests at a share of a limit.
func interval(l serving.RequestLimit, share float64) time.Duration {
	perSecond := l.PerSecond * share
	if perSecond*maxInterval.Seconds() <= share {
		return time.Duration(float64(maxInterval) / share)
	}
	return time.Duration(float64(time.Second) / perSecond)
}
