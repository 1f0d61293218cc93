package ingress

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/config"
)

// Installations differ in how soon changes have to take effect. Even if one read of
// the store fails, the next must be in time, and a route may be called missing only
// on the basis of a read that must have shown it.
func TestPollIntervalFollowsSettings(t *testing.T) {
	for _, tc := range []struct{ config, leaving time.Duration }{
		{3 * time.Second, 3 * time.Second}, {4 * time.Second, 4 * time.Second}, {2500 * time.Millisecond, 2 * time.Second}, {time.Second, 5 * time.Second},
	} {
		o := Options{Settings: config.IngressSettings{MaxConfigDelay: config.Duration(tc.config), MaxLeaveDelay: config.Duration(tc.leaving)}}.withDefaults()
		if two := 2 * o.PollInterval; two >= tc.config || two >= tc.leaving {
			t.Errorf("%+v: polled every %v", tc, o.PollInterval)
		}
		if o.ConfigFreshFor >= tc.config || o.ConfigFreshFor <= o.PollInterval {
			t.Errorf("%+v: fresh for %v, polled every %v", tc, o.ConfigFreshFor, o.PollInterval)
		}
	}
}
