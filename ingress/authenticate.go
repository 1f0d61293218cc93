package ingress

import (
	"time"

	"github.com/laureltally/laureltally/serving"
)

// revokeMargin is subtracted from the time within which a removed key must have lost its
// effect. It covers differences between the clock rates of machines.
const revokeMargin = 100 * time.Millisecond

// authVerdict says what happens to a request because of its key. It is a metric tag.
type authVerdict string

// The verdicts.
const (
	// authAdmit admits the request, for a tenant if there is one.
	authAdmit authVerdict = "admit"
	// authUnknownKey refuses it: the key is missing or unknown.
	authUnknownKey authVerdict = "unknown_key"
	// authStale refuses it: the key is missing or unknown, but a newer configuration than
	// this process has read may contain it, or make the route public.
	authStale authVerdict = "unknown_key_stale"
	// authTooOld refuses it: the key may have been removed.
	authTooOld authVerdict = "config_too_old"
)

// authentication decides which requests are admitted by their keys. It addresses the use
// of removed keys at routers that are paused, partitioned or read the store slowly: what
// such a router has read may no longer be so.
type authentication struct {
	// strict and revokeWithin are the settings. Without strict, a known key is admitted
	// at any age of the configuration.
	strict       bool
	revokeWithin time.Duration
	// freshFor is how long a read proves that a key it lacks does not exist.
	freshFor time.Duration
}

// authenticate decides about a request to a route that is admitted at a time since the
// server's epoch, on the newest read of the configuration.
func (a authentication) authenticate(r *configRead, route *serving.Route, key string, now time.Duration) (*serving.Tenant, authVerdict) {
	keys := r.snap.Config.Keys
	if keys == nil {
		return nil, authAdmit
	}
	var tenant *serving.Tenant
	if key != "" {
		tenant = keys.Lookup(key)
	}
	age := now - r.begun
	switch {
	case route.Public:
		return tenant, authAdmit
	case tenant == nil && age > a.freshFor:
		return nil, authStale
	case tenant == nil:
		return nil, authUnknownKey
	case a.strict && (age >= a.revokeWithin-revokeMargin || !r.hasKey(key, tenant)):
		return nil, authTooOld
	}
	return tenant, authAdmit
}
