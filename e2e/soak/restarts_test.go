package soak

import (
	"sync"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

const (
	// The workers select the addresses of the tests.
	routerRestartsWorker, sidecarRestartsWorker, allRestartsWorker = 65, 66, 67
	// restartsTime is how long processes are killed again and again, and restartDowntime the
	// time until they are started again.
	restartsTime    = 18 * time.Second
	restartDowntime = 500 * time.Millisecond
	// routerInterval and sidecarInterval are the times between two restarts. Routers that
	// run for three seconds meet about two crashes; routers miss a sidecar's restart for one
	// to two seconds.
	routerInterval, sidecarInterval = 3 * time.Second, 1500 * time.Millisecond
)

// A request comes again while all routers lose what they know, again and again. The
// crashes that their predecessors met still count.
func TestRepeatsAreHeldBackWhileAllRoutersRestart(t *testing.T) {
	testRepeatsDuringRestarts(t, routerRestartsWorker, routerInterval, func(rt *repeatTest) []*process { return rt.routers })
}

// The sidecars that pass crashes and quarantines on end again and again, some of them with news
// that nobody else has.
func TestRepeatsAreHeldBackWhileAllSidecarsRestart(t *testing.T) {
	testRepeatsDuringRestarts(t, sidecarRestartsWorker, sidecarInterval, func(rt *repeatTest) []*process { return rt.sidecars })
}

// No process is left that remembers a crash.
func TestRepeatsAreHeldBackWhileAllProcessesRestart(t *testing.T) {
	testRepeatsDuringRestarts(t, allRestartsWorker, routerInterval, func(rt *repeatTest) []*process {
		return append(append([]*process(nil), rt.routers...), rt.sidecars...)
	})
}

// testRepeatsDuringRestarts repeats a read and a prompt that crash servers while the selected
// processes restart together. No more servers may end under one of them than make it known and,
// after that, late retries are allowed.
func testRepeatsDuringRestarts(t *testing.T, worker int, interval time.Duration, restarted func(*repeatTest) []*process) {
	rt := newRepeatTest(t, worker, platformtest.CrashFault{Matches: crashesServers, Downtime: 2 * time.Second})
	defer rt.close()
	rt.startSound(6)
	time.Sleep(3 * time.Second)
	begun := time.Now()
	for _, r := range []repeated{crashingRead, crashingDraft} {
		rt.startRepeats(r, 2, time.Second)
	}
	for range int(restartsTime / (interval + restartDowntime)) {
		time.Sleep(interval)
		var restarts sync.WaitGroup
		for _, p := range restarted(rt) {
			restarts.Go(func() { p.kill(restartDowntime) })
		}
		restarts.Wait()
	}
	settled := time.Now().Add(stableTime)
	time.Sleep(3 * stableTime)
	rt.stop()
	for _, r := range []repeated{crashingRead, crashingDraft} {
		rt.checkRetries(r)
		rt.checkRefusals(r, settled)
		if n := len(rt.crashesUnder(r)); n > crashesOfRepeated+maxLateRetries {
			t.Errorf("%d servers ended under %s, at most %d may", n, r.name, crashesOfRepeated+maxLateRetries)
		}
	}
	rt.checkSound(begun, settled)
}
