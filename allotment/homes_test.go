package allotment

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

func engines(n, regions int) []Engine {
	all := make([]Engine, n)
	for i := range all {
		all[i] = Engine{Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Region: regionOf(i, regions)}
	}
	return all
}

func tenants(n int) []ident.Tenant {
	all := make([]ident.Tenant, n)
	for i := range all {
		all[i] = ident.Tenant(fmt.Sprintf("tenant-%d", i))
	}
	return all
}

func TestEachRegionHasTheSameNumberOfBanks(t *testing.T) {
	for _, tt := range []struct{ engines, regions, want int }{{1, 1, 1}, {2, 1, 2}, {30, 1, 3}, {30, 2, 4}, {30, 3, 3}, {30, 5, 5}} {
		var h Homes
		h.Update(at(0), engines(tt.engines, tt.regions))
		for _, tenant := range tenants(50) {
			banks, all := h.Banks(at(0), tenant)
			perRegion := make(map[ident.Region]int)
			for _, e := range banks {
				perRegion[e.Region]++
			}
			if len(banks) != tt.want || all != tt.want || len(perRegion) != tt.regions {
				t.Fatalf("%d engines in %d regions: %v of %d", tt.engines, tt.regions, banks, all)
			}
		}
	}
	var none Homes
	if banks, all := none.Banks(at(0), "t"); len(banks) != 0 || all != 0 || none.Any() {
		t.Errorf("%v of %d without a list", banks, all)
	}
}

// All routers must choose the same banks from the same list, and few tenants move with an
// engine.
func TestBanksAreSpreadAndStable(t *testing.T) {
	all := engines(100, 1)
	var a, b, less Homes
	a.Update(at(0), all)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	b.Update(at(0), reversed)
	less.Update(at(0), all[1:])
	count, moved := make(map[string]int), 0
	for _, tenant := range tenants(2000) {
		x, _ := a.Banks(at(0), tenant)
		y, _ := b.Banks(at(0), tenant)
		z, _ := less.Banks(at(0), tenant)
		if !slices.Equal(x, y) {
			t.Fatalf("%v and %v", x, y)
		}
		if !slices.Equal(x, z) {
			moved++
		}
		for _, e := range x {
			count[e.Address]++
		}
	}
	if moved != count[all[0].Address] {
		t.Errorf("%d tenants moved, the engine had %d", moved, count[all[0].Address])
	}
	for _, e := range all {
		if n := count[e.Address]; n < 30 || n > 100 {
			t.Errorf("%s is a bank of %d tenants, 60 expected", e.Address, n)
		}
	}
}

// A bank that replaces another one is not asked before all routers have ceased to ask the
// other one: both would lend the same share.
func TestNewBankIsAskedOnceTheOtherIsNot(t *testing.T) {
	all := engines(30, 1)
	var h Homes
	h.Update(at(0), all)
	before, _ := h.Banks(at(0), "t")
	without := slices.DeleteFunc(slices.Clone(all), func(e Engine) bool { return e == before[0] })
	h.Update(at(1000), without)
	during, n := h.Banks(at(1000), "t")
	if len(during) != 2 || n != 3 || slices.Contains(during, before[0]) {
		t.Errorf("%v of %d just after the list has changed", during, n)
	}
	if during, _ = h.Banks(at(4999), "t"); len(during) != 2 {
		t.Errorf("%v before the other routers have read the list", during)
	}
	after, n := h.Banks(at(1000).Add(settleTime), "t")
	if len(after) != 3 || n != 3 {
		t.Errorf("%v of %d later", after, n)
	}
	// It returns, and is not asked before the one that took its place is no longer.
	h.Update(at(6000), all)
	if back, _ := h.Banks(at(6000), "t"); len(back) != 2 || slices.Contains(back, before[0]) {
		t.Errorf("%v when it has returned", back)
	}
	if back, _ := h.Banks(at(6000).Add(settleTime), "t"); !slices.Equal(back, before) {
		t.Errorf("%v later, before %v", back, before)
	}
	// If all banks are new, there is nothing better.
	h.Update(at(20_000), engines(1, 1))
	h.Update(at(20_100), []Engine{{Address: "10.9.9.9:80", Region: "a"}})
	if banks, n := h.Banks(at(20_100), "t"); len(banks) != 1 || n != 1 {
		t.Errorf("%v of %d when all are new", banks, n)
	}
	if len(h.lists) > 4 {
		t.Errorf("%d lists are kept", len(h.lists))
	}
}

func BenchmarkBanks(b *testing.B) {
	var h Homes
	h.Update(start, engines(1600, 3))
	for b.Loop() {
		h.cache = nil
		h.Banks(start.Add(time.Second), "t")
	}
}
