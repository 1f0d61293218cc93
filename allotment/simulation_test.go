package allotment

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

var start = time.Unix(1000, 0)

const (
	tenantName   = ident.Tenant("t1")
	windowLength = 8 * time.Second
	// quotaOver and quotaSlack are those of the platform's bound.
	quotaOver  = 0.1
	quotaSlack = 11_000
	pollTime   = 1600 * time.Millisecond
)

// simulation plays routers, banks and the callers of one tenant on virtual time.
type simulation struct {
	r       *rand.Rand
	now     time.Time
	queue   eventQueue
	seq     int
	banks   map[string]*simBank
	routers []*simRouter
	engines []Engine
	terms   Terms

	served   []served
	refused  int
	failed   int
	messages int
	waits    []time.Duration
	longest  time.Duration
}

type served struct {
	sent, arrived time.Time
	cost          float64
}

type simBank struct {
	address string
	region  ident.Region
	bank    *Bank
	down    bool
}

type simRouter struct {
	region   ident.Region
	borrower *Borrower
	homes    Homes
	terms    Terms
	tickets  map[Ticket]claimed
	cut      map[string]bool
	listedAt time.Time
	// noStore is set while the router can't read lists and configurations.
	noStore     bool
	pausedUntil time.Time
}

type claimed struct {
	sent time.Time
	cost float64
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, do})
}

// newSimulation returns routers and engines, spread over regions, that have run for a minute.
func newSimulation(seed uint64, routers, engines, regions int, perSecond, burst float64) *simulation {
	s := &simulation{
		r: rand.New(rand.NewPCG(seed, 7)), now: start, banks: make(map[string]*simBank),
		terms: Terms{PerSecond: perSecond, Burst: burst, Version: Version{Revision: 1}},
	}
	for i := range engines {
		s.addEngine(i, regions)
	}
	for i := range routers {
		s.addRouter(i, regions)
	}
	s.now = start.Add(time.Minute)
	return s
}

func regionOf(i, regions int) ident.Region { return ident.Region(rune('a' + i%regions)) }

func (s *simulation) addEngine(i, regions int) {
	e := Engine{Address: "10.0.0." + string(rune('A'+i)), Region: regionOf(i, regions)}
	s.engines = append(s.engines, e)
	s.banks[e.Address] = &simBank{address: e.Address, region: e.Region, bank: NewBank(s.now)}
}

func (s *simulation) addRouter(i, regions int) *simRouter {
	r := &simRouter{region: regionOf(i, regions), tickets: make(map[Ticket]claimed), cut: make(map[string]bool), terms: s.terms}
	r.borrower = NewBorrower(s.now, rand.New(rand.NewPCG(s.r.Uint64(), 1)))
	s.read(r)
	s.routers = append(s.routers, r)
	return r
}

// startPolls makes the routers read lists and configurations from now on.
func (s *simulation) startPolls() {
	for _, r := range s.routers {
		s.after(time.Duration(s.r.Float64()*float64(pollTime)), func() { s.poll(r) })
	}
}

func (s *simulation) poll(r *simRouter) {
	if !r.noStore && !s.now.Before(r.pausedUntil) {
		s.read(r)
	}
	s.after(pollTime, func() { s.poll(r) })
}

// read makes a router read the newest list and configuration, and tell the banks that have
// been replaced.
func (s *simulation) read(r *simRouter) {
	r.terms, r.listedAt = s.terms, s.now
	for _, p := range r.homes.Update(s.now, s.engines) {
		b, listedAt := s.banks[p.Engine.Address], s.now
		s.after(2*time.Millisecond, func() {
			if !b.down && !r.cut[b.address] {
				b.bank.Lend(s.now, Request{Tenant: p.Tenant, Closed: true, ListAge: s.now.Sub(listedAt)})
			}
		})
	}
}

// homes returns the addresses of the tenant's banks by the newest list.
func (s *simulation) homes() []string {
	var h Homes
	h.Update(s.now, s.engines)
	banks, _ := h.Banks(s.now, tenantName)
	out := make([]string, len(banks))
	for i, e := range banks {
		out[i] = e.Address
	}
	return out
}

// deliver runs something at a router, once it is no longer paused.
func (s *simulation) deliver(r *simRouter, do func()) {
	if s.now.Before(r.pausedUntil) {
		s.after(r.pausedUntil.Sub(s.now), func() { s.deliver(r, do) })
		return
	}
	do()
}

