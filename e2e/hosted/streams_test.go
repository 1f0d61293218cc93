package hosted

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

// A stream that is slow but sound is relayed to its end, and one that stalls but drips a
// byte now and then ends with the request's time, in the same installation.
func TestSlowStreamCompletesAndDrippingOneEnds(t *testing.T) {
	t.Parallel()
	const events, interval = 8, 450 * time.Millisecond
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{Events: events, EventInterval: interval})
	for _, u := range upstreams {
		u.SetBehavior(func(_ int, r *http.Request) platformtest.Behavior {
			return platformtest.Behavior{Drip: strings.HasPrefix(r.Header.Get("X-Request-Id"), "drip")}
		})
	}
	slow := make(chan platformtest.Reply, 1)
	go func() { slow <- in.call(platformtest.Call{ID: "slow", Path: "/draft/a", Body: "x"}) }()
	const timeout = 2 * time.Second
	begun := time.Now()
	dripped := in.call(platformtest.Call{ID: "drip", Path: "/draft/a", Body: "x", Timeout: timeout})
	if took := time.Since(begun); dripped.Complete || took < timeout/2 || took > timeout+time.Second {
		t.Errorf("dripping stream after %v: %+v", took, dripped)
	}
	if r := <-slow; r.Status != http.StatusOK || !r.Complete || !strings.Contains(r.Body, "8 of slow") {
		t.Errorf("slow stream: %+v", r)
	}
	in.eventually("the upstream's work on the dripping stream ends", func() bool {
		return upstreams[0].InFlight()+upstreams[1].InFlight() == 0
	})
}
