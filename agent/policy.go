package agent

import (
	"fmt"
	"sync"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

// policy is the keep-alive policy under the aim of the document in force.
type policy struct {
	mu     sync.Mutex
	aim    config.Aim
	keeper *keepalive.Keeper[ident.Model]
}

func newPolicy() (*policy, error) {
	k, err := keepalive.New[ident.Model](keepalive.Config[ident.Model]{Daily: true})
	if err != nil {
		return nil, err
	}
	return &policy{keeper: k}, nil
}

// setAim follows a change of the document. A changed aim starts a new history.
func (p *policy) setAim(aim config.Aim) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if aim == p.aim {
		return nil
	}
	k, err := keepalive.New[ident.Model](keepalive.Config[ident.Model]{Aim: aim, Daily: true})
	if err != nil {
		return fmt.Errorf("keep-alive: %w", err)
	}
	p.aim = aim
	p.keeper = k
	return nil
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
