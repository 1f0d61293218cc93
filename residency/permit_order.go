package residency

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// tenantLoadRequests is how many waiting requests of one tenant count for a load from the
// weight store, so that a flood does not precede the models of several tenants.
const tenantLoadRequests = 3

// loadDemand is the demand for a model that is only in the weight store.
type loadDemand struct {
	request  PermitRequest
	byTenant map[ident.Tenant]int
	served   int
}

// orderedPermit returns the permit request for the model whose load serves the most waiting
// requests within their MaxWait, by second of load time, or false if none waits. Of equal
// ones it is the model of the request that comes first.
func (s *Scheduler) orderedPermit(now time.Time) (PermitRequest, bool) {
	demands := make(map[ident.Model]*loadDemand)
	var order []ident.Model
	for _, q := range s.places(now, s.waitsForRemoteLoad) {
		d := demands[q.Model]
		if d == nil {
			d = &loadDemand{request: PermitRequest{Model: q.Model, Priority: q.Priority}, byTenant: make(map[ident.Tenant]int)}
			demands[q.Model] = d
			order = append(order, q.Model)
		}
		left := q.expires().Sub(now)
		d.request.Priority = min(d.request.Priority, q.Priority)
		d.request.Remaining = max(d.request.Remaining, left)
		if d.byTenant[q.Tenant]++; !q.over && left >= s.swapTime(q.Model) && d.byTenant[q.Tenant] <= tenantLoadRequests {
			d.served++
		}
	}
	var best *loadDemand
	bestValue := 0.0
	for _, name := range order {
		d := demands[name]
		if value := float64(d.served) / s.swapTime(name).Seconds(); best == nil || value > bestValue {
			best, bestValue = d, value
		}
	}
	if best == nil {
		return PermitRequest{}, false
	}
	return best.request, true
}

func (s *Scheduler) waitsForRemoteLoad(p *pending) bool {
	_, loaded := s.snap.Loaded[p.Model]
	return !loaded && s.tier(p.Model) == engine.TierRemote
}
