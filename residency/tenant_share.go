package residency

import (
	"maps"
	"math"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// grantHalfLife and loadHalfLife are the half-lives of what tenants have got: a tenant
	// that stops requesting is even with the others after some seconds. Loads are few.
	grantHalfLife = 4 * time.Second
	loadHalfLife  = 16 * time.Second
	// shareTolerance is how many times its share a tenant may get before it yields.
	shareTolerance = 1.25
	// minShare is the amount below which a tenant is forgotten.
	minShare = 0.01
)

// tenantShare is what each tenant has got recently, decaying over some seconds. It guards
// against a flood of one tenant: a tenant that has got more than its share yields while others
// wait. Shares are in proportion to the tenants' allotments, so that a large tenant within its
// own does not yield to small ones. Requests without a tenant share one entry.
type tenantShare struct {
	halfLife time.Duration
	// allowance is the amount that a tenant may get beyond its share, so that single
	// requests of many tenants do not make one of them yield.
	allowance float64
	amounts   map[ident.Tenant]tenantAmount
	// total is the sum of the amounts, those of forgotten tenants included.
	total float64
	// unlimited is the weight of tenants without an allotment: the largest of the others.
	unlimited float64
	updated   time.Time
}

// tenantAmount is what one tenant has got. Weight is its allotment, or zero without one.
type tenantAmount struct{ amount, weight float64 }

// add records that a tenant got an amount.
func (t *tenantShare) add(now time.Time, tenant ident.Tenant, weight, amount float64) {
	t.decay(now)
	if t.amounts == nil {
		t.amounts = make(map[ident.Tenant]tenantAmount)
	}
	t.amounts[tenant] = tenantAmount{amount: t.amounts[tenant].amount + amount, weight: weight}
	t.total += amount
}

func (t *tenantShare) decay(now time.Time) {
	factor := math.Exp2(-max(0, now.Sub(t.updated).Seconds()) / t.halfLife.Seconds())
	t.updated = now
	t.total *= factor
	for name, a := range t.amounts {
		if a.amount *= factor; a.amount < minShare {
			delete(t.amounts, name)
		} else {
			t.amounts[name] = a
		}
	}
}

// limit returns the amount for each unit of weight above which a tenant yields, given the
// weights of the tenants that wait.
func (t *tenantShare) limit(now time.Time, waiting map[ident.Tenant]float64) float64 {
	t.decay(now)
	weights := maps.Clone(waiting)
	for name, a := range t.amounts {
		weights[name] = a.weight
	}
	t.unlimited = 0
	for _, w := range weights {
		t.unlimited = max(t.unlimited, w)
	}
	if t.unlimited == 0 {
		t.unlimited = 1
	}
	sum := 0.0
	for _, w := range weights {
		sum += t.weight(w)
	}
	return shareTolerance * t.total / max(t.unlimited, sum)
}

// exceeds reports whether a tenant has got more than a limit for each unit of weight.
func (t *tenantShare) exceeds(tenant ident.Tenant, limit float64) bool {
	a := t.amounts[tenant]
	return a.amount > limit*t.weight(a.weight)+t.allowance
}

func (t *tenantShare) weight(w float64) float64 {
	if w <= 0 {
		return t.unlimited
	}
	return w
}
