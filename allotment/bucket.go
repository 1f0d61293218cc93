package allotment

import "time"

const (
	// startTime bounds what a new bucket holds, as a time of its rate: another bank may
	// have lent the tenant's burst just before.
	startTime = time.Second
	// minEmpty is the shortest time for which a bank counts as empty. It bounds the
	// messages of a router whose callers are refused.
	minEmpty = 50 * time.Millisecond
	// askSpacing is the time between two routers that are told to ask again, and
	// maxAskWait the longest time until then. Without it, 360 routers whose callers send
	// eight times an allotment of 216,000 tokens a second sent 2,900 requests a second.
	askSpacing = 10 * time.Millisecond
	maxAskWait = 2 * time.Second
	// banksTTL is how long the highest number of banks that a router has stated is kept.
	// Routers with an older list of VMs must not raise a share.
	banksTTL = 10 * time.Second
	// aheadShare is the part of the burst that is not lent in advance.
	aheadShare = 0.5
)

// bucket is a bank's share of one tenant's allotment.
type bucket struct {
	terms Terms
	// banksAt is when a router last stated terms.Banks or more.
	banksAt time.Time
	// balance is what may be lent at a time. It is negative after a loan of more.
	balance float64
	at      time.Time
	usedAt  time.Time
	// callers is the queue of callers that were refused, and routers that of routers which
	// are told when to ask again.
	callers, routers turns
	// closedBy is when the newest list of VMs was read by which this is no longer a bank of
	// the tenant, zero if there is none.
	closedBy time.Time
}

// newBucket returns a bucket of a bank that began at a time.
func newBucket(now, began time.Time, t Terms) *bucket {
	held := t.perSecond() * min(now.Sub(began), startTime).Seconds()
	return &bucket{terms: t, banksAt: now, balance: min(t.burst(), held), at: now}
}

// advance adds what has accrued since the last call.
func (k *bucket) advance(now time.Time) {
	if passed := now.Sub(k.at).Seconds(); passed > 0 {
		k.balance = min(k.terms.burst(), k.balance+k.terms.perSecond()*passed)
		k.at = now
	}
}

// learn takes the terms that a router states, unless they are older than the known ones.
func (k *bucket) learn(now time.Time, t Terms) {
	if t.Version.supersedes(k.terms.Version) {
		k.terms.PerSecond, k.terms.Burst, k.terms.Version = t.PerSecond, t.Burst, t.Version
	}
	if t.Banks >= k.terms.Banks || now.Sub(k.banksAt) > banksTTL {
		k.terms.Banks, k.banksAt = t.Banks, now
	}
	k.balance = min(k.balance, k.terms.burst())
}

// closed reports whether the bank has been replaced, as far as a router that chose it by a
// list of a given age can't know better. A newer list opens it again.
func (k *bucket) closed(now time.Time, r *Request) bool {
	listedAt := now.Add(-r.ListAge)
	if r.Closed && listedAt.After(k.closedBy) {
		k.closedBy = listedAt
	}
	return r.Closed || !listedAt.After(k.closedBy)
}

// lend returns a loan. It is granted while the balance is not negative, and may then make it
// so by the first of the waiting requests: were the whole amount required, requests of the
// usual size would rarely fit in the shares of a small allotment.
func (k *bucket) lend(now time.Time, r *Request) Loan {
	var l Loan
	debt := k.terms.maxDebt()
	refused := r.Amount > 0 && (k.balance < 0 || r.Least > k.balance+debt)
	if r.Amount > 0 && !refused {
		l.Amount = min(r.Amount, max(r.Least, k.balance))
		k.balance -= l.Amount
	}
	if l.Amount == r.Amount {
		ahead := max(0, min(r.Ahead, k.balance-aheadShare*k.terms.burst()))
		k.balance -= ahead
		l.Amount += ahead
	}
	switch {
	case refused:
		short := max(minEmpty, k.accrual(max(-k.balance, r.Least-debt-k.balance)))
		l.EmptyFor = max(short, k.routers.take(now, now.Add(short), askSpacing, maxAskWait))
	case k.balance < 0:
		l.EmptyFor = max(minEmpty, k.accrual(-k.balance))
	}
	l.Refused = refused
	return l
}

// promise returns when a refused caller should come back, and queues the amount that callers
// were refused. They may be served by any of the tenant's banks.
func (k *bucket) promise(now time.Time, emptyFor time.Duration, amount float64) time.Duration {
	return k.callers.take(now, now.Add(emptyFor), accrual(amount, k.terms.PerSecond), maxWait)
}

// accrual returns the time in which an amount accrues.
func (k *bucket) accrual(amount float64) time.Duration {
	return accrual(amount, k.terms.perSecond())
}

// accrual returns the time in which an amount accrues at a rate, at most maxWait.
func accrual(amount, perSecond float64) time.Duration {
	if amount >= perSecond*maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(amount / perSecond * float64(time.Second))
}

// idle reports whether the bucket was not used for a time and would be as full again.
func (k *bucket) idle(now time.Time, after time.Duration) bool {
	return now.Sub(k.usedAt) > after && k.balance+k.terms.perSecond()*now.Sub(k.at).Seconds() >= k.terms.burst()
}
