package ingress

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laureltally/laureltally/allotment"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// assumedRouters is the number of routers that share an allotment if there is no engine
// whose sidecar could be its bank.
const assumedRouters = 16

// allotments obtains loans from the banks of tenants' allotments, for all requests of the
// process.
type allotments struct {
	now func() time.Time
	// conn returns the connection to the sidecar of an engine, or nil, and unanswered counts
	// the requests that a bank did not answer.
	conn       func(address string) *transport.Conn
	unanswered func(ident.Tenant)
	region     ident.Region

	mu       sync.Mutex
	homes    allotment.Homes
	borrower *allotment.Borrower
	// share holds this process's share of the allotments if there is no engine.
	share *allotment.Bank
	// waiting holds the channel for the decision on each waiting request.
	waiting map[allotment.Ticket]chan allotment.Action
}

func newAllotments(s *Server) *allotments {
	now := s.o.Now()
	return &allotments{
		now: s.o.Now, conn: s.bankConn, unanswered: s.metrics.countUnansweredBank, region: s.o.Settings.Region,
		borrower: allotment.NewBorrower(now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		share:    allotment.NewBank(now),
		waiting:  make(map[allotment.Ticket]chan allotment.Action),
	}
}

// setEngines takes the engines of the VM list, by address.
func (a *allotments) setEngines(engines map[string]*fleet.VM) {
	all := make([]allotment.Engine, 0, len(engines))
	for address, vm := range engines {
		all = append(all, allotment.Engine{Address: address, Region: vm.Region})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.homes.Update(a.now(), all)
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
	c.Terms.Banks = all
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
	loan, ok := a.call(q)
	if !ok {
		a.unanswered(q.Request.Tenant)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if ok {
		a.perform(a.borrower.Answered(a.now(), q.ID, loan))
		return
	}
	a.perform(a.borrower.Unanswered(a.now(), q.ID))
}

func (a *allotments) call(q *allotment.Ask) (allotment.Loan, bool) {
	conn := a.conn(q.Bank)
	if conn == nil {
		return allotment.Loan{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.Limit)
	defer cancel()
	m, err := conn.Call(ctx, allotment.EncodeRequest(&q.Request))
	if err != nil {
		return allotment.Loan{}, false
	}
	loan, ok := m.(*wire.AllotmentLoan)
	if !ok {
		return allotment.Loan{}, false
	}
	return allotment.DecodeLoan(loan), true
}
