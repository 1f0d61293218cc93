package ingress

import (
	"errors"
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
		var p poller
		_ = p.pause(o.PollInterval, nil)
		failed := o.PollInterval + p.pause(o.PollInterval, errors.New("refused"))
		if failed >= tc.config || failed >= tc.leaving {
			t.Errorf("%+v: read again %v after the last successful read", tc, failed)
		}
		const hung = 900 * time.Millisecond
		if within := min(tc.config, tc.leaving); within >= 2*time.Second && o.PollInterval+hung >= within {
			t.Errorf("%+v: polled every %v, too late if one read hangs for %v", tc, o.PollInterval, hung)
		}
		if o.ConfigFreshFor >= tc.config || o.ConfigFreshFor <= o.PollInterval {
			t.Errorf("%+v: fresh for %v, polled every %v", tc, o.ConfigFreshFor, o.PollInterval)
		}
	}
}
