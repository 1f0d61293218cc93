package allotment

import (
	"math/rand/v2"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// nearLimit and farLimit bound the wait for a bank's answer within the region and from
	// another one, whose round trip is up to 90 ms.
	nearLimit = 150 * time.Millisecond
	farLimit  = 300 * time.Millisecond
	// maxQueueTime bounds the time that a request waits for its turn while banks are short,
	// and maxShortTime the same if one was short for the request itself. Urgent requests
	// have 500 ms to their first event. With 300 ms for both, requests of tenants within
	// their allotments were refused where most banks are in other regions.
	maxQueueTime = 500 * time.Millisecond
	maxShortTime = 400 * time.Millisecond
	// minSilentTime is how long a bank that has not answered is left out the first time,
	// which may have been a moment's stall of either process. It doubles each time up to
	// maxSilentTime, so that a bank that is gone delays one request a second.
	minSilentTime = 100 * time.Millisecond
	maxSilentTime = 800 * time.Millisecond
	// aheadPause is the time after which tokens are requested in advance again if the bank
	// lent none.
	aheadPause = 300 * time.Millisecond
	// lowShare is the part of what is expected below which more is requested in advance.
	lowShare = 0.5
	// minSpacing is the least time between the returns of two callers that one router
	// refuses. Retry-After has two decimals.
	minSpacing = 10 * time.Millisecond
	// accountIdleTime is the time after which an unused account is dropped, and maxAccounts
	// bounds their number.
	accountIdleTime = 30 * time.Second
	maxAccounts     = 20_000
)

// Borrower obtains and spends the loans of one router. Create one with NewBorrower.
//
// A request that finds no loan asks one bank after the other, those of the region first,
// until one lends. Asking several at once would take fewer round trips when the first is
// short, but the tokens that are lent in excess expire unused, and at one request a second
// these are most.
type Borrower struct {
	rand     *rand.Rand
	accounts map[ident.Tenant]*account
	// silent is when a bank that has not answered is asked again, and silentFor for how long
	// it was last left out.
	silent    map[string]time.Time
	silentFor map[string]time.Duration
	asks      map[AskID]openAsk
	lastID    uint64
	sweptAt   time.Time
}

// openAsk is a request to a bank that has not been answered.
type openAsk struct {
	account *account
	bank    string
	sentAt  time.Time
	request Request
}

// NewBorrower returns a Borrower that holds nothing.
func NewBorrower(now time.Time, r *rand.Rand) *Borrower {
	return &Borrower{
		rand: r, sweptAt: now,
		accounts: make(map[ident.Tenant]*account), silent: make(map[string]time.Time), silentFor: make(map[string]time.Duration), asks: make(map[AskID]openAsk),
	}
}

// Take claims the cost of a request. One of the actions that it or a later call returns ends
// the wait of the ticket.
func (b *Borrower) Take(now time.Time, c Claim) (Ticket, []Action) {
	if passed := now.Sub(b.sweptAt); passed > sweepInterval || passed > fullSweepInterval && len(b.accounts) >= maxAccounts {
		b.sweep(now)
	}
	a := b.accounts[c.Tenant]
	if a == nil {
		a = newAccount()
		if len(b.accounts) < maxAccounts {
			b.accounts[c.Tenant] = a
		}
	}
	a.claim, a.usedAt = c, now
	a.demand.add(now, c.Cost)
	b.lastID++
	t := Ticket(b.lastID)
	a.waiting = append(a.waiting, waiter{ticket: t, cost: c.Cost, since: now})
	return t, b.advance(now, a)
}

// Cancel ends the wait of a request whose caller has gone.
func (b *Borrower) Cancel(tenant ident.Tenant, t Ticket) {
	a := b.accounts[tenant]
	if a == nil {
		return
	}
	for i := range a.waiting {
		if a.waiting[i].ticket == t {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return
		}
	}
}

// Return gives back what was granted to a request that no upstream has got, unless its loan
// has ended.
func (b *Borrower) Return(now time.Time, tenant ident.Tenant, cost float64, expires time.Time) {
	if a := b.accounts[tenant]; a != nil && now.Before(expires) {
		a.add(cost, expires)
	}
}

// Answered takes the answer to a request.
func (b *Borrower) Answered(now time.Time, id AskID, l Loan) []Action {
	o, ok := b.close(id)
	if !ok {
		return nil
	}
	a := o.account
	delete(b.silent, o.bank)
	delete(b.silentFor, o.bank)
	if l.Amount > 0 {
		a.add(min(l.Amount, o.request.Amount+o.request.Ahead), o.sentAt.Add(TTL))
	}
	if l.EmptyFor > 0 {
		a.view(o.bank).emptyUntil = now.Add(min(l.EmptyFor, maxWait))
		a.emptyAt = now
	}
	if l.Refused {
		a.tried(o.bank, o.sentAt, true)
		a.turns.atLeast(now.Add(min(l.Wait, maxWait)))
	}
	if o.request.Ahead > 0 && l.Amount < o.request.Amount+o.request.Ahead {
		a.aheadAt = now.Add(aheadPause)
	}
	return b.advance(now, a)
}

// Unanswered records that a bank could not be asked or has not answered in time. Its answer
// may still arrive, but nothing uses it.
func (b *Borrower) Unanswered(now time.Time, id AskID) []Action {
	o, ok := b.close(id)
	if !ok {
		return nil
	}
	if !now.Before(b.silent[o.bank]) {
		b.silentFor[o.bank] = min(max(minSilentTime, 2*b.silentFor[o.bank]), maxSilentTime)
		b.silent[o.bank] = now.Add(b.silentFor[o.bank])
	}
	o.account.tried(o.bank, o.sentAt, false)
	return b.advance(now, o.account)
}

