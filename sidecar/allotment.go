package sidecar

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/allotment"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

const (
	// refusalLogInterval is the time between two log lines about one tenant.
	refusalLogInterval = time.Second
	// maxRefusalsLogged bounds the tenants whose last log line is remembered.
	maxRefusalsLogged = 1024
)

// allotments is this sidecar's bank for the allotments of tenants.
type allotments struct {
	mu   sync.Mutex
	bank *allotment.Bank
	// loggedAt is when a refusal of a tenant was last logged.
	loggedAt map[ident.Tenant]time.Time
}

func newAllotments(now time.Time) *allotments {
	return &allotments{bank: allotment.NewBank(now), loggedAt: make(map[ident.Tenant]time.Time)}
}

// lend answers a router's request. It reports whether a refusal is to be logged.
func (a *allotments) lend(now func() time.Time, r allotment.Request) (l allotment.Loan, logged bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := now()
	l = a.bank.Lend(at, r)
	if last, ok := a.loggedAt[r.Tenant]; !l.Refused || ok && at.Sub(last) < refusalLogInterval {
		return l, false
	}
	if len(a.loggedAt) >= maxRefusalsLogged {
		clear(a.loggedAt)
	}
	a.loggedAt[r.Tenant] = at
	return l, true
}

// lend lends a router tokens of a tenant's allotment.
func (s *Sidecar) lend(peer wire.Hello, m *wire.AllotmentRequest, stream *transport.Stream) {
	r := allotment.DecodeRequest(m)
	l, logged := s.allotments.lend(s.o.Now, r)
	if l.Refused {
		s.o.Metrics.Counter("allotment_loans_refused").Inc(1)
	} else {
		s.o.Metrics.Counter("allotment_loans").Inc(1)
	}
	if logged {
		s.o.Logger.WithFields(log.Fields{
			"tenant": r.Tenant, "router": peer.VM, "least": int64(r.Least), "amount": int64(r.Amount), "per_second": r.Terms.PerSecond, "banks": r.Terms.Banks,
			"empty_ms": l.EmptyFor.Milliseconds(), "wait_ms": l.Wait.Milliseconds(),
		}).Info("allotment used up")
	}
	if stream.Send(allotment.EncodeLoan(l)) != nil {
		stream.Reset()
		return
	}
	_ = stream.CloseSend()
}
