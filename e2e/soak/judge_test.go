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
	// replySlack is how long after its deadline a request may get its final answer,
	// besides the pauses of its router: a second on a busy machine.
	replySlack = time.Second
	// goneSlack widens the spans in which a router is not there, for connections
	// that break a moment before or after.
	goneSlack = 200 * time.Millisecond
)

// judge holds what callers saw against what upstreams saw.
type judge struct {
	in *installation

	mu sync.Mutex
	// refused and unrepeatable are requests by their ids.
	refused      map[string]asked
	unrepeatable map[string]bool
	// excused requests met a router that was gone.
	total, answered, refusals, failed, excused int
	// broken counts breaches by rule.
	broken map[string]int
}

func newJudge(in *installation) *judge {
	return &judge{in: in, refused: make(map[string]asked), unrepeatable: make(map[string]bool), broken: make(map[string]int)}
}

// breach reports a broken rule.
func (j *judge) breach(rule, format string, args ...any) {
	j.mu.Lock()
	j.broken[rule]++
	n := j.broken[rule]
	j.mu.Unlock()
	if n <= 3 {
		j.in.t.Errorf("%s: %s", rule, fmt.Sprintf(format, args...))
	}
}

// hear judges one reply at once, by what can be told from it alone.
func (j *judge) hear(a asked) {
	r := a.reply
	router := j.in.routers[a.router]
	_, gone := router.within(&router.gone, a.from.Add(-goneSlack), a.to.Add(goneSlack))
	paused, _ := router.within(&router.paused, a.from, a.to)
	j.mu.Lock()
	j.total++
	j.unrepeatable[r.ID] = a.kind == "order"
	switch {
	case r.Status == http.StatusOK && r.Complete:
		j.answered++
	case r.Status == http.StatusServiceUnavailable && !r.Sealed:
		j.refusals++
		j.refused[r.ID] = a
	case r.Err != nil && gone:
		j.excused++
	default:
		j.failed++
	}
	j.mu.Unlock()
	if limit := a.call.Timeout + replySlack + paused; r.Duration > limit && !gone {
		j.breach("late", "%s %s ended after %v with %d %v, deadline %v, paused %v", a.kind, r.ID, r.Duration, r.Status, r.Err, a.call.Timeout, paused)
	}
	if r.Status == 0 && !gone {
		j.breach("lost", "%s %s to router %d: %v", a.kind, r.ID, a.router, r.Err)
	}
	if r.Status == http.StatusServiceUnavailable && !r.Sealed && r.RetryAfter <= 0 {
		j.breach("refusal", "%s %s says not when to come back", a.kind, r.ID)
	}
	if r.Status == http.StatusNotFound {
		j.breach("route", "%s %s: the route is in force", a.kind, r.ID)
	}
	j.content(a)
}

// content judges whether an answer is whole and the request's own.
func (j *judge) content(a asked) {
	r := a.reply
	if r.Status != http.StatusOK {
		return
	}
	want := "answer to " + r.ID
	if a.call.Model != "" {
		var b strings.Builder
		for i := 1; i <= events; i++ {
			fmt.Fprintf(&b, "id: %d\ndata: %d of %s\n\n", i, i, r.ID)
		}
		want = b.String()
	}
	if r.Complete && r.Body != want || !strings.HasPrefix(want, r.Body) {
		j.breach("mixed", "%s %s got %q, whole: %t", a.kind, r.ID, r.Body, r.Complete)
	}
	if !r.Sealed {
		j.breach("mixed", "%s %s: answer without an upstream's mark", a.kind, r.ID)
	}
}

// recovered checks that everything is served within the time allowed after the
// last fault, and stays so.
func (j *judge) recovered() {
	end := time.Now().Add(recovery)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range routers {
		for n, kind := range []string{"order", "read", "outlook", "outlook", "draft"} {
			c := platformtest.Call{Host: host, Path: "/" + kind + "/a", Body: "x", Timeout: 4 * time.Second}
			if n >= 2 {
				c.Model = modelNames[n]
			}
			var r platformtest.Reply
			for try := 0; r.Status != http.StatusOK && (try == 0 || time.Now().Before(end)); try++ {
				c.ID = fmt.Sprintf("s%d-end-%d-%d-%d", j.in.lane, i, n, try)
				r = c.Do(j.in.t.Context(), client, j.in.routerAddress(i))
			}
			if r.Status != http.StatusOK {
				j.breach("recovery", "%s by router %d: %d %v after %v", kind, i, r.Status, r.Err, recovery)
			}
		}
	}
}

// audit compares with what the upstreams did.
func (j *judge) audit() {
	ran := make(map[string]int)
	for i, u := range j.in.upstreams {
		for _, r := range u.Runs() {
			ran[r.ID]++
		}
		if i >= engines {
			continue
		}
		j.fences(i, u.Orders())
		if u.CapacityExceeded() {
			j.breach("limit", "engine %d was ordered to load more than fits", i)
		}
	}
	for id, n := range ran {
		if j.unrepeatable[id] && n > 1 {
			j.breach("twice", "%s ran %d times", id, n)
		}
		if a, refused := j.refused[id]; refused {
			j.breach("refused", "%s %s was said not to have run", a.kind, id)
		}
	}
}

// metrics checks that each process serves its counters on the address of its
// settings.
func (j *judge) metrics() {
	for i := range routers {
		j.counters(ipOf(j.in.lane, 1+i), "laureltally_ingress_")
	}
	for i := range engines {
		j.counters(ipOf(j.in.lane, 20+i), "laureltally_sidecar_")
	}
}

// counters reads the metrics of one process, which has up to metricsDelay from its
// start until its first ones are there.
func (j *judge) counters(ip, prefix string) {
	var err error
	for end := time.Now().Add(metricsDelay); ; time.Sleep(100 * time.Millisecond) {
		var text string
		text, err = read(fmt.Sprintf("http://%s:%d/metrics", ip, adminPort))
		if err == nil && strings.Contains(text, prefix) {
			return
		}
		if time.Now().After(end) {
			j.breach("metrics", "%s: no %s in %d bytes, %v", ip, prefix, len(text), err)
			return
		}
	}
}

// metricsDelay is twice the interval at which programs report their counters.
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

func (j *judge) fences(engine int, orders []platformtest.Order) {
	last := uint64(0)
	for _, o := range orders {
		if o.Fence < last {
			j.breach("fence", "engine %d: %d after %d", engine, o.Fence, last)
		}
		last = max(last, o.Fence)
	}
}

func (j *judge) summary() string {
	return fmt.Sprintf("%d requests, %d answered, %d refused, %d failed, %d met no router; broken: %v", j.total, j.answered, j.refusals, j.failed, j.excused, j.broken)
}
