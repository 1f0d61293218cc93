package agent

import (
	"sync"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

// policy is the keep-alive policy with the weights of the current document. It
// makes a keepalive.HistoryPolicy safe for concurrent use.
type policy struct {
	mu      sync.Mutex
	history *keepalive.HistoryPolicy[ident.Model]
}

// newPolicy returns a policy without history. share returns the share of the
// accelerator that a model occupies, between 0 and 1.
func newPolicy(share func(ident.Model) float64) (*policy, error) {
	h, err := keepalive.New(keepalive.Config[ident.Model]{DailyProfile: true, Share: share})
	if err != nil {
		return nil, err
	}
	return &policy{history: h}, nil
}

// setAim applies the weights of a new document.
func (p *policy) setAim(aim config.Aim) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history.SetAim(aim)
}

// observeLoad records the duration of a load.
func (p *policy) observeLoad(m ident.Model, took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history.ObserveLoad(m, took, now)
}

// prewarm returns the models worth loading ahead of a request, and when to call
// it again.
func (p *policy) prewarm(now time.Time) (models []ident.Model, next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, ok := p.history.NextPrewarm(now)
	if !ok {
		next = now.Add(maxPrewarmPause)
	}
	return p.history.Prewarm(now), next
}

// Observe implements replica.Policy.
func (p *policy) Observe(m ident.Model, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history.Observe(m, now)
}

// KeepUntil implements replica.Policy.
func (p *policy) KeepUntil(m ident.Model, lastUsed time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history.KeepUntil(m, lastUsed)
}

// EvictOrder implements replica.Policy.
func (p *policy) EvictOrder(idle []ident.Model, now time.Time) []ident.Model {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history.EvictOrder(idle, now)
}
