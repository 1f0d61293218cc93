package ingress

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/allotment"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// assumedRouters is the number of routers that share an allotment if there is no engine
// whose sidecar could be its bank.
const assumedRouters = 16

// unansweredLogInterval is the time between two log lines about banks that did not answer.
const unansweredLogInterval = time.Second

// allotments obtains loans from the banks of tenants' allotments, for all requests of the
// process.
type allotments struct {
	now func() time.Time
	// conn returns the connection to the sidecar of an engine, or nil, and unanswered counts
	// the requests that a bank did not answer.
	conn       func(address string) *transport.Conn
	unanswered func(ident.Tenant)
	logger     log.Interface
	region     ident.Region

	mu    sync.Mutex
	homes allotment.Homes
	// listedAt is when the list of VMs was read that homes is from.
	listedAt time.Time
	borrower *allotment.Borrower
	// share holds this process's share of the allotments if there is no engine.
	share *allotment.Bank
	// waiting holds the channel for the decision on each waiting request.
	waiting map[allotment.Ticket]chan allotment.Action
	// loggedAt is when an unanswered request was last logged.
	loggedAt time.Time
}

func newAllotments(s *Server) *allotments {
	now := s.o.Now()
	return &allotments{
		now: s.o.Now, conn: s.bankConn, unanswered: s.metrics.countUnansweredBank, region: s.o.Settings.Region, logger: s.o.Logger,
		borrower: allotment.NewBorrower(now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		share:    allotment.NewBank(now),
		waiting:  make(map[allotment.Ticket]chan allotment.Action),
	}
}

// setEngines takes the engines of the VM list that was read at a time, by address, and tells
// the banks that have been replaced.
func (a *allotments) setEngines(listedAt time.Time, engines map[string]*fleet.VM) {
	all := make([]allotment.Engine, 0, len(engines))
	for address, vm := range engines {
		all = append(all, allotment.Engine{Address: address, Region: vm.Region})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.listedAt = listedAt
	for _, r := range a.homes.Update(now, all) {
		if c := a.conn(r.Engine.Address); c != nil {
			go tellClosed(c, &allotment.Request{Tenant: r.Tenant, ListAge: now.Sub(listedAt), Closed: true})
		}
	}
}

// tellClosed tells a sidecar that it is no longer a bank of a tenant. Whether it is told
// matters only if another router is cut off from the store.
func tellClosed(c *transport.Conn, r *allotment.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	_, _ = c.Call(ctx, allotment.EncodeRequest(r))
}

// take claims the cost of a request and waits for the decision. It returns nil if ctx ends
// before.
func (a *allotments) take(ctx context.Context, c allotment.Claim) allotment.Action {
	a.mu.Lock()
	now := a.now()
	if !a.homes.Any() {
		defer a.mu.Unlock()
		return a.takeShare(now, c)
	}
	banks, all := a.homes.Banks(now, c.Tenant)
	c.Terms.Banks, c.ListedAt = all, a.listedAt
	c.Banks = make([]allotment.BankLink, len(banks))
	for i, e := range banks {
		c.Banks[i] = allotment.BankLink{Address: e.Address, Near: e.Region == a.region, Connected: a.conn(e.Address) != nil}
	}
	ticket, actions := a.borrower.Take(now, c)
	decided := make(chan allotment.Action, 1)
	a.waiting[ticket] = decided
	a.perform(actions)
	a.mu.Unlock()
	select {
	case v := <-decided:
		return v
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, ticket)
	a.borrower.Cancel(c.Tenant, ticket)
	select {
	case v := <-decided:
		if g, ok := v.(*allotment.Granted); ok {
			a.borrower.Return(a.now(), c.Tenant, c.Cost, g.Expires)
		}
	default:
	}
	return nil
}

// takeShare takes the cost from this process's fixed share. The caller holds mu.
func (a *allotments) takeShare(now time.Time, c allotment.Claim) allotment.Action {
	c.Terms.Banks = assumedRouters
	l := a.share.Lend(now, allotment.Request{Tenant: c.Tenant, Terms: c.Terms, Amount: c.Cost, Least: c.Cost})
	if l.Refused {
		return &allotment.Refused{RetryAfter: l.Wait}
	}
	return &allotment.Granted{}
}

// giveBack returns what a request took that no upstream has got.
func (a *allotments) giveBack(tenant ident.Tenant, c charge) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.Return(a.now(), tenant, c.cost, c.expires)
}

// perform performs the actions of the borrower. The caller holds mu.
func (a *allotments) perform(actions []allotment.Action) {
	for _, v := range actions {
		switch v := v.(type) {
		case *allotment.Ask:
			go a.ask(v)
		case *allotment.Granted:
			a.decide(v.Ticket, v)
		case *allotment.Refused:
			a.decide(v.Ticket, v)
		case *allotment.Unavailable:
			a.decide(v.Ticket, v)
		}
	}
}

// decide passes a decision to the request that waits for it. The caller holds mu.
func (a *allotments) decide(t allotment.Ticket, v allotment.Action) {
	if decided := a.waiting[t]; decided != nil {
		delete(a.waiting, t)
		decided <- v
	}
}

// ask asks a bank for a loan and passes its answer to the borrower.
func (a *allotments) ask(q *allotment.Ask) {
	loan, err := a.call(q)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if err == nil {
		a.perform(a.borrower.Answered(now, q.ID, loan))
		return
	}
	a.unanswered(q.Request.Tenant)
	if now.Sub(a.loggedAt) >= unansweredLogInterval {
		a.loggedAt = now
		a.logger.WithFields(log.Fields{"tenant": q.Request.Tenant, "bank": q.Bank, "limit_ms": ms(q.Limit)}).WithError(err).Warn("bank did not answer")
	}
	a.perform(a.borrower.Unanswered(now, q.ID))
}

func (a *allotments) call(q *allotment.Ask) (allotment.Loan, error) {
	conn := a.conn(q.Bank)
	if conn == nil {
		return allotment.Loan{}, net.ErrClosed
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.Limit)
	defer cancel()
	m, err := conn.Call(ctx, allotment.EncodeRequest(&q.Request))
	if err != nil {
		return allotment.Loan{}, err
	}
	loan, ok := m.(*wire.AllotmentLoan)
	if !ok {
		return allotment.Loan{}, &wire.KindError{Kind: m.Kind()}
	}
	return allotment.DecodeLoan(loan), nil
}
