package ingress

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// rereadSpread is the time, as a fraction of the polling interval, over which callers come
// back after a read of the configuration that they have to wait for.
const rereadSpread = 0.25

// checkKey finds the tenant of the request. If the request is refused for its key, it
// responds to the caller itself and returns false.
func (d *delivery) checkKey() bool {
	d.authenticated = d.snap.Config.Keys != nil
	a := authentication{strict: d.s.o.Settings.RevokeStrict, revokeWithin: time.Duration(d.s.o.Settings.RevokeWithin), freshFor: d.s.o.ConfigFreshFor}
	var verdict authVerdict
	d.tenant, verdict = a.authenticate(d.config, d.route, d.info.Key, d.s.sinceEpoch(d.start))
	// Nothing needs the key any more.
	d.info.Key = ""
	if verdict == authAdmit {
		return true
	}
	d.s.metrics.countKeyRefusal(verdict)
	switch verdict {
	case authUnknownKey:
		d.w.Header().Set("WWW-Authenticate", "Bearer")
		d.finish(stepRefuse, http.StatusUnauthorized, "missing or unknown key", 0)
	case authStale:
		d.finish(stepRefuse, http.StatusServiceUnavailable, "missing or unknown key and configuration stale", d.s.untilReread(d.start))
	default:
		d.finish(stepRefuse, http.StatusServiceUnavailable, "configuration too old for requests with keys", d.s.untilReread(d.start))
	}
	return false
}

// untilReread returns when a caller should come back that needs a newer read of the
// configuration: after the next one is expected, spread over rereadSpread.
func (s *Server) untilReread(now time.Time) time.Duration {
	wait := time.Duration(s.nextConfigRead.Load()) - s.sinceEpoch(now)
	return max(minRetryAfter, wait) + rand.N(fraction(rereadSpread, s.o.PollInterval)+1)
}

// tenantName returns the name of the request's tenant, or "".
func (d *delivery) tenantName() ident.Tenant {
	if d.tenant == nil {
		return ""
	}
	return d.tenant.Name
}