// close ends a request to a bank.
func (b *Borrower) close(id AskID) (openAsk, bool) {
	o, ok := b.asks[id]
	if ok {
		delete(b.asks, id)
		v := o.account.view(o.bank)
		v.open, v.amount = false, 0
	}
	return o, ok
}

// advance serves the waiting requests in order, as far as the loans go, and asks a bank for
// what the others need. If there is none to be asked, they are refused.
func (b *Borrower) advance(now time.Time, a *account) []Action {
	var out []Action
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		expires, ok := a.spend(now, w.cost)
		if !ok {
			ask, open := b.ask(now, a)
			if ask != nil {
				out = append(out, ask)
			}
			if ask != nil || open {
				return out
			}
			out = append(out, b.refuse(now, a, w))
		} else {
			out = append(out, &Granted{Ticket: w.ticket, Expires: expires})
		}
		a.waiting = a.waiting[1:]
	}
	if ask := b.askAhead(now, a); ask != nil {
		out = append(out, ask)
	}
	return out
}

// ask asks the next bank for what the waiting requests need beyond what is held and awaited.
// It reports whether there is an answer to wait for.
func (b *Borrower) ask(now time.Time, a *account) (*Ask, bool) {
	covered := a.held(now) + a.awaited()
	need, least := 0.0, 0.0
	for _, w := range a.waiting {
		need += w.cost
		if least == 0 && need > covered+roundingError {
			least = need - covered
		}
	}
	if least == 0 {
		return nil, true
	}
	head := &a.waiting[0]
	var bank *BankLink
	open := false
	patience := maxQueueTime
	if head.short {
		patience = maxShortTime
	}
	if now.Sub(head.since) < patience || now.Sub(a.emptyAt) > maxQueueTime {
		bank, open = a.next(now, head.tried, b.silent, b.rand)
	}
	amount, piece := need-covered, a.claim.Terms.maxPiece()
	if least > piece && float64(a.usable(now, head.tried, b.silent))*piece < least {
		// The parts that some banks lent would expire unused.
		bank = nil
	}
	if bank == nil {
		return nil, open
	}
	if least > piece {
		least, amount = piece, piece
	}
	return b.send(now, a, bank, Request{Amount: amount, Least: least, Ahead: b.ahead(now, a, covered-need)}), true
}

// askAhead asks for what the requests of the next aheadTime will need, if little is held.
func (b *Borrower) askAhead(now time.Time, a *account) *Ask {
	held := a.held(now)
	if expected := a.demand.ahead(); expected == 0 || held > lowShare*expected || a.awaited() > 0 || now.Before(a.aheadAt) {
		return nil
	}
	bank, open := a.next(now, nil, b.silent, b.rand)
	if bank == nil || open {
		return nil
	}
	return b.send(now, a, bank, Request{Ahead: b.ahead(now, a, held)})
}

// ahead returns what to request in advance, given what is left after the waiting requests.
func (b *Borrower) ahead(now time.Time, a *account, left float64) float64 {
	if now.Before(a.aheadAt) {
		return 0
	}
	return max(0, a.demand.ahead()-max(0, left))
}

// send opens a request to a bank.
func (b *Borrower) send(now time.Time, a *account, bank *BankLink, r Request) *Ask {
	r.Tenant, r.Terms, r.ListAge = a.claim.Tenant, a.claim.Terms, now.Sub(a.claim.ListedAt)
	r.Refused, a.refused = a.refused, 0
	for i := range a.waiting {
		a.waiting[i].asked = true
	}
	v := a.view(bank.Address)
	v.open, v.amount = true, r.Amount+r.Ahead
	b.lastID++
	id := AskID(b.lastID)
	b.asks[id] = openAsk{account: a, bank: bank.Address, sentAt: now, request: r}
	limit := farLimit
	if bank.Near {
		limit = nearLimit
	}
	return &Ask{ID: id, Bank: bank.Address, Request: r, Limit: limit}
}

// refuse ends the wait of a request for which no bank is left to be asked.
func (b *Borrower) refuse(now time.Time, a *account, w waiter) Action {
	earliest, ok := a.emptyUntil(now)
	switch {
	case ok:
	case w.short:
		// What the banks had was lent to others.
		earliest = now
	case a.usable(now, w.tried, b.silent) == 0:
		return &Unavailable{Ticket: w.ticket}
	default:
		// It costs more than all banks in reach can lend.
		earliest, a.emptyAt = now.Add(maxWait/2), now
	}
	if !w.asked {
		a.refused += w.cost
	}
	// The time must not be rounded to zero.
	if soonest := now.Add(minSpacing); earliest.Before(soonest) {
		earliest = soonest
	}
	length := max(minSpacing, accrual(w.cost, a.claim.Terms.PerSecond))
	return &Refused{Ticket: w.ticket, RetryAfter: a.turns.take(now, earliest, length, maxWait), Age: now.Sub(a.emptyAt)}
}

// sweep drops what is no longer needed.
func (b *Borrower) sweep(now time.Time) {
	b.sweptAt = now
	for tenant, a := range b.accounts {
		if a.idle(now, accountIdleTime) {
			delete(b.accounts, tenant)
		}
	}
	for bank, until := range b.silent {
		if now.After(until) {
			delete(b.silent, bank)
			delete(b.silentFor, bank)
		}
	}
}
