package residency

import (
	"math"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// grantHalfLife and loadHalfLife are the half-lives of what tenants have got: a tenant
	// that stops requesting is even with the others after some seconds. Loads are few.
	grantHalfLife = 4 * time.Second
	loadHalfLife  = 16 * time.Second
	// shareTolerance is how many times its equal share a tenant may get before it yields.
	shareTolerance = 1.25
	// minShare is the amount below which a tenant is forgotten.
	minShare = 0.01
)

// tenantShare is what each tenant has got recently, decaying over some seconds. It guards
// against a flood of one tenant: a tenant that has got more than its equal share yields
// while others wait. Requests without a tenant share one entry.
type tenantShare struct {
	halfLife time.Duration
	// allowance is the amount that a tenant may get beyond its share, so that single
	// requests of many tenants do not make one of them yield.
	allowance float64
	amounts   map[ident.Tenant]float64
	// total is the sum of the amounts, those of forgotten tenants included.
	total   float64
	updated time.Time
}

// add records that a tenant got an amount.
func (t *tenantShare) add(now time.Time, tenant ident.Tenant, amount float64) {
	t.decay(now)
	if t.amounts == nil {
		t.amounts = make(map[ident.Tenant]float64)
	}
	t.amounts[tenant] += amount
	t.total += amount
}

func (t *tenantShare) decay(now time.Time) {
	factor := math.Exp2(-max(0, now.Sub(t.updated).Seconds()) / t.halfLife.Seconds())
	t.updated = now
	t.total *= factor
	for name, amount := range t.amounts {
		if amount *= factor; amount < minShare {
			delete(t.amounts, name)
		} else {
			t.amounts[name] = amount
		}
	}
}

// limit returns the amount above which a tenant yields, given the tenants that wait.
func (t *tenantShare) limit(now time.Time, waiting map[ident.Tenant]bool) float64 {
	t.decay(now)
	tenants := len(waiting)
	for name := range t.amounts {
		if !waiting[name] {
			tenants++
		}
	}
	return shareTolerance*t.total/float64(max(1, tenants)) + t.allowance
}
