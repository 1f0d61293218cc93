package ingress

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/quarantine"
)

const (
	// crashCheckDelay is the time between a broken connection and the check whether its
	// server has ended: the sockets of a process that ends are closed one by one.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout bounds a check.
	crashCheckTimeout = time.Second
)

// crashChecks holds the servers that are being checked after a connection to them broke.
type crashChecks struct {
	mu sync.Mutex
	// lost holds what would be told of each server if it has crashed.
	lost map[fleet.ServerStart]*quarantine.Crash
}

// add records a request whose connection broke and reports whether its server has to be
// checked: no check is under way.
func (c *crashChecks) add(now time.Time, server fleet.ServerStart, traits []ident.Trait) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.lost[server]; known != nil {
		known.Merge(traits)
		return false
	}
	if c.lost == nil {
		c.lost = make(map[fleet.ServerStart]*quarantine.Crash)
	}
	c.lost[server] = &quarantine.Crash{Server: server, At: now, Traits: traits}
	return true
}

// take ends the check of a server and returns what was recorded.
func (c *crashChecks) take(server fleet.ServerStart) quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := *c.lost[server]
	delete(c.lost, server)
	return lost
}

// checkServer finds out whether a server has crashed under a request whose connection broke,
// and passes it on if so. Only a refused connection shows that its process has ended;
// connections also break for other reasons. A server that is leaving or is not listed any
// more has not crashed.
func (s *Server) checkServer(vm *fleet.VM, traits []ident.Trait) {
	if !s.clusterState.staying(vm) || !s.crashChecks.add(s.o.Now(), vm.ServerStart(), traits) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		_ = wait.Sleep(ctx, crashCheckDelay)
		err := s.client.Probe(ctx, vm.Address)
		lost := s.crashChecks.take(vm.ServerStart())
		ended := errors.Is(err, syscall.ECONNREFUSED)
		parts, requests := ident.SplitTraits(lost.Traits)
		f := log.Fields{"vm": vm.ID, "service": vm.Service, "ended": ended, "prompt_parts": ident.JoinTraits(parts), "requests": ident.JoinTraits(requests)}
		if err != nil {
			f["error"] = err.Error()
		}
		s.o.Logger.WithFields(f).Info("server checked after a broken connection")
		if ended {
			s.serverCrashed(lost)
		}
	}()
}

// serverCrashed takes a crash that this process has noticed.
func (s *Server) serverCrashed(c quarantine.Crash) {
	s.metrics.serversCrashed.Inc(1)
	s.quarantine.notice(c.Server)
	news := quarantine.News{Crashes: []quarantine.Crash{c}}
	s.tellOrShare(c.Server.Address, news)
	s.observeNews(s.o.Now(), news)
}