func (s *simulation) request(r *simRouter, cost float64) {
	sent := s.now
	s.deliver(r, func() {
		terms := r.terms
		engines, all := r.homes.Banks(s.now, tenantName)
		terms.Banks = all
		c := Claim{Tenant: tenantName, Terms: terms, Cost: cost, ListedAt: r.listedAt}
		for _, e := range engines {
			c.Banks = append(c.Banks, BankLink{Address: e.Address, Near: e.Region == r.region, Connected: true})
		}
		t, actions := r.borrower.Take(s.now, c)
		r.tickets[t] = claimed{sent, cost}
		s.perform(r, actions)
	})
}

func (s *simulation) perform(r *simRouter, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *Ask:
			s.ask(r, a)
		case *Granted:
			c := r.tickets[a.Ticket]
			delete(r.tickets, a.Ticket)
			s.longest = max(s.longest, s.now.Sub(c.sent))
			s.deliver(r, func() { s.served = append(s.served, served{c.sent, s.now, c.cost}) })
		case *Refused:
			delete(r.tickets, a.Ticket)
			s.refused++
			s.waits = append(s.waits, a.RetryAfter)
		case *Unavailable:
			delete(r.tickets, a.Ticket)
			s.failed++
		}
	}
}

func (s *simulation) ask(r *simRouter, a *Ask) {
	s.messages++
	answered := false
	borrower := r.borrower
	b := s.banks[a.Bank]
	delay := time.Duration((0.3 + s.r.Float64()) * float64(time.Millisecond))
	if b != nil && b.region != r.region {
		delay += 40 * time.Millisecond
	}
	s.after(delay, func() {
		if b == nil || b.down || r.cut[a.Bank] {
			return
		}
		l := b.bank.Lend(s.now, a.Request)
		s.after(delay, func() {
			if r.cut[a.Bank] {
				return
			}
			s.deliver(r, func() {
				if !answered && r.borrower == borrower {
					answered = true
					s.perform(r, r.borrower.Answered(s.now, a.ID, l))
				}
			})
		})
	})
	s.after(a.Limit, func() {
		s.deliver(r, func() {
			if !answered && r.borrower == borrower {
				answered = true
				s.perform(r, r.borrower.Unanswered(s.now, a.ID))
			}
		})
	})
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// usualCost returns the cost of a request: about 1,500, at most 5,000.
func usualCost(r *rand.Rand) float64 {
	if r.IntN(40) == 0 {
		return 5000
	}
	return 200 + r.Float64()*2400
}

// flood sends requests at random times to random routers, at a multiple of the rate.
func (s *simulation) flood(times float64, d time.Duration, cost func(*rand.Rand) float64) {
	end := s.now.Add(d)
	var next func()
	next = func() {
		c := cost(s.r)
		s.request(s.routers[s.r.IntN(len(s.routers))], c)
		gap := time.Duration(s.r.ExpFloat64() * c / (times * s.terms.PerSecond) * float64(time.Second))
		if s.now.Add(gap).Before(end) {
			s.after(gap, next)
		}
	}
	next()
}

// most returns the largest sum of what was sent and arrived within a window.
func (s *simulation) most() float64 {
	slices.SortFunc(s.served, func(a, b served) int { return a.sent.Compare(b.sent) })
	most := 0.0
	for i := range s.served {
		end, sum := s.served[i].sent.Add(windowLength), 0.0
		for _, r := range s.served[i:] {
			if r.sent.After(end) {
				break
			}
			if !r.arrived.After(end) {
				sum += r.cost
			}
		}
		most = max(most, sum)
	}
	return most
}

func (s *simulation) sum() float64 {
	sum := 0.0
	for _, r := range s.served {
		sum += r.cost
	}
	return sum
}

func bound(perSecond, burst float64) float64 {
	return (perSecond*windowLength.Seconds()+burst)*(1+quotaOver) + quotaSlack
}

// checkBound reports a window in which more arrived than is allowed.
func (s *simulation) checkBound(t *testing.T) {
	t.Helper()
	most, allowed := s.most(), bound(s.terms.PerSecond, s.terms.Burst)
	t.Logf("%.0f in a window of %.0f, %.0f in all, %d refused, %d failed, %d messages, longest wait %v", most, allowed, s.sum(), s.refused, s.failed, s.messages, s.longest)
	if most > allowed {
		t.Errorf("%.0f in a window, %.0f allowed", most, allowed)
	}
}
