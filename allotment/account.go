package allotment

import (
	"math/rand/v2"
	"slices"
	"time"
)

// account is what a router holds and awaits for one tenant.
type account struct {
	claim   Claim
	loans   []credit
	waiting []waiter
	banks   map[string]*bankView
	demand  demand
	turns   turns
	// refused is the cost of requests that were refused without asking a bank since one was
	// last asked.
	refused float64
	// emptyAt is when a bank last stated that it has nothing left.
	emptyAt time.Time
	// aheadAt is when tokens may next be requested in advance.
	aheadAt time.Time
	usedAt  time.Time
}

// credit is what is left of a loan.
type credit struct {
	amount  float64
	expires time.Time
}

// waiter is a request that waits for a loan.
type waiter struct {
	ticket Ticket
	cost   float64
	since  time.Time
	// asked is set once a bank was asked for its cost. Tried lists the banks that are not
	// asked again, and short is set if one had too little.
	asked bool
	tried []triedBank
	short bool
}

// triedBank is a bank that had too little for a request, or did not answer.
type triedBank struct {
	address string
	short   bool
}

// bankView is what a router knows of a bank and one tenant.
type bankView struct {
	// open is set while a Request awaits its answer, which covers amount.
	open   bool
	amount float64
	// emptyUntil is when the bank may have something to lend.
	emptyUntil time.Time
}

func newAccount() *account { return &account{banks: make(map[string]*bankView)} }

// held returns the sum of the loans.
func (a *account) held(now time.Time) float64 {
	kept, sum := a.loans[:0], 0.0
	for _, l := range a.loans {
		if now.Before(l.expires) && l.amount > 0 {
			kept, sum = append(kept, l), sum+l.amount
		}
	}
	a.loans = kept
	return sum
}

// add adds a loan. Loans are kept in the order in which they expire.
func (a *account) add(amount float64, expires time.Time) {
	at := len(a.loans)
	for at > 0 && expires.Before(a.loans[at-1].expires) {
		at--
	}
	a.loans = append(a.loans, credit{})
	copy(a.loans[at+1:], a.loans[at:])
	a.loans[at] = credit{amount, expires}
}

// spend takes a cost from the loans that expire first, and returns when the first of them
// ends. It reports false if they are too little.
func (a *account) spend(now time.Time, cost float64) (time.Time, bool) {
	if a.held(now) < cost-roundingError {
		return time.Time{}, false
	}
	var expires time.Time
	for i := range a.loans {
		if expires.IsZero() {
			expires = a.loans[i].expires
		}
		part := min(cost, a.loans[i].amount)
		a.loans[i].amount -= part
		if cost -= part; cost <= 0 {
			break
		}
	}
	return expires, true
}

// roundingError is the largest difference between the sum of parts and a cost, in tokens.
const roundingError = 1e-6

// awaited returns what the open requests cover.
func (a *account) awaited() float64 {
	sum := 0.0
	for _, v := range a.banks {
		if v.open {
			sum += v.amount
		}
	}
	return sum
}

// next returns the bank to ask, or that all usable ones are being asked or there is none. The
// nearest banks are asked first. One that was short is not asked again for the same request,
// nor for others before it may have something. One that has not answered is left out for a
// time, unless nothing is known of any other one.
func (a *account) next(now time.Time, tried []triedBank, silent map[string]time.Time, r *rand.Rand) (bank *BankLink, open bool) {
	bank, open = a.nearest(now, tried, silent, r)
	if bank == nil && !open && !a.anyEmpty(now) {
		bank, open = a.nearest(now, tried, nil, r)
	}
	return bank, open
}

// nearest returns one of the nearest banks to ask, or that all of these are being asked.
func (a *account) nearest(now time.Time, tried []triedBank, silent map[string]time.Time, r *rand.Rand) (bank *BankLink, open bool) {
	for _, near := range []bool{true, false} {
		free := 0
		for i := range a.claim.Banks {
			l := &a.claim.Banks[i]
			v := a.banks[l.Address]
			switch {
			case l.Near != near || !l.Connected || now.Before(silent[l.Address]) || wasTried(tried, l.Address):
			case v != nil && v.open:
				open = true
			case v == nil || !now.Before(v.emptyUntil):
				// Each of the free ones is chosen with the same probability.
				if free++; r.IntN(free) == 0 {
					bank = l
				}
			}
		}
		if bank != nil || open {
			return bank, open
		}
	}
	return nil, false
}

// tried records that a bank had too little for the requests that waited when it was asked, or
// did not answer. In the latter case time has passed in which the others may have got more.
func (a *account) tried(bank string, askedAt time.Time, short bool) {
	for i := range a.waiting {
		w := &a.waiting[i]
		if w.since.After(askedAt) {
			continue
		}
		w.short = w.short || short
		if !short {
			w.tried = slices.DeleteFunc(w.tried, func(t triedBank) bool { return t.short })
		}
		if !wasTried(w.tried, bank) {
			w.tried = append(w.tried, triedBank{bank, short})
		}
	}
}

func wasTried(tried []triedBank, bank string) bool {
	return slices.ContainsFunc(tried, func(t triedBank) bool { return t.address == bank })
}

// usable returns the number of banks that can be asked or are being asked.
func (a *account) usable(now time.Time, tried []triedBank, silent map[string]time.Time) int {
	n := 0
	for i := range a.claim.Banks {
		l := &a.claim.Banks[i]
		if v := a.banks[l.Address]; l.Connected && !now.Before(silent[l.Address]) && !wasTried(tried, l.Address) && (v == nil || !now.Before(v.emptyUntil)) {
			n++
		}
	}
	return n
}

// emptyUntil returns the earliest time at which a bank that is known to be empty may have
// something, and false if none is known to be empty.
func (a *account) emptyUntil(now time.Time) (time.Time, bool) {
	var first time.Time
	for _, l := range a.claim.Banks {
		v := a.banks[l.Address]
		if v != nil && now.Before(v.emptyUntil) && (first.IsZero() || v.emptyUntil.Before(first)) {
			first = v.emptyUntil
		}
	}
	return first, !first.IsZero()
}

// anyEmpty reports whether a bank is known to be empty.
func (a *account) anyEmpty(now time.Time) bool {
	_, any := a.emptyUntil(now)
	return any
}

// view returns what is known of a bank.
func (a *account) view(bank string) *bankView {
	v := a.banks[bank]
	if v == nil {
		v = &bankView{}
		a.banks[bank] = v
	}
	return v
}

// idle reports whether the account holds and awaits nothing.
func (a *account) idle(now time.Time, after time.Duration) bool {
	return now.Sub(a.usedAt) > after && len(a.waiting) == 0 && a.awaited() == 0
}
