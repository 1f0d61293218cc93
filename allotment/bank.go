package allotment

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// maxBuckets bounds the tenants of one bank. Of 10,000 tenants with three banks each,
	// one of 1,600 sidecars has some 20.
	maxBuckets = 16_384
	// bucketIdleTime is the time after which a full bucket is dropped.
	bucketIdleTime = 10 * time.Minute
	// sweepInterval is the time between two searches for idle entries, and
	// fullSweepInterval the same while there is no room for more.
	sweepInterval     = 10 * time.Second
	fullSweepInterval = time.Second
)

// Bank lends the share of one bank in the allotments of tenants. What it lends of one
// allotment within a time is at most the share of the rate for that time, of the burst, and
// one request. Create one with NewBank.
type Bank struct {
	// began is when the bank started, with nothing lent and nothing held.
	began   time.Time
	buckets map[ident.Tenant]*bucket
	sweptAt time.Time
}

// NewBank returns a bank that starts at a time.
func NewBank(now time.Time) *Bank {
	return &Bank{began: now, buckets: make(map[ident.Tenant]*bucket), sweptAt: now}
}

// Lend answers a request. Requests without a limit, and those of more tenants than a bank
// can have, get nothing.
func (b *Bank) Lend(now time.Time, r Request) Loan {
	if now.Sub(b.sweptAt) > sweepInterval {
		b.sweep(now, bucketIdleTime)
	}
	k := b.buckets[r.Tenant]
	switch {
	case r.Terms.PerSecond <= 0 && !r.Closed:
		return Loan{Refused: true, EmptyFor: maxWait, Wait: maxWait}
	case k == nil && len(b.buckets) >= maxBuckets:
		if now.Sub(b.sweptAt) > fullSweepInterval {
			b.sweep(now, 0)
		}
		if len(b.buckets) >= maxBuckets {
			return Loan{Refused: true, EmptyFor: maxWait, Wait: maxWait}
		}
		fallthrough
	case k == nil:
		k = newBucket(now, b.began, r.Terms)
		b.buckets[r.Tenant] = k
	}
	k.usedAt = now
	if k.closed(now, &r) {
		return Loan{Refused: true, EmptyFor: maxAskWait, Wait: maxAskWait}
	}
	k.advance(now)
	k.learn(now, r.Terms)
	l := k.lend(now, &r)
	if r.Refused > 0 {
		k.promise(now, 0, r.Refused)
	}
	if l.Refused {
		l.Wait = k.promise(now, l.EmptyFor, r.Amount)
	}
	return l
}

// Balance returns what the bank may lend to a tenant, and its share of the burst.
func (b *Bank) Balance(now time.Time, tenant ident.Tenant) (balance, burst float64) {
	k := b.buckets[tenant]
	if k == nil {
		return 0, 0
	}
	k.advance(now)
	return k.balance, k.terms.burst()
}

// sweep drops the idle buckets.
func (b *Bank) sweep(now time.Time, idleTime time.Duration) {
	b.sweptAt = now
	for tenant, k := range b.buckets {
		if k.idle(now, idleTime) {
			delete(b.buckets, tenant)
		}
	}
}
