package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

const (
	// crashesOfRepeated is the number of crashes under one request from which on its
	// retries are counted.
	crashesOfRepeated = 3
	// maxLateRetries is the number of its retries that may reach servers stableTime
	// after that.
	maxLateRetries = 3
	// repeatedWorker and loneWorker select the addresses of the tests.
	repeatedWorker, loneWorker = 62, 64
)

// repeated is a request that crashes the servers that run it and comes again whole, under
// other ids that begin with its name.
type repeated struct {
	name string
	call platformtest.Call
}

var (
	caller      = http.Header{"Authorization": {"Bearer a"}}
	otherCaller = http.Header{"Authorization": {"Bearer b"}}

	crashingRead  = repeated{"bad-read-", platformtest.Call{Method: http.MethodGet, Path: "/read/7", Header: caller, Timeout: time.Second}}
	crashingOrder = repeated{"bad-order-", platformtest.Call{Path: "/order/7", Body: "crash", Header: caller, Timeout: time.Second}}
	crashingDraft = repeated{"bad-draft-", platformtest.Call{
		Path: "/draft/7", Body: "crash", Model: modelNames[1], Timeout: 3 * time.Second,
		Header: http.Header{"Authorization": {"Bearer a"}, platformtest.HeaderPromptPrefix: {"f0:50,5001:30,c0ffee:20"}},
	}}
)

// crashesServers reports whether a request is one of the crashing ones.
func crashesServers(r *http.Request, body string) bool {
	a := r.Header.Get("Authorization") == "Bearer a"
	return a && (body == "crash" || r.Method == http.MethodGet && r.URL.Path == "/read/7")
}

// soundCalls are sound requests that come again whole too: two differ from crashing ones only in
// caller or body, one has all prompt parts of a crashing one but the last.
var soundCalls = []platformtest.Call{
	{Method: http.MethodGet, Path: "/read/7", Header: otherCaller},
	{Method: http.MethodGet, Path: "/read/8", Header: caller},
	{Path: "/order/7", Body: "sound", Header: caller},
	{Path: "/draft/7", Body: "sound", Model: modelNames[1], Header: http.Header{platformtest.HeaderPromptPrefix: {"f0:50,5001:30,beef:20"}}},
}

// repeatTest sends crashing requests again and again beside sound ones.
type repeatTest struct{ *incident }

// Three requests that crash servers come again at any router, also while an earlier try
// runs: a read and an order at a service of three servers without sidecars, and a prompt. Meanwhile routers
// are killed and paused, sidecars are cut off, and at last all sidecars forget what they
// know. From four seconds after the third crash under one of the requests on, hardly any retry of it reaches a server.
func TestRepeatsOfRequestThatCrashesServersAreHeldBack(t *testing.T) {
	rt := newRepeatTest(t, repeatedWorker, platformtest.CrashFault{Matches: crashesServers, Downtime: 2 * time.Second})
	defer rt.close()
	rt.startSound(12)
	time.Sleep(3 * time.Second)
	begun := time.Now()
	for _, r := range []repeated{crashingRead, crashingDraft} {
		rt.startRepeats(r, 3, 300*time.Millisecond)
	}
	rt.await("the second crash", func() bool { return len(rt.crashesUnder(crashingRead)) >= 2 })
	go rt.routers[0].pause(3 * time.Second)
	go rt.routers[1].kill(0)
	rt.middleboxes[0].DropFlows()
	rt.await("three crashes under each", func() bool {
		return len(rt.crashesUnder(crashingRead)) >= crashesOfRepeated && len(rt.crashesUnder(crashingDraft)) >= crashesOfRepeated
	})
	go rt.routers[2].kill(0)
	time.Sleep(stableTime)
	rt.startRepeats(crashingOrder, 2, 200*time.Millisecond)
	rt.await("three crashes under the order", func() bool { return len(rt.crashesUnder(crashingOrder)) >= crashesOfRepeated })
	// Routers that have learned nothing themselves start, and sidecars forget.
	for i, p := range rt.sidecars {
		go p.kill(0)
		go rt.routers[3+i].kill(0)
		time.Sleep(time.Second)
	}
	settled := time.Now().Add(stableTime)
	time.Sleep(3 * stableTime)
	rt.stop()
	for _, r := range []repeated{crashingRead, crashingDraft, crashingOrder} {
		rt.checkRetries(r)
		rt.checkRefusals(r, settled)
	}
	rt.checkSound(begun, settled)
}

// No process but the routers and the store can tell routers of crashes. Some have just started.
func TestRepeatsAreHeldBackWithoutSidecars(t *testing.T) {
	rt := newRepeatTestOf(t, loneWorker, platformtest.CrashFault{Matches: crashesServers, Downtime: 2 * time.Second}, size{routers: 8, plainUpstreams: 3, direct: true})
	defer rt.close()
	rt.startRepeats(crashingRead, 2, 500*time.Millisecond)
	rt.await("the second crash", func() bool { return len(rt.crashesUnder(crashingRead)) >= 2 })
	go rt.routers[0].pause(3 * time.Second)
	go rt.routers[1].kill(0)
	rt.await("the third crash", func() bool { return len(rt.crashesUnder(crashingRead)) >= crashesOfRepeated })
	time.Sleep(stableTime)
	go rt.routers[2].kill(0)
	time.Sleep(4 * stableTime)
	rt.stop()
	rt.checkRetries(crashingRead)
	rt.checkRefusals(crashingRead, time.Now().Add(-stableTime))
}

