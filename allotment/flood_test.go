package allotment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var sizes = []struct{ routers, engines, regions int }{{1, 3, 1}, {4, 8, 2}, {26, 26, 3}, {360, 26, 3}}

// A tenant at eight times its allotment gets all of it, and no more, at any number of
// routers. It guards against shares that are not divided by the number of banks, and against
// loans that don't expire.
func TestFloodStaysWithinTheAllotment(t *testing.T) {
	for _, size := range sizes {
		for _, perSecond := range []float64{2700, 216_121} {
			t.Run(fmt.Sprintf("%d routers, %.0f a second", size.routers, perSecond), func(t *testing.T) {
				s := newSimulation(1, size.routers, size.engines, size.regions, perSecond, perSecond)
				const length = 20 * time.Second
				s.flood(8, length, usualCost)
				s.run(length + time.Second)
				s.checkBound(t)
				if got := s.sum(); got < 0.9*perSecond*length.Seconds() {
					t.Errorf("%.0f served of %.0f", got, perSecond*length.Seconds())
				}
				if s.failed > 0 {
					t.Errorf("%d refused since no bank could be asked", s.failed)
				}
			})
		}
	}
}

// Requests that conform to a token bucket of nine tenths of the allotment are refused at most
// once in a hundred, whether they come through one router or all. It guards against division
// among the routers.
func TestTenantWithinItsAllotmentIsServed(t *testing.T) {
	for _, size := range sizes {
		for _, perSecond := range []float64{2700, 216_121} {
			for _, one := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d routers, %.0f a second, at one %v", size.routers, perSecond, one), func(t *testing.T) {
					s := newSimulation(2, size.routers, size.engines, size.regions, perSecond, perSecond)
					conforming := newConforming(0.9*perSecond, 0.9*perSecond)
					length := time.Duration(1e6 / perSecond * float64(time.Second))
					for at := time.Duration(0); at < length; {
						c := usualCost(s.r)
						if conforming.take(start.Add(at), c) {
							router := s.routers[0]
							if !one {
								router = s.routers[s.r.IntN(len(s.routers))]
							}
							s.after(at, func() { s.request(router, c) })
						}
						at += time.Duration(s.r.ExpFloat64() * c / (0.95 * perSecond) * float64(time.Second))
					}
					s.run(length + time.Second)
					s.checkBound(t)
					if all := len(s.served) + s.refused; s.refused*100 > all || s.failed > 0 {
						t.Errorf("%d refused and %d failed of %d", s.refused, s.failed, all)
					}
				})
			}
		}
	}
}

// conforming is a single token bucket.
type conforming struct {
	perSecond, burst, balance float64
	at                        time.Time
}

func newConforming(perSecond, burst float64) *conforming {
	return &conforming{perSecond: perSecond, burst: burst, balance: burst, at: start}
}

// take reports whether a request fits; one that exceeds the burst does when it is full.
func (c *conforming) take(now time.Time, cost float64) bool {
	c.balance = min(c.burst, c.balance+c.perSecond*now.Sub(c.at).Seconds())
	c.at = now
	if c.balance < min(cost, c.burst) {
		return false
	}
	c.balance -= cost
	return true
}

// The bound holds while routers are cut off, paused, killed and new, banks are killed,
// restarted and replaced, and engines join.
func TestFloodUnderFailures(t *testing.T) {
	for _, size := range sizes {
		for _, perSecond := range []float64{2700, 216_121} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d routers, %.0f a second, seed %d", size.routers, perSecond, seed), func(t *testing.T) {
					s := newSimulation(seed, size.routers, size.engines, size.regions, perSecond, perSecond)
					length := 60 * time.Second
					if perSecond > 100_000 {
						length = 20 * time.Second
					}
					s.startPolls()
					s.flood(8, length, usualCost)
					f := failures{s: s, regions: size.regions}
					s.after(time.Second, f.next)
					s.run(length + time.Second)
					s.checkBound(t)
				})
			}
		}
	}
}

// failures plays one failure after the other.
type failures struct {
	s       *simulation
	regions int
	n       int
}

func (f *failures) next() {
	s := f.s
	f.n++
	r := s.routers[s.r.IntN(len(s.routers))]
	homes := s.homes()
	bank := homes[s.r.IntN(len(homes))]
	length := time.Duration(s.r.IntN(6000)) * time.Millisecond
	switch f.n % 6 {
	case 0:
		r.cut[bank] = true
		s.after(length, func() { delete(r.cut, bank) })
	case 1:
		r.pausedUntil = s.now.Add(length)
	case 2:
		// A new process, with nothing but the newest list.
		*r = simRouter{region: r.region, borrower: NewBorrower(s.now, rand.New(rand.NewPCG(s.r.Uint64(), 1))), tickets: make(map[Ticket]claimed), cut: make(map[string]bool), terms: s.terms}
		r.homes.Update(s.now, s.engines)
	case 3:
		s.banks[bank].down = true
		s.after(length, func() { s.banks[bank].down, s.banks[bank].bank = false, NewBank(s.now) })
	case 4:
		f.leave(bank, length)
	case 5:
		if len(s.engines) < 60 {
			s.addEngine(len(s.banks), f.regions)
		}
	}
	s.after(time.Duration(3000+s.r.IntN(3000))*time.Millisecond, f.next)
}

// leave removes a bank from the list for a time. Its sidecar continues to run.
func (f *failures) leave(address string, length time.Duration) {
	s := f.s
	for i, e := range s.engines {
		if e.Address != address || len(s.engines) <= 3 {
			continue
		}
		s.engines = append(append([]Engine(nil), s.engines[:i]...), s.engines[i+1:]...)
		s.after(length, func() { s.engines = append(append([]Engine(nil), s.engines...), e) })
		return
	}
}
