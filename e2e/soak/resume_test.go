package soak

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

// softwareVersions are the software versions of the engines; all begin with the first.
var softwareVersions = [2]string{"v1", "v2"}

const (
	// allKilledWorker selects the addresses of TestStreamsGoOnAfterAllProcessesWereKilled.
	allKilledWorker = 70
	// resumeAttempts bounds the attempts to resume one stream.
	resumeAttempts = 3
	// resumedStreams is the number of streams of checkResumption, and resumedEventInterval
	// the time between their events, in which the routers are killed.
	resumedStreams       = 12
	resumedEventInterval = 200 * time.Millisecond
)

// eventVersion matches the software version in an event.
var eventVersion = regexp.MustCompile(` at (v\d+)\n\n`)

// release restarts an engine with the other software version.
func (in *installation) release(u *upstream, delay time.Duration) {
	u.switchSoftware()
	in.restart(u, delay)
}

// replaceUnderID restarts an engine under its id with the other software version. The store
// keeps its entry from before for a quarter of the delay.
func (in *installation) replaceUnderID(u *upstream, delay time.Duration) {
	u.switchSoftware()
	u.Restart(u.ID())
	u.proxy.reset()
	time.Sleep(delay / 4)
	in.register(u, "ready")
}

func (u *upstream) switchSoftware() {
	version := softwareVersions[0]
	if strings.Contains(u.Registration(""), `"version":"`+version+`"`) {
		version = softwareVersions[1]
	}
	u.SetSoftware(version)
}

// killRouters kills all routers at once.
func (in *installation) killRouters(downtime time.Duration) {
	var all sync.WaitGroup
	for i, router := range in.routers {
		all.Go(func() {
			defer in.lockSubject(fmt.Sprintf("router %d", i))()
			router.kill(downtime)
		})
	}
	all.Wait()
}

// resume resumes the stream of an exchange while it has broken off, and reports whether it
// was continued.
func (in *installation) resume(ch *checker, client *http.Client, e exchange, n int) (continued bool) {
	first := e.reply.ID
	for try := range resumeAttempts {
		received := e.after + strings.Count(e.reply.Body, "\n\n")
		if e.reply.Status == http.StatusOK && e.reply.Complete || received == 0 || received >= events {
			break
		}
		c := e.call
		c.ID = fmt.Sprintf("%s-resumed-%d", first, try)
		c.Header = http.Header{"Last-Event-Id": {fmt.Sprint(received)}, "Resumes": {first}}
		next := in.exchange(ch, client, exchange{call: c, kind: e.kind, first: first, after: received}, n)
		ch.mu.Lock()
		ch.resumes++
		if next.reply.Body != "" {
			ch.resumed++
			continued = true
		}
		ch.mu.Unlock()
		next.after = received
		e = next
	}
	return continued
}

// checkVersion checks that all events of a stream, over all attempts of its caller, come from
// one software version, and returns it.
func (ch *checker) checkVersion(e exchange) string {
	matches := eventVersion.FindAllStringSubmatch(e.reply.Body, -1)
	if len(matches) == 0 {
		return ""
	}
	first := e.first
	if first == "" {
		first = e.reply.ID
	}
	ch.mu.Lock()
	version, known := ch.begun[first]
	if !known {
		version = matches[0][1]
		ch.begun[first] = version
	}
	ch.mu.Unlock()
	for _, m := range matches {
		if m[1] != version {
			ch.violation("order", "%s, which resumes %q, has events of %s and %s: %q", e.reply.ID, e.first, version, m[1], e.reply.Body)
			break
		}
	}
	return version
}

// killAll kills all processes of the system at once.
func (in *installation) killAll(downtime time.Duration) {
	var all sync.WaitGroup
	for _, p := range slices.Concat(in.routers, in.sidecars) {
		all.Go(func() { p.kill(downtime) })
	}
	all.Wait()
}

// Rule LOST: guards against streams that nobody can continue after all processes were killed while
// two software versions serve.
func TestStreamsGoOnAfterAllProcessesWereKilled(t *testing.T) {
	in := newInstallation(t, allKilledWorker, soakSize)
	defer in.close()
	check := newChecker(in)
	check.checkResumption("all processes", in.killAll)
	check.checkUpstreams()
}

// checkResumption kills processes while streams run at two software versions. Of those that are
// resumed, at least half continue, as their engines are still there.
func (ch *checker) checkResumption(killed string, kill func(downtime time.Duration)) {
	in := ch.in
	for i, u := range in.upstreams[:in.size.engines] {
		u.SetSoftware(softwareVersions[i%len(softwareVersions)])
		in.restart(u, 0)
		u.SetStream(events, resumedEventInterval)
	}
	ch.checkRecovery()
	resumed, continued := 0, 0
	back := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	for n := range resumedStreams {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			c := platformtest.Call{Host: host, Path: "/outlook/a", Body: "x", Model: modelNames[n%2], Timeout: 8 * time.Second, ID: fmt.Sprintf("s%d-kill-%d", in.worker, n)}
			if in.keys != nil {
				c.Key = in.keys.tenants()[0].Keys[0]
			}
			e := in.exchange(ch, client, exchange{call: c, kind: "outlook"}, n)
			if e.reply.Complete || !strings.Contains(e.reply.Body, "\n\n") {
				return
			}
			<-back
			ok := in.resume(ch, client, e, n)
			mu.Lock()
			defer mu.Unlock()
			if resumed++; ok {
				continued++
			}
		})
	}
	time.Sleep(events * resumedEventInterval / 2)
	kill(0)
	for i := range in.ready {
		in.ready[i].set(probeFailures)
	}
	in.awaitReady()
	close(back)
	all.Wait()
	if 2*continued < resumed {
		ch.violation("resume", "%d of %d streams continue after %s were killed", continued, resumed, killed)
	}
	ch.in.t.Logf("%d of %d streams continue after %s were killed", continued, resumed, killed)
}