func newRepeatTest(t *testing.T, worker int, f platformtest.CrashFault) *repeatTest {
	return newRepeatTestOf(t, worker, f, size{routers: 10, engines: 4, plainUpstreams: 3, direct: true})
}

func newRepeatTestOf(t *testing.T, worker int, f platformtest.CrashFault, n size) *repeatTest {
	in := newIncident(t, worker, n)
	f.Restarted = func(r *platformtest.Upstream) { r.Register(in.store, "ready") }
	for _, u := range in.upstreams {
		u.SetCrash(f)
	}
	return &repeatTest{in}
}

// startSound starts callers of sound requests, half of which come again whole.
func (rt *repeatTest) startSound(callers int) {
	for n := range callers {
		rt.all.Go(func() {
			r := rand.New(rand.NewPCG(4, uint64(n)))
			for i := 0; rt.pauseFor(time.Duration(r.IntN(200)) * time.Millisecond); i++ {
				c := soundCalls[r.IntN(len(soundCalls))]
				if r.IntN(2) == 0 {
					c.Body = fmt.Sprintf("sound %d-%d", n, i)
				}
				c.ID, c.Host, c.Timeout = fmt.Sprintf("%s%d-%d", soundIDs, n, i), host, 3*time.Second
				rt.send(c, r.IntN(len(rt.routers)))
			}
		})
	}
}

// startRepeats sends a request again and again, each of the callers with a pause of up to
// twice the mean.
func (rt *repeatTest) startRepeats(rep repeated, callers int, pause time.Duration) {
	for n := range callers {
		rt.all.Go(func() {
			r := rand.New(rand.NewPCG(5, uint64(n)))
			for i := 0; rt.pauseFor(time.Duration(r.Int64N(int64(2 * pause)))); i++ {
				c := rep.call
				c.ID, c.Host = fmt.Sprintf("%s%d-%d", rep.name, n, i), host
				rt.send(c, r.IntN(len(rt.routers)))
			}
		})
	}
}

// crashesUnder returns when servers have crashed under a request, in order.
func (rt *repeatTest) crashesUnder(rep repeated) []time.Time {
	var all []time.Time
	for _, u := range rt.upstreams {
		all = append(all, u.CrashesUnder(rep.name)...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// checkRetries counts the retries of a crashing request that undisturbed routers sent late.
func (rt *repeatTest) checkRetries(rep repeated) {
	crashes := rt.crashesUnder(rep)
	if len(crashes) < crashesOfRepeated {
		rt.t.Fatalf("only %d crashes under %s", len(crashes), rep.name)
	}
	counted := crashes[crashesOfRepeated-1].Add(stableTime)
	runs, late := 0, 0
	for _, u := range rt.upstreams {
		for _, run := range u.Runs() {
			if !strings.HasPrefix(run.ID, rep.name) {
				continue
			}
			runs++
			if run.At.After(counted) && rt.undisturbed(rt.sentTo[run.ID], run.At) {
				late++
			}
		}
	}
	rt.t.Logf("%s: %d runs, %d of them late; %d crashes", rep.name, runs, late, len(crashes))
	if late > maxLateRetries {
		rt.t.Errorf("%s reached servers %d times later than %v after its third crash, at most %d may", rep.name, late, stableTime, maxLateRetries)
	}
}

// checkRefusals checks what callers of a crashing request get in the end: at once, that it has not
// run, and when a retry may help.
func (rt *repeatTest) checkRefusals(rep repeated, from time.Time) {
	refused := 0
	for _, e := range rt.exchanges {
		if !strings.HasPrefix(e.call.ID, rep.name) || e.from.Before(from) || e.reply.Status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		if e.reply.RetryAfter < time.Second || e.reply.Duration > time.Second {
			rt.t.Errorf("%s refused after %v, to be retried after %v", e.call.ID, e.reply.Duration, e.reply.RetryAfter)
		}
	}
	if refused == 0 {
		rt.t.Errorf("no retry of %s was refused", rep.name)
	}
}

// checkSound compares the shares of sound requests that were served before the crashes and
// at the end, for each kind.
func (rt *repeatTest) checkSound(before, after time.Time) {
	for _, kind := range soundCalls {
		is := func(e exchange) bool {
			return strings.HasPrefix(e.call.ID, soundIDs) && e.call.Path == kind.Path && e.call.Header.Get("Authorization") == kind.Header.Get("Authorization")
		}
		calm := rt.served(func(e exchange) bool { return is(e) && e.to.Before(before) })
		got := rt.served(func(e exchange) bool { return is(e) && e.from.After(after) && rt.undisturbed(e.router, e.to) })
		rt.t.Logf("%s: %.2f served, %.2f before the crashes", kind.Path, got, calm)
		if got < 0.9*calm {
			rt.t.Errorf("sound requests for %s are served at %.2f, %.2f before the crashes", kind.Path, got, calm)
		}
	}
}
