package ingress

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
)

func tenantOf(key string) *serving.Tenant { return &serving.Tenant{Name: ident.Tenant(key)} }

// storedVersion is a configuration that a simulated store holds from a time on.
type storedVersion struct {
	at       time.Duration
	restores uint64
	number   uint64
	keys     []string
}

func (v storedVersion) config(revision int) *serving.Config {
	return &serving.Config{Restores: v.restores, Revision: uint64(revision + 1), Number: v.number, Keys: keyTable(v.keys...)}
}

// randomHistory returns the versions of a store over a minute. Keys are added and removed;
// the store may be restored from an older version, which the operator mends some seconds
// later.
func randomHistory(rng *rand.Rand, restored bool) []storedVersion {
	all := []string{"a", "b", "c", "d"}
	history := []storedVersion{{number: 1, keys: all}}
	number := uint64(1)
	for at := time.Duration(0); at < time.Minute; {
		last := history[len(history)-1]
		at += time.Duration(200+rng.IntN(6000)) * time.Millisecond
		v := storedVersion{at: at, restores: last.restores}
		if restored && rng.IntN(4) == 0 {
			old := history[rng.IntN(len(history))]
			v.restores, v.number, v.keys = last.restores+1, old.number, old.keys
		} else {
			number++
			v.number = number
			// The operator continues with what was acknowledged last.
			for _, k := range all {
				if rng.IntN(3) > 0 {
					v.keys = append(v.keys, k)
				}
			}
		}
		history = append(history, v)
	}
	return history
}

// simulatedRouter reads the store and admits requests as Server does.
type simulatedRouter struct {
	current serving.CurrentConfig
	read    *configRead
	auth    authentication
	// newest is the version with the highest number that was read.
	newest storedVersion
}

func (r *simulatedRouter) readEnded(begun time.Duration, v storedVersion, revision int) {
	if v.number >= r.newest.number {
		r.newest = v
	}
	c := v.config(revision)
	r.current.Adopt(c)
	r.read = newConfigRead(begun, c, r.current.Get())
}

// Rule of key revocation under random faults: a router is paused, cut off from the store,
// restarted, and reads slowly; the store may be restored. A request may only be admitted if
// the store held its key within the bound before the caller sent it, or later, and if the
// newest version that the router has read holds it, also after a restore.
//
// Fails if the age of the read is not checked, if the keys of a restored store are ignored,
// or if its older configuration is adopted.
func TestRemovedKeysAreRefusedUnderRandomFaults(t *testing.T) {
	for seed := range uint64(400) {
		restored := seed%2 == 1
		rng := rand.New(rand.NewPCG(seed, 1))
		history := randomHistory(rng, restored)
		at := func(now time.Duration) int {
			i, _ := slices.BinarySearchFunc(history, now, func(v storedVersion, t time.Duration) int { return int(v.at - t) })
			if i == len(history) || history[i].at > now {
				i--
			}
			return i
		}
		const within = 5 * time.Second
		r := &simulatedRouter{auth: authentication{strict: true, revokeWithin: within, freshFor: 3 * time.Second}}
		admitted := 0
		// The loop plays one read and the requests until the next one.
		for now := time.Duration(0); now < time.Minute; {
			if rng.IntN(20) == 0 {
				// Restarted.
				*r = simulatedRouter{auth: r.auth}
			}
			begun := now
			served := begun + time.Duration(rng.IntN(900))*time.Millisecond
			ended := served + time.Duration(rng.IntN(900))*time.Millisecond
			failed := rng.IntN(4) == 0
			if rng.IntN(8) == 0 {
				// Paused while the response is under way.
				ended += time.Duration(rng.IntN(12000)) * time.Millisecond
			}
			next := ended + time.Duration(rng.IntN(1600))*time.Millisecond
			if rng.IntN(6) == 0 {
				// Paused, or cut off from the store.
				next += time.Duration(rng.IntN(12000)) * time.Millisecond
			}
			check := func(admit time.Duration) {
				if r.read == nil {
					return
				}
				sent := max(0, admit-time.Duration(rng.IntN(100))*time.Millisecond)
				for _, key := range []string{"a", "b", "c", "d"} {
					_, verdict := r.auth.authenticate(r.read, &serving.Route{}, key, admit)
					if verdict != authAdmit {
						continue
					}
					admitted++
					valid := false
					for i := at(max(0, sent-within)); i < len(history) && history[i].at <= admit; i++ {
						valid = valid || slices.Contains(history[i].keys, key)
					}
					if !slices.Contains(r.newest.keys, key) {
						t.Fatalf("seed %d: key %s admitted at %v, version %d does not have it", seed, key, admit, r.newest.number)
					}
					if !valid {
						t.Fatalf("seed %d: key %s admitted at %v, sent at %v, on a read begun at %v", seed, key, admit, sent, r.read.begun)
					}
				}
			}
			for admit := begun; admit < ended; admit += 137 * time.Millisecond {
				check(admit)
			}
			if !failed {
				i := at(served)
				r.readEnded(begun, history[i], i)
			}
			for admit := ended; admit < next; admit += 137 * time.Millisecond {
				check(admit)
			}
			now = next
		}
		if admitted == 0 {
			t.Errorf("seed %d: no request was admitted at all", seed)
		}
	}
}

// A router with sound reads must keep serving keys that stay, also if one read fails, or
// hangs for as long as the store is waited for.
func TestKeysThatStayAreServedIfOneReadFails(t *testing.T) {
	const hung = 900 * time.Millisecond
	for _, within := range []time.Duration{4 * time.Second, 5 * time.Second, 10 * time.Second} {
		o := Options{Settings: settingsWith(4*time.Second, within)}.withDefaults()
		var p poller
		regular := p.pause(o.PollInterval, nil)
		afterFailure := max(hung, p.pause(o.PollInterval, fmt.Errorf("timed out")))
		if oldest := regular + afterFailure + hung; oldest >= within-revokeMargin {
			t.Errorf("revoked within %v: after a failed read the newest is %v old", within, oldest)
		}
	}
	// A short bound makes the router read more often, but only where it is strict.
	short := settingsWith(4*time.Second, 2*time.Second)
	strict := Options{Settings: short}.withDefaults().PollInterval
	short.RevokeStrict = false
	if lax := (Options{Settings: short}).withDefaults().PollInterval; strict >= lax || lax != fraction(pollShare, 4*time.Second) {
		t.Errorf("polled every %v if strict, %v otherwise", strict, lax)
	}
}

func settingsWith(change, revoke time.Duration) config.IngressSettings {
	return config.IngressSettings{
		MaxConfigDelay: config.Duration(change), MaxLeaveDelay: config.Duration(change),
		RevokeStrict: true, RevokeWithin: config.Duration(revoke),
	}
}

// completeSettings returns settings with which a Server can be made.
func completeSettings(change, revoke time.Duration) config.IngressSettings {
	s := settingsWith(change, revoke)
	s.VM, s.Region, s.Zone, s.SidecarPort = "v", "r", "z", 1
	s.RetryWindow, s.RegistrationInterval = config.Duration(time.Second), config.Duration(time.Second)
	return s
}
