package agent

import (
	"sync"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

// policy is the keep-alive policy under the aim of the document in force. It
// makes the state machine of package keepalive safe for concurrent use.
type policy struct {
	mu     sync.Mutex
	keeper *keepalive.HistoryPolicy[ident.Model]
}

// newPolicy returns a policy without history. share gives the part of the
// accelerator that a model takes, between 0 and 1.
func newPolicy(share func(ident.Model) float64) (*policy, error) {
	k, err := keepalive.New(keepalive.Config[ident.Model]{DailyProfile: true, Share: share})
	if err != nil {
		return nil, err
	}
	return &policy{keeper: k}, nil
}

// setAim follows a change of the document.
func (p *policy) setAim(aim config.Aim) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.SetAim(aim)
}

// loaded records how long a load took.
func (p *policy) loaded(m ident.Model, took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keeper.ObserveLoad(m, took, now)
}

// prewarm returns the models that are worth loading ahead of a request, and when
// to ask again.
func (p *policy) prewarm(now time.Time) (models []ident.Model, next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, ok := p.keeper.NextPrewarm(now)
	if !ok {
		next = now.Add(maxPrewarmPause)
	}
	return p.keeper.Prewarm(now), next
}

// Observe implements replica.Policy.
func (p *policy) Observe(m ident.Model, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keeper.Observe(m, now)
}

// KeepUntil implements replica.Policy.
func (p *policy) KeepUntil(m ident.Model, lastUsed time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.KeepUntil(m, lastUsed)
}

// EvictOrder implements replica.Policy.
func (p *policy) EvictOrder(idle []ident.Model, now time.Time) []ident.Model {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.EvictOrder(idle, now)
}
