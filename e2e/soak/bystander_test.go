package soak

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

const (
	// bystanderWorker selects the addresses of the test.
	bystanderWorker = 63
	// maxTentativeRetryAfter is more than a caller is told to wait after a quarantine on
	// weak evidence, and less than after any other.
	maxTentativeRetryAfter = 30 * time.Second
	// settleTime is the time after a disturbance until all is served again.
	settleTime = 5 * time.Second
)

var (
	// A server that answers answeredRead crashes right after it, and one that gets
	// hangingRead never answers.
	answeredRead = repeated{"late-crash-", platformtest.Call{Method: http.MethodGet, Path: "/read/9", Header: caller, Timeout: time.Second}}
	hangingRead  = repeated{"hang-", platformtest.Call{Method: http.MethodGet, Path: "/read/10", Header: caller, Timeout: time.Second}}
)

// disturbances are what may happen to servers without any request being the cause. Each
// lasts a few seconds.
var disturbances = []struct {
	name string
	run  func(*repeatTest)
}{
	{"all servers lose power", func(rt *repeatTest) {
		for _, u := range rt.upstreams {
			go u.Crash()
		}
		time.Sleep(3 * time.Second)
	}},
	{"connections are reset", func(rt *repeatTest) {
		for n, u := range rt.upstreams[rt.size.engines:] {
			r := rand.New(rand.NewPCG(6, uint64(n)))
			u.SetBehavior(func(int, *http.Request) platformtest.Behavior {
				return platformtest.Behavior{DropResponse: r.IntN(3) == 0}
			})
		}
		time.Sleep(3 * time.Second)
		for _, u := range rt.upstreams[rt.size.engines:] {
			u.SetBehavior(hangOnRead)
		}
	}},
	{"servers are replaced one after the other", func(rt *repeatTest) {
		for _, u := range rt.upstreams[rt.size.engines:] {
			u.Register(rt.store, "draining")
			time.Sleep(1500 * time.Millisecond)
			id := u.ID()
			u.Crash()
			rt.store.RemoveServer(id)
		}
	}},
	{"servers crash again and again", func(rt *repeatTest) {
		for i := range 6 {
			rt.upstreams[i%len(rt.upstreams)].Crash()
			time.Sleep(1200 * time.Millisecond)
		}
	}},
	{"servers crash after an answer", func(rt *repeatTest) {
		rt.startRepeats(answeredRead, 1, 500*time.Millisecond)
		time.Sleep(8 * time.Second)
	}},
}

func hangOnRead(_ int, r *http.Request) platformtest.Behavior {
	return platformtest.Behavior{Hang: r.URL.Path == hangingRead.call.Path}
}

// Sound requests, half of them equal, are running when servers end or break connections for
// other reasons; some routers have just started. They go on being served, and none of them is
// quarantined. Nor are a request whose answer precedes the crash and one that hangs: no
// server has crashed while running them.
func TestBystandersOfCrashesAreNotHeldBack(t *testing.T) {
	rt := newRepeatTest(t, bystanderWorker, platformtest.CrashFault{
		Matches:  func(r *http.Request, _ string) bool { return r.URL.Path == answeredRead.call.Path },
		Answered: true, Downtime: 1500 * time.Millisecond,
	})
	defer rt.close()
	for _, u := range rt.upstreams {
		u.SetBehavior(hangOnRead)
	}
	rt.startSound(12)
	time.Sleep(3 * time.Second)
	calm := time.Now()
	rt.startRepeats(hangingRead, 1, time.Second)
	var ends []time.Time
	for i, disturbance := range disturbances {
		go rt.routers[i].kill(0)
		time.Sleep(500 * time.Millisecond)
		disturbance.run(rt)
		ends = append(ends, time.Now())
		if i < len(disturbances)-1 {
			time.Sleep(settleTime)
		}
	}
	rt.stop()
	isSound := func(e exchange) bool { return strings.HasPrefix(e.call.ID, soundIDs) }
	before := rt.served(func(e exchange) bool { return isSound(e) && e.to.Before(calm) })
	for i, end := range ends[:len(ends)-1] {
		got := rt.served(func(e exchange) bool {
			return isSound(e) && e.from.After(end.Add(settleTime/2)) && e.to.Before(end.Add(settleTime)) && rt.undisturbed(e.router, e.to)
		})
		t.Logf("after %s: %.2f served, %.2f before", disturbances[i].name, got, before)
		if got < 0.9*before {
			t.Errorf("after %s only %.2f are served, %.2f before", disturbances[i].name, got, before)
		}
	}
	rt.checkNoneHeldForLong()
}

// checkNoneHeldForLong checks that no caller was told to stay away for long, and what callers of
// the two special requests got.
func (rt *repeatTest) checkNoneHeldForLong() {
	answered, hung := 0, 0
	for _, e := range rt.exchanges {
		if e.reply.RetryAfter > maxTentativeRetryAfter {
			rt.t.Errorf("%s is to be retried after %v", e.call.ID, e.reply.RetryAfter)
		}
		switch {
		case strings.HasPrefix(e.call.ID, answeredRead.name) && e.reply.Status == http.StatusOK:
			answered++
		case strings.HasPrefix(e.call.ID, hangingRead.name) && e.reply.Status == http.StatusGatewayTimeout:
			hung++
		}
	}
	rt.t.Logf("%d answers before a crash, %d requests timed out", answered, hung)
	if answered < 3 || hung < 3 {
		rt.t.Errorf("%d answers before a crash, %d requests timed out", answered, hung)
	}
}
