package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// permitState is a requested or granted permit to load a model from the weight store.
type permitState struct {
	PermitRequest
	granted   bool
	grantedAt time.Time
}

// permittedLoad is a completed load for which a permit was granted.
type permittedLoad struct {
	permit uint64
	took   time.Duration
}

// held reports whether the permit has been granted.
func (p *permitState) held() bool { return p != nil && p.granted }

// permitTTL is how long an unused permit is kept while no memory can be freed for the
// load.
const permitTTL = 4 * time.Second

// PermitDecided takes the decision on a PermitRequest: whether a permit is granted
// and for which model. Decisions on any but the newest request are ignored. When a permit
// is denied, the requests that wait for its model are refused at once: other VMs have the
// weights, or load them already.
func (s *Scheduler) PermitDecided(now time.Time, id uint64, model ident.Model, d PermitDecision) []Action {
	if s.permit == nil || s.permit.ID != id {
		return nil
	}
	if d != PermitGranted || s.spec == nil || s.spec.Model(model) == nil {
		wanted := s.permit.Model
		s.permit = nil
		s.nextPermitRequest = now.Add(permitRetryDelay)
		if d != PermitDenied || wanted == "" {
			return nil
		}
		return append(s.refuseWaiting(now, wanted), s.Tick(now)...)
	}
	s.permit.Model, s.permit.granted, s.permit.grantedAt = model, true, now
	return s.Tick(now)
}

// refuseWaiting refuses the requests that wait for a model, if its weights are only in the
// weight store.
func (s *Scheduler) refuseWaiting(now time.Time, name ident.Model) []Action {
	if _, loaded := s.snap.Loaded[name]; loaded || s.tier(name) != engine.TierRemote {
		return nil
	}
	var out []Action
	s.requests = slices.DeleteFunc(s.requests, func(p *pending) bool {
		if p.isGranted() || p.Model != name {
			return false
		}
		out = append(out, &Refuse{ID: p.ID, RetryAfter: s.spec.Model(name).RemoteLoad, Reason: ReasonNoPermit})
		return true
	})
	return out
}

// PermitRequestOpen reports whether a PermitRequest is undecided or its permit is
// held.
func (s *Scheduler) PermitRequestOpen(id uint64) bool { return s.permit != nil && s.permit.ID == id }

// LoadTime returns how long the load took for which a permit was granted, or zero if it
// has not completed.
func (s *Scheduler) LoadTime(id uint64) time.Duration {
	if s.lastLoad.permit != id {
		return 0
	}
	return s.lastLoad.took
}

// expirePermit drops a permit that was not used within permitTTL.
func (s *Scheduler) expirePermit(now time.Time) {
	p := s.permit
	if p.held() && !s.loading(p.Model) && now.Sub(p.grantedAt) > permitTTL {
		s.permit = nil
		s.nextPermitRequest = now.Add(permitRetryDelay)
	}
}

// requestPermit returns a request for a permit to load from the weight store: for the
// first model that a request waits for or a caller is expected to retry, or without a
// model while nothing else is to be loaded. A request without a model is replaced by
// one with a model.
func (s *Scheduler) requestPermit(now time.Time) []Action {
	if s.inFlight != nil && s.inFlight.loadsModel() {
		return nil
	}
	request := s.neededPermit(now)
	open := s.permit != nil
	switch {
	case open && (s.permit.granted || s.permit.Model != "" || request.Model == ""):
		return nil
	case !open && now.Before(s.nextPermitRequest):
		return nil
	case request.Model == "" && len(s.neededModels(now)) > 0:
		return nil
	}
	s.permitRequestID++
	request.ID = s.permitRequestID
	s.permit = &permitState{PermitRequest: request}
	return []Action{&request}
}

// neededPermit returns the permit request for the remote model of the first waiting
// request, or that which orderedPermit chooses, or else for an expected retry. Model is empty if there is neither.
func (s *Scheduler) neededPermit(now time.Time) PermitRequest {
	if s.Ordered(now) {
		if r, ok := s.orderedPermit(now); ok {
			return r
		}
	}
	for _, p := range s.requests {
		_, loaded := s.snap.Loaded[p.Model]
		if !p.isGranted() && !loaded && s.tier(p.Model) == engine.TierRemote {
			return PermitRequest{Model: p.Model, Priority: p.Priority, Remaining: p.expires().Sub(now)}
		}
	}
	return PermitRequest{Model: s.expectedRemoteModel(now), Priority: speculativePriority}
}
