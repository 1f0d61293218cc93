package allotment

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/ident"
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func terms(perSecond, burst float64, banks int) Terms {
	return Terms{PerSecond: perSecond, Burst: burst, Banks: banks, Version: Version{Revision: 1}}
}

func request(t Terms, amount float64) Request {
	return Request{Tenant: tenantName, Terms: t, Amount: amount, Least: amount}
}

// Between any two moments a bank lends at most its share of the rate for the time between
// them, of the burst, and one request. It guards against shares that are not divided, and
// against balances that grow beyond the burst or while nothing has passed.
func TestBankLendsNoMoreThanItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tm := terms(rapid.Float64Range(1, 1e6).Draw(t, "rate"), rapid.Float64Range(0, 1e6).Draw(t, "burst"), rapid.IntRange(1, 6).Draw(t, "banks"))
		b := NewBank(at(-rapid.IntRange(0, 100_000).Draw(t, "age")))
		type lent struct {
			at     time.Time
			amount float64
		}
		var all []lent
		largest := 0.0
		now := at(0)
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			r := request(tm, rapid.Float64Range(0, 20_000).Draw(t, "amount"))
			r.Least = rapid.Float64Range(0, 1).Draw(t, "least") * r.Amount
			r.Ahead = rapid.Float64Range(0, 10_000).Draw(t, "ahead")
			l := b.Lend(now, r)
			if l.Refused && l.Amount > 0 || l.Amount > r.Amount+r.Ahead {
				t.Fatalf("%+v for %+v", l, r)
			}
			if l.Amount > 0 {
				largest = max(largest, r.Least)
			}
			all = append(all, lent{now, l.Amount})
		}
		share := 1 / float64(tm.Banks)
		for i := range all {
			sum := 0.0
			for _, l := range all[i:] {
				sum += l.amount
				passed := l.at.Sub(all[i].at).Seconds()
				if allowed := share*(tm.PerSecond*passed+tm.Burst) + largest; sum > allowed*(1+1e-9)+1e-3 {
					t.Fatalf("%v lent in %v s, %v allowed", sum, passed, allowed)
				}
			}
		}
	})
}

func TestNewBankHoldsOneSecondAtMost(t *testing.T) {
	tm := terms(900, 9000, 1)
	for _, tt := range []struct {
		age  time.Duration
		want float64
	}{{0, 0}, {500 * time.Millisecond, 450}, {time.Hour, 900}} {
		b := NewBank(at(0).Add(-tt.age))
		b.Lend(at(0), request(tm, 0))
		if got, _ := b.Balance(at(0), tenantName); got != tt.want {
			t.Errorf("after %v: %v", tt.age, got)
		}
	}
	b := NewBank(at(0))
	b.Lend(at(0), request(terms(900, 300, 1), 0))
	if got, _ := b.Balance(at(5000), tenantName); got != 300 {
		t.Errorf("%v with a burst of 300", got)
	}
}

// A router with an old configuration, or with an old list of VMs, must not raise a limit.
func TestBankKeepsTheNewestTerms(t *testing.T) {
	b := NewBank(at(-60_000))
	old, lower := terms(9000, 9000, 3), terms(900, 900, 3)
	lower.Version.Revision = 2
	b.Lend(at(0), request(old, 0))
	b.Lend(at(5000), request(lower, 0))
	if got, burst := b.Balance(at(5000), tenantName); got != 300 || burst != 300 {
		t.Errorf("balance %v of %v after the limit was lowered", got, burst)
	}
	b.Lend(at(6000), request(old, 0))
	if got, _ := b.Balance(at(20_000), tenantName); got != 300 {
		t.Errorf("a router with an old configuration raised the balance to %v", got)
	}
	// A configuration of a restored store with a lower number is older.
	restored := terms(9000, 9000, 3)
	restored.Version = Version{Revision: 1 << 60, Restores: 1, Number: 4}
	lower.Version = Version{Revision: 3, Number: 5}
	b.Lend(at(20_000), request(lower, 0))
	b.Lend(at(20_000), request(restored, 0))
	if got, _ := b.Balance(at(30_000), tenantName); got != 300 {
		t.Errorf("a restored configuration raised the balance to %v", got)
	}
	fewer := lower
	fewer.Banks = 1
	b.Lend(at(30_000), request(lower, 0))
	b.Lend(at(31_000), request(fewer, 0))
	if got, _ := b.Balance(at(39_000), tenantName); got != 300 {
		t.Errorf("a router with an old list raised the balance to %v", got)
	}
	b.Lend(at(41_000), request(fewer, 0))
	if got, _ := b.Balance(at(60_000), tenantName); got != 900 {
		t.Errorf("balance %v once all routers state one bank", got)
	}
	raised := fewer
	raised.PerSecond, raised.Burst, raised.Version.Revision = 4000, 4000, 4
	raised.Version.Number = 6
	b.Lend(at(60_000), request(raised, 0))
	if got, _ := b.Balance(at(61_000), tenantName); got != 4000 {
		t.Errorf("balance %v a second after the limit was raised", got)
	}
}

