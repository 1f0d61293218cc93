package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

const (
	// replySlack is how long after its deadline a request may get its final response,
	// apart from the pauses of its router. A busy machine needs up to a second.
	replySlack = time.Second
	// downtimeSlack extends the downtimes of a router, for connections that break
	// shortly before or after.
	downtimeSlack = 200 * time.Millisecond
)

// checker compares the requests as callers saw them with those that upstreams ran.
type checker struct {
	in *installation

	mu sync.Mutex
	// refused and nonIdempotent hold requests by id.
	refused map[string]exchange
	// sent holds all requests by id.
	sent          map[string]exchange
	nonIdempotent map[string]bool
	// excused counts the requests that failed because their router was down.
	// denied counts those that were refused for their keys.
	total, answered, refusals, denied, failed, excused int
	// begun maps the first attempts of resumed streams to the version that began them.
	begun map[string]string
	// resumes counts the attempts to resume a stream, and resumed those that continued.
	resumes, resumed int
	// violations counts the violations of each rule.
	violations map[string]int
}

func newChecker(in *installation) *checker {
	return &checker{in: in, refused: make(map[string]exchange), sent: make(map[string]exchange), nonIdempotent: make(map[string]bool), begun: make(map[string]string), violations: make(map[string]int)}
}

// violation counts a violation of a rule and reports the first three of each rule.
func (ch *checker) violation(rule, format string, args ...any) {
	ch.mu.Lock()
	ch.violations[rule]++
	n := ch.violations[rule]
	ch.mu.Unlock()
	if n <= 3 {
		ch.in.t.Errorf("%s: %s", rule, fmt.Sprintf(format, args...))
	}
}

// checkReply checks the rules that one reply alone can violate.
func (ch *checker) checkReply(e exchange) {
	r := e.reply
	router := ch.in.routers[e.router]
	_, down := router.within(&router.down, e.from.Add(-downtimeSlack), e.to.Add(downtimeSlack))
	paused, _ := router.within(&router.paused, e.from, e.to)
	refused := !r.Sealed && (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests)
	ch.mu.Lock()
	ch.total++
	ch.nonIdempotent[r.ID] = e.kind == "order"
	ch.sent[r.ID] = e
	switch {
	case r.Status == http.StatusOK && r.Complete:
		ch.answered++
	case refused:
		ch.refusals++
		ch.refused[r.ID] = e
	case r.Status == http.StatusUnauthorized && !r.Sealed:
		ch.denied++
		ch.refused[r.ID] = e
	case r.Err != nil && down:
		ch.excused++
	default:
		ch.failed++
	}
	ch.mu.Unlock()
	if limit := e.call.Timeout + replySlack + paused; r.Duration > limit && !down {
		ch.violation("late", "%s %s ended after %v with %d %v, deadline %v, paused %v", e.kind, r.ID, r.Duration, r.Status, r.Err, e.call.Timeout, paused)
	}
	if r.Status == 0 && !down {
		ch.violation("lost", "%s %s to router %d: %v", e.kind, r.ID, e.router, r.Err)
	}
	if refused && r.RetryAfter <= 0 {
		ch.violation("refusal", "%s %s has no time to retry after", e.kind, r.ID)
	}
	if r.Status == http.StatusNotFound {
		ch.violation("route", "%s %s: not found, but the route is in use", e.kind, r.ID)
	}
	ch.checkKeyReply(e)
	ch.checkBody(e)
}

// checkBody checks that a response is complete, or a prefix of the complete one,
// and belongs to its request.
func (ch *checker) checkBody(e exchange) {
	r := e.reply
	if r.Status != http.StatusOK {
		return
	}
	want := "answer to " + r.ID
	if e.call.Model != "" {
		var b strings.Builder
		version := ch.checkVersion(e)
		for i := e.after + 1; i <= events; i++ {
			fmt.Fprintf(&b, "id: %d\ndata: %d of %s at %s\n\n", i, i, r.ID, version)
		}
		want = b.String()
	}
	if r.Complete && r.Body != want || !strings.HasPrefix(want, r.Body) {
		ch.violation("mixed", "%s %s got %q, complete: %t", e.kind, r.ID, r.Body, r.Complete)
	}
	if !r.Sealed {
		ch.violation("mixed", "%s %s: response without the seal of an upstream", e.kind, r.ID)
	}
}

