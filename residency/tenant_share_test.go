package residency

import (
	"testing"

	"github.com/laureltally/laureltally/ident"
)

// Load pattern: a large tenant gets what its allotment gives it, beside small ones that get
// theirs. It guards against equal shares, by which the large one would yield to all others.
func TestSharesFollowAllotments(t *testing.T) {
	for name, tt := range map[string]struct {
		large, small float64
		largeExceeds bool
	}{
		"allotments as what is got": {large: 8, small: 1},
		"equal allotments":          {large: 1, small: 1, largeExceeds: true},
		"no allotments":             {largeExceeds: true},
		"an unlimited tenant":       {small: 1, largeExceeds: true},
	} {
		s := tenantShare{halfLife: grantHalfLife, allowance: grantAllowance}
		s.add(start, "large", tt.large, 80)
		for _, tenant := range []ident.Tenant{"a", "b", "c"} {
			s.add(start, tenant, tt.small, 10)
		}
		limit := s.limit(start, map[ident.Tenant]float64{"large": tt.large, "waiting": tt.small})
		if got := s.exceeds("large", limit); got != tt.largeExceeds {
			t.Errorf("%s: the large tenant exceeds its share: %v", name, got)
		}
		if s.exceeds("a", limit) || s.exceeds("waiting", limit) {
			t.Errorf("%s: a small tenant exceeds its share", name)
		}
	}
}

// Guards against a flood that is overlooked because its tenant has a large allotment.
func TestFloodBeyondALargeAllotmentExceedsIt(t *testing.T) {
	s := tenantShare{halfLife: grantHalfLife, allowance: grantAllowance}
	s.add(start, "large", 2, 80)
	s.add(start, "small", 1, 10)
	if !s.exceeds("large", s.limit(start, map[ident.Tenant]float64{"small": 1})) {
		t.Error("eight times as much at twice the allotment is within the share")
	}
}