// Large requests of a small allotment are lent in excess of the balance, up to a bound.
func TestBankLendsInExcessUpToABound(t *testing.T) {
	tm := terms(2700, 2700, 3)
	b := NewBank(at(-60_000))
	if l := b.Lend(at(0), request(tm, 900+tm.maxDebt()+1)); !l.Refused || l.EmptyFor == 0 {
		t.Errorf("%+v beyond the bound", l)
	}
	if l := b.Lend(at(0), request(tm, 900+tm.maxDebt())); l.Amount != 900+tm.maxDebt() || l.EmptyFor == 0 {
		t.Errorf("%+v at the bound", l)
	}
	l := b.Lend(at(0), request(tm, 1))
	if want := accrual(tm.maxDebt(), 900); !l.Refused || l.EmptyFor < want-time.Millisecond || l.EmptyFor > maxAskWait+want {
		t.Errorf("%+v while it is owed, want %v", l, want)
	}
	if sum := tm.maxDebt() * float64(tm.Banks+spareDebts); sum > quotaSlack {
		t.Errorf("all banks together may lend %v in excess", sum)
	}
}

// Tokens are lent in advance only while more than half of the burst is left.
func TestBankLendsInAdvanceWhileItHasPlenty(t *testing.T) {
	tm := terms(1000, 1000, 1)
	b := NewBank(at(-60_000))
	r := request(tm, 300)
	r.Ahead = 500
	if l := b.Lend(at(0), r); l.Amount != 500 {
		t.Errorf("%+v, want 300 and 200 in advance", l)
	}
	if l := b.Lend(at(0), r); l.Amount != 300 {
		t.Errorf("%+v, want nothing in advance", l)
	}
}

// Callers that are refused together are told different times, as their requests would fit.
func TestRefusedCallersComeOneAfterTheOther(t *testing.T) {
	tm := terms(1000, 1000, 1)
	b := NewBank(at(-60_000))
	b.Lend(at(0), request(tm, 3000))
	for i, want := range []time.Duration{2000, 2500, 3000} {
		if l := b.Lend(at(0), request(tm, 500)); l.Wait != want*time.Millisecond {
			t.Errorf("caller %d is told %v", i, l.Wait)
		}
	}
	for range 100 {
		if l := b.Lend(at(0), request(tm, 500)); l.Wait > maxWait || l.EmptyFor > maxAskWait+2*time.Second {
			t.Fatalf("%+v", l)
		}
	}
}

func TestBankIsBounded(t *testing.T) {
	b := NewBank(at(-60_000))
	tm := terms(1000, 1000, 1)
	for i := range maxBuckets {
		r := request(tm, 1000)
		r.Tenant = ident.Tenant(rune(i))
		b.Lend(at(0), r)
	}
	r := request(tm, 1000)
	r.Tenant = "one more"
	if l := b.Lend(at(0), r); l.Amount != 0 || len(b.buckets) > maxBuckets {
		t.Errorf("%+v, %d tenants", l, len(b.buckets))
	}
	// Those that are full again make room.
	if l := b.Lend(at(5000), r); l.Amount == 0 || len(b.buckets) > maxBuckets {
		t.Errorf("%+v, %d tenants", l, len(b.buckets))
	}
}

// A bank that was replaced lends nothing to routers whose list is not newer, as they may be
// cut off from the store, until a newer list makes it a bank again.
func TestReplacedBankIsClosed(t *testing.T) {
	b := NewBank(at(-60_000))
	ask := func(ms, age int) Loan {
		r := request(terms(1000, 1000, 1), 10)
		r.ListAge = time.Duration(age) * time.Millisecond
		return b.Lend(at(ms), r)
	}
	if l := ask(0, 1000); l.Refused {
		t.Errorf("%+v", l)
	}
	if l := b.Lend(at(100), Request{Tenant: tenantName, Closed: true, ListAge: 50 * time.Millisecond}); l.Amount > 0 {
		t.Errorf("%+v", l)
	}
	for _, tt := range []struct {
		ms, age int
		refused bool
	}{{200, 1000, true}, {20_000, 20_000, true}, {20_000, 19_000, false}, {20_100, 20_100, true}} {
		if l := ask(tt.ms, tt.age); l.Refused != tt.refused {
			t.Errorf("at %d with a list of %d ms: %+v", tt.ms, tt.age, l)
		}
	}
	// Also if it has lent nothing yet.
	b = NewBank(at(-60_000))
	b.Lend(at(0), Request{Tenant: tenantName, Closed: true})
	if l := ask(100, 1000); !l.Refused {
		t.Errorf("%+v", l)
	}
	if l := ask(200, 50); l.Refused {
		t.Errorf("%+v for a newer list", l)
	}
}

func BenchmarkLend(b *testing.B) {
	bank := NewBank(start)
	names := tenants(10_000)
	tm := terms(216_121, 216_121, 3)
	for i := 0; b.Loop(); i++ {
		r := request(tm, 1500)
		r.Tenant = names[i%len(names)]
		bank.Lend(start.Add(time.Duration(i)*time.Microsecond), r)
	}
}
