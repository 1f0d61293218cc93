package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

const (
	// limitedTenant has an allotment of limitedRate requests a second and limitedBurst
	// more, which its callers exceed.
	limitedTenant             = "limited"
	limitedRate, limitedBurst = 10, 10
	// allotmentWindow, allotmentOver and allotmentSlack state how many requests of a
	// tenant may run: (rate x window + burst) x (1 + over) + slack.
	allotmentWindow = 8 * time.Second
	allotmentOver   = 0.1
	allotmentSlack  = 8
	// revokeWithin is the configured time after which a removed key has no effect at any
	// router.
	revokeWithin = 2 * time.Second
	// unknownKey is a key that no configuration contains.
	unknownKey = "unknown-key"
)

var tenantNames = []string{"first", "second", limitedTenant}

// apiKey is a key of a tenant, with the times at which the configurations were written that
// added and removed it. Zero times are before the callers start, and never.
type apiKey struct {
	text, tenant   string
	added, removed time.Time
}

// apiKeys holds the keys that configurations have contained.
type apiKeys struct {
	mu  sync.Mutex
	all []apiKey
}

func newAPIKeys() *apiKeys {
	k := &apiKeys{}
	for _, tenant := range tenantNames {
		for i := range 2 {
			k.all = append(k.all, apiKey{text: fmt.Sprintf("key-%s-%d", tenant, i), tenant: tenant})
		}
	}
	return k
}

// tenants returns the tenants of the next configuration.
func (k *apiKeys) tenants() []platformtest.Tenant {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []platformtest.Tenant
	for _, name := range tenantNames {
		t := platformtest.Tenant{Name: name, Priority: 1}
		if name == limitedTenant {
			t.RatePerS, t.Burst = limitedRate, limitedBurst
		}
		for _, key := range k.all {
			if key.tenant == name && key.removed.IsZero() {
				t.Keys = append(t.Keys, key.text)
			}
		}
		out = append(out, t)
	}
	return out
}

// find returns a key, or nil if no configuration has contained it.
func (k *apiKeys) find(text string) *apiKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := slices.IndexFunc(k.all, func(key apiKey) bool { return key.text == text })
	if i < 0 {
		return nil
	}
	key := k.all[i]
	return &key
}

// draw returns the key of a request: mostly one that every router must know, at times a
// removed or an unknown one.
func (k *apiKeys) draw(r *rand.Rand) string {
	n := r.IntN(16)
	if n == 0 {
		return unknownKey
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var fitting []string
	for _, key := range k.all {
		if n == 1 && !key.removed.IsZero() || n > 1 && key.removed.IsZero() && time.Since(key.added) > configPropagation {
			fitting = append(fitting, key.text)
		}
	}
	if len(fitting) == 0 {
		return unknownKey
	}
	return fitting[r.IntN(len(fitting))]
}

// replaceKey removes the oldest key of a tenant and adds another one, with one version of
// the configuration. The removal counts from when the store has accepted it.
func (in *installation) replaceKey(target int) {
	if in.keys == nil {
		return
	}
	k, tenant := in.keys, tenantNames[target%len(tenantNames)]
	k.mu.Lock()
	i := slices.IndexFunc(k.all, func(key apiKey) bool { return key.tenant == tenant && key.removed.IsZero() })
	k.all[i].removed = time.Now()
	k.all = append(k.all, apiKey{text: fmt.Sprintf("key-%s-%d", tenant, len(k.all)), tenant: tenant, added: time.Now()})
	k.mu.Unlock()
	in.writeConfig()
	k.mu.Lock()
	k.all[i].removed = time.Now()
	k.mu.Unlock()
}

// checkKeyReply checks that a refusal because of a key or an allotment has a reason.
func (ch *checker) checkKeyReply(e exchange) {
	if ch.in.keys == nil || e.reply.Sealed {
		return
	}
	key := ch.in.keys.find(e.call.Key)
	switch e.reply.Status {
	case http.StatusUnauthorized:
		if e.kind == "read" || key != nil && key.removed.IsZero() && e.from.Sub(key.added) > configPropagation {
			ch.violation("unauthorized", "%s %s: 401 with a key in force or on a public route", e.kind, e.reply.ID)
		}
	case http.StatusTooManyRequests:
		if key == nil || key.tenant != limitedTenant {
			ch.violation("allotment", "%s %s: 429 for a tenant without a limit", e.kind, e.reply.ID)
		}
	}
}

// checkTenants checks the keys and tenants of the requests that upstreams ran, and how many
// of the limited tenant ran in any window.
func (ch *checker) checkTenants() {
	if ch.in.keys == nil {
		return
	}
	first := make(map[string]time.Time)
	for _, u := range ch.in.upstreams {
		for _, r := range u.Runs() {
			e, sent := ch.sent[r.ID]
			if !sent {
				continue
			}
			ch.checkRun(e, r)
			if key := ch.in.keys.find(e.call.Key); key != nil && key.tenant == limitedTenant {
				if at, ok := first[r.ID]; !ok || r.At.Before(at) {
					first[r.ID] = r.At
				}
			}
		}
	}
	var times []time.Time
	for _, at := range first {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	limit := int((limitedRate*allotmentWindow.Seconds()+limitedBurst)*(1+allotmentOver) + allotmentSlack)
	for i := range times {
		n, _ := slices.BinarySearchFunc(times[i:], times[i].Add(allotmentWindow), time.Time.Compare)
		if n > limit {
			ch.violation("allotment", "%d requests of the limited tenant ran in %v, %d allowed", n, allotmentWindow, limit)
		}
	}
}

// checkRun checks one request as an upstream ran it.
func (ch *checker) checkRun(e exchange, r platformtest.Run) {
	if len(r.Authorization) > 0 {
		ch.violation("key", "%s %s: an upstream was sent %d keys", e.kind, r.ID, len(r.Authorization))
	}
	key := ch.in.keys.find(e.call.Key)
	var want []string
	switch {
	case key != nil:
		want = []string{key.tenant}
		if e.kind != "read" && !key.removed.IsZero() && e.from.Sub(key.removed) > revokeWithin {
			ch.violation("revocation", "%s %s ran, sent %v after its key was removed", e.kind, r.ID, e.from.Sub(key.removed))
		}
	case e.kind != "read":
		ch.violation("key", "%s %s ran with an unknown key", e.kind, r.ID)
	}
	// On a public route, a key that was removed or added just now may not be known.
	if settled := key == nil || key.removed.IsZero() && e.from.Sub(key.added) > configPropagation; (settled || e.kind != "read") && !slices.Equal(r.Tenant, want) {
		ch.violation("tenant", "%s %s: the upstream was told %q, want %q", e.kind, r.ID, r.Tenant, want)
	}
}
