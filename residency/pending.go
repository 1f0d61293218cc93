package residency

import "time"

// pending is a request that waits for admission or holds a reservation.
type pending struct {
	Request
	arrivedAt time.Time
	grantedAt time.Time
	// prefillAhead is how many tokens the engine had to prefill before the first
	// event of the request.
	prefillAhead int
	// prefillEnd is the estimated time at which the prompt of the request is prefilled.
	prefillEnd time.Time
}

func (p *pending) isGranted() bool { return !p.grantedAt.IsZero() }

// due returns when the response should begin or, if it has begun, continue.
func (p *pending) due() time.Time {
	if p.Resumed {
		return p.arrivedAt
	}
	return p.arrivedAt.Add(p.Objective)
}

func (p *pending) kind() requestKind { return kindOf(&p.Request) }

// expires returns when the request stops waiting for admission.
func (p *pending) expires() time.Time { return p.arrivedAt.Add(p.MaxWait) }
