package allotment

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the estimate of what requests cost a second.
	demandTime = time.Second
	// aheadTime is the time for which tokens are requested in advance.
	aheadTime = 300 * time.Millisecond
)

// demand estimates what the requests of a tenant cost at one router. The zero value has seen
// none.
type demand struct {
	// cost and requests decay with demandTime.
	cost, requests float64
	at             time.Time
}

// add counts a request.
func (d *demand) add(now time.Time, cost float64) {
	decay := math.Exp(-now.Sub(d.at).Seconds() / demandTime.Seconds())
	d.cost, d.requests, d.at = d.cost*decay+cost, d.requests*decay+1, now
}

// ahead returns what the requests of the next aheadTime are expected to cost, or zero if
// less than one is expected: its tokens would mostly expire.
func (d *demand) ahead() float64 {
	share := aheadTime.Seconds() / demandTime.Seconds()
	if d.requests*share < 1 {
		return 0
	}
	return d.cost * share
}