// checkRecovery checks that each kind of request is served by each router within
// the time allowed after the last fault.
func (ch *checker) checkRecovery() {
	end := time.Now().Add(recoveryLimit)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range ch.in.size.routers {
		for n, kind := range []string{"order", "read", "outlook", "outlook", "draft"} {
			c := platformtest.Call{Host: host, Path: "/" + kind + "/a", Body: "x", Timeout: 4 * time.Second}
			if ch.in.keys != nil {
				c.Key = ch.in.keys.tenants()[0].Keys[0]
			}
			if n >= 2 {
				c.Model = modelNames[n]
			}
			var r platformtest.Reply
			for try := 0; r.Status != http.StatusOK && (try == 0 || time.Now().Before(end)); try++ {
				c.ID = fmt.Sprintf("s%d-end-%d-%d-%d", ch.in.worker, i, n, try)
				r = c.Do(ch.in.t.Context(), client, ch.in.routerAddress(i))
			}
			if r.Status != http.StatusOK {
				ch.violation("recovery", "%s by router %d: %d %v after %v", kind, i, r.Status, r.Err, recoveryLimit)
			}
		}
	}
}

// checkUpstreams checks the rules that need the runs and orders at the upstreams.
func (ch *checker) checkUpstreams() {
	ran := make(map[string]int)
	for i, u := range ch.in.upstreams {
		for _, r := range u.Runs() {
			ran[r.ID]++
		}
		if i >= ch.in.size.engines {
			continue
		}
		ch.checkFences(i, u.Orders())
		if u.CapacityExceeded() {
			ch.violation("limit", "engine %d was ordered to load more than fits", i)
		}
	}
	ch.checkTenants()
	for id, n := range ran {
		if ch.nonIdempotent[id] && n > 1 {
			ch.violation("twice", "%s ran %d times", id, n)
		}
		if e, refused := ch.refused[id]; refused {
			ch.violation("refused", "%s %s ran although it was refused as not run", e.kind, id)
		}
	}
}

// checkMetrics checks that each process serves its metrics on the address in its
// settings.
func (ch *checker) checkMetrics() {
	for i := range ch.in.size.routers {
		ch.checkCounters(ipOf(ch.in.worker, 1+i), "laureltally_ingress_")
	}
	for i := range ch.in.size.engines {
		ch.checkCounters(ipOf(ch.in.worker, 20+i), "laureltally_sidecar_")
	}
}

// checkCounters checks that one process serves metrics with a prefix. The first
// metrics may appear up to metricsDelay after the start.
func (ch *checker) checkCounters(ip, prefix string) {
	var err error
	for end := time.Now().Add(metricsDelay); ; time.Sleep(100 * time.Millisecond) {
		var text string
		text, err = read(fmt.Sprintf("http://%s:%d/metrics", ip, adminPort))
		if err == nil && strings.Contains(text, prefix) {
			return
		}
		if time.Now().After(end) {
			ch.violation("metrics", "%s: no %s in %d bytes, %v", ip, prefix, len(text), err)
			return
		}
	}
}

// metricsDelay is twice the interval at which the programs update their metrics.
const metricsDelay = 2 * time.Second

func read(url string) (string, error) {
	resp, err := http.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

func (ch *checker) checkFences(engine int, orders []platformtest.Order) {
	last := uint64(0)
	for _, o := range orders {
		if o.Fence < last {
			ch.violation("fence", "engine %d: %d after %d", engine, o.Fence, last)
		}
		last = max(last, o.Fence)
	}
}

func (ch *checker) summary() string {
	return fmt.Sprintf("%d requests, %d answered, %d refused, %d denied, %d failed, %d excused as their router was down; %d of %d resumed streams continued; violations: %v", ch.total, ch.answered, ch.refusals, ch.denied, ch.failed, ch.excused, ch.resumed, ch.resumes, ch.violations)
}
