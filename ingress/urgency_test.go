package ingress

import (
	"testing"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
)

// Guards against two ways in which engines would admit the wrong request first: a less
// urgent priority with a more urgent level, and callers that get a better level without a
// key.
func TestUrgencyFollowsThePriority(t *testing.T) {
	last := 0
	for p := range ident.Priority(12) {
		u, public := urgencyOf(p, true), urgencyOf(p, false)
		if !u.Known || u.Level < last || u.Level > 9 {
			t.Errorf("priority %d: %+v after level %d", p, u, last)
		}
		if public.Level < u.Level || public.Level < 5 {
			t.Errorf("priority %d: level %d without a tenant, %d with one", p, public.Level, u.Level)
		}
		last = u.Level
	}
	if u := urgencyOf(0, true); u.Level != 0 {
		t.Errorf("level %d of the most urgent priority", u.Level)
	}
}

// Without tenants requests are sent as before.
func TestNoUrgencyWithoutTenants(t *testing.T) {
	if u := (&delivery{}).urgency(); u != (serving.Urgency{}) {
		t.Errorf("%+v", u)
	}
}
