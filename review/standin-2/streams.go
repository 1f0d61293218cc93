package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// stream is one stream as its client saw it over its attempts.
type stream struct {
	id       string
	total    int
	answers  []answer
	versions []string
	last     int
	// truncated is set if an answer looked complete before the last event, and gap if an event
	// is missing or came twice.
	truncated, gap bool
}

// streamClients sends streams of a number of events until ctx ends.
type streamClients struct {
	w         *world
	addresses []string
	path      string
	model     string
	total     int
	tries     int
	limit     time.Duration

	mu      sync.Mutex
	streams []*stream
	sent    int
}

// run starts n clients and returns a function that waits for them.
func (c *streamClients) run(ctx context.Context, n int) (wait func()) {
	var g sync.WaitGroup
	for i := range n {
		g.Go(func() {
			time.Sleep(time.Duration(i) * 137 * time.Millisecond)
			for ctx.Err() == nil {
				c.one(i)
			}
		})
	}
	return g.Wait
}

func (c *streamClients) one(client int) {
	c.mu.Lock()
	c.sent++
	id := fmt.Sprintf("%06x", 0x510000+c.sent)
	s := &stream{id: id, total: c.total}
	c.streams = append(c.streams, s)
	c.mu.Unlock()
	first := ""
	for try := range c.tries {
		name := fmt.Sprintf("%s%02x", id, try)
		h := map[string]string{"X-Request-Id": name, "X-Token-Counts": "100," + strconv.Itoa(c.total), "X-Prompt-Prefix": "a1:60," + id + ":40"}
		if c.model != "" {
			h["X-Model"] = c.model
		}
		if s.last > 0 {
			h["Last-Event-Id"], h["Resumes"] = strconv.Itoa(s.last), first
		}
		c.w.note("client sends %s from event %d", name, s.last+1)
		a := attempt(context.Background(), c.addresses[(client+try)%len(c.addresses)], "POST", c.path, h, "{}", c.limit)
		c.note(s, name, &a)
		if s.last > 0 && first == "" {
			first = name
		}
		if a.complete && a.status == 200 || try == c.tries-1 {
			return
		}
		time.Sleep(backoff[try])
	}
}

// note judges one answer of a stream.
func (c *streamClients) note(s *stream, name string, a *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.answers = append(s.answers, *a)
	for _, id := range a.ids {
		s.gap = s.gap || id != s.last+1
		s.last = id
	}
	for _, v := range a.versions {
		if !slices.Contains(s.versions, v) {
			s.versions = append(s.versions, v)
		}
	}
	if a.status == 200 && a.complete && s.last < s.total {
		s.truncated = true
	}
	c.w.note("client has for %s: status %d seal %q, %d events up to %d of %d, versions %v, looks complete %v, error %v",
		name, a.status, a.header.Get("X-Server-Seal"), len(a.ids), s.last, s.total, s.versions, a.complete, a.err)
}

// count returns for how many streams f is true.
func (c *streamClients) count(f func(*stream) bool) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.streams {
		if f(s) {
			n++
		}
	}
	return n
}

// unframedStreams takes one of seven engines away at short notice while it writes streams whose
// end only the end of their channel marks. Rule ORDER.
func unframedStreams(w *world) bool {
	const engines, victimNotice = 7, 2 * time.Second
	w.store.put("config", "main", map[string]any{
		"version": 3, "limits": limits,
		"routes":   []map[string]any{{"name": "draft", "host": host, "path_prefix": "/draft/", "route_kind": "streaming", "timeout_ms": 20000, "aim_ms": 2500, "gap_aim_ms": 250, "priority": 1, "service": "models", "max_attempts": 1, "sticky": true, "resumable": false}},
		"services": []map[string]any{{"name": "models", "health_path": "/health", "max_conns": 610, "engine": engineSpec(200000, 72700, "m0")}},
	})
	for n := 2; n < 2+engines; n++ {
		w.startServer(n, fmt.Sprintf("i-%d", n), "models", "-memory", "200000", "-models", "m0", "-unframed")
		w.startSidecar(n, "models", true)
	}
	w.startIngress(1)
	w.awaitReady(1)
	time.Sleep(2 * time.Second)
	c := &streamClients{w: w, addresses: []string{w.front(1)}, path: "/draft/x", model: "m0", total: 60, tries: 1, limit: 20 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	wait := c.run(ctx, 28)
	time.Sleep(8 * time.Second)
	if w.trouble {
		// The engine with the most runs is the one that is taken away.
		victim := fmt.Sprintf("server-%d", w.busiest(2, engines))
		w.signal(victim, syscall.SIGUSR1)
		time.Sleep(victimNotice)
		w.kill(victim)
	} else {
		time.Sleep(victimNotice)
	}
	time.Sleep(4 * time.Second)
	cancel()
	wait()
	truncated := c.count(func(s *stream) bool { return s.truncated })
	w.note("streams %d, whole %d, look complete before their last event %d, event missing or twice %d", len(c.streams),
		c.count(func(s *stream) bool { return s.last == s.total }), truncated, c.count(func(s *stream) bool { return s.gap }))
	w.mustServe(c)
	return truncated > 0
}

// mustServe ends a case that shows nothing since next to nothing was served.
func (w *world) mustServe(c *streamClients) {
	if whole := c.count(func(s *stream) bool { return s.last == s.total }); whole < len(c.streams)/3 {
		panic(errCannotRun{fmt.Errorf("only %d of %d streams were served", whole, len(c.streams))})
	}
}

// upgradeInPlace restarts the three servers of a plain service, one every five seconds, with a newer
// version of their software under their ids, while clients read streams that may be resumed. Rule
// ORDER.
func upgradeInPlace(w *world) bool {
	const (
		servers, clients = 3, 48
		down, pause      = 300 * time.Millisecond, 5 * time.Second
	)
	w.store.put("config", "main", map[string]any{
		"version": 3, "limits": limits,
		"routes":   []map[string]any{{"name": "digest", "host": host, "path_prefix": "/digest/", "route_kind": "streaming", "timeout_ms": 12000, "aim_ms": 500, "gap_aim_ms": 250, "priority": 2, "service": "portal", "max_attempts": 1, "resumable": true}},
		"services": []map[string]any{{"name": "portal", "health_path": "/health", "max_conns": 96}},
	})
	for n := 11; n < 11+servers; n++ {
		w.startServer(n, fmt.Sprintf("i-%d", n), "portal")
	}
	var fronts []string
	for n := 1; n <= 4; n++ {
		w.startIngress(n)
		fronts = append(fronts, w.front(n))
	}
	for n := 1; n <= 4; n++ {
		w.awaitReady(n)
	}
	time.Sleep(2 * time.Second)
	c := &streamClients{w: w, addresses: fronts, path: "/digest/x", total: 80, tries: 4, limit: 12 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	wait := c.run(ctx, clients)
	time.Sleep(8 * time.Second)
	for n := 11; n < 11+servers; n++ {
		if w.trouble {
			name := fmt.Sprintf("server-%d", n)
			w.kill(name)
			time.Sleep(down)
			w.startServer(n, fmt.Sprintf("i-%d", n), "portal", "-version", "v2")
		}
		time.Sleep(pause)
	}
	cancel()
	wait()
	joined := c.count(func(s *stream) bool { return len(s.versions) > 1 })
	w.note("streams %d, whole %d, with events of two software versions %d, of these complete %d", len(c.streams), c.count(func(s *stream) bool { return s.last == s.total }),
		joined, c.count(func(s *stream) bool { return len(s.versions) > 1 && s.last == s.total }))
	w.mustServe(c)
	return joined > 2
}

// backoff is how long a client waits before each further attempt at a stream, if the answer does
// not ask for a longer time.
var backoff = []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond}

// takeUps counts, at machines in touch, the attempts that take a stream up again and the new
// streams, and how many of each were begun.
type takeUps struct {
	mu         sync.Mutex
	new, begun int
	// resumedStreams and continuedStreams hold the ids of the streams.
	resumedStreams, continuedStreams map[string]bool
}

// streamsAfterRestart kills all processes of the system at one moment while two software versions of
// the engines serve, and starts them again. Rule LOST, as letter 4 has it for streams.
func streamsAfterRestart(w *world) bool {
	const engines, stable = 6, 4 * time.Second
	w.store.put("config", "main", map[string]any{
		"version": 3, "limits": limits,
		"routes":   []map[string]any{{"name": "outlook", "host": host, "path_prefix": "/outlook/", "route_kind": "streaming", "timeout_ms": 12000, "aim_ms": 500, "gap_aim_ms": 250, "priority": 2, "service": "models", "max_attempts": 2, "sticky": true, "resumable": true}},
		"services": []map[string]any{{"name": "models", "health_path": "/health", "max_conns": 610, "engine": engineSpec(200000, 72700, "m0")}},
	})
	start := func(first bool) (names []string) {
		for n := 1; n <= 2; n++ {
			names = append(names, w.startIngress(n))
		}
		for n := 3; n < 3+engines; n++ {
			names = append(names, w.startSidecar(n, "models", first))
		}
		return names
	}
	for n := 3; n < 3+engines; n++ {
		version := "v1"
		if n%2 == 0 {
			version = "v2"
		}
		w.startServer(n, fmt.Sprintf("i-%d", n), "models", "-memory", "200000", "-models", "m0", "-version", version, "-gap", "50ms")
	}
	names := start(true)
	w.awaitReady(1)
	w.awaitReady(2)
	time.Sleep(2 * time.Second)
	var inTouch time.Time
	var mu sync.Mutex
	touched := func(at time.Time) bool {
		mu.Lock()
		defer mu.Unlock()
		return at.After(inTouch)
	}
	t := &takeUps{resumedStreams: make(map[string]bool), continuedStreams: make(map[string]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	for i := range 30 {
		g.Go(func() {
			time.Sleep(time.Duration(i) * 173 * time.Millisecond)
			for n := 0; ctx.Err() == nil; n++ {
				t.one(w, fmt.Sprintf("%02x%04x", 0xa0+i, n), i, touched)
			}
		})
	}
	time.Sleep(12 * time.Second)
	if w.trouble {
		for _, name := range names {
			w.signal(name, os.Kill)
		}
		for _, name := range names {
			<-w.process(name).done
		}
		time.Sleep(time.Second)
		start(false)
		mu.Lock()
		inTouch = time.Now().Add(stable)
		mu.Unlock()
		w.note("all processes started again; in touch from %s on", inTouch.UTC().Format("15:04:05.000"))
	}
	time.Sleep(16 * time.Second)
	cancel()
	g.Wait()
	resumed, continued := len(t.resumedStreams), len(t.continuedStreams)
	w.note("at machines in touch: %d streams taken up again, %d of them went on; %d new streams, %d of them began", resumed, continued, t.new, t.begun)
	if t.new == 0 || t.begun < t.new/2 {
		panic(errCannotRun{fmt.Errorf("%d of %d new streams began", t.begun, t.new)})
	}
	return resumed >= 12 && float64(continued)/float64(resumed) < float64(t.begun)/float64(t.new)/2
}

// one plays one stream of five seconds.
func (t *takeUps) one(w *world, id string, client int, touched func(time.Time) bool) {
	const total = 100
	last, first, begun := 0, "", time.Now()
	for try := 0; try <= len(backoff); try++ {
		name := fmt.Sprintf("%s%02x", id, try)
		h := map[string]string{"X-Request-Id": name, "X-Token-Counts": "100," + strconv.Itoa(total), "X-Prompt-Prefix": "a1:60," + id + ":40", "X-Model": "m0"}
		taking := last > 0
		if taking {
			h["Last-Event-Id"], h["Resumes"] = strconv.Itoa(last), first
		}
		left := 12*time.Second - time.Since(begun)
		if left < time.Second {
			return
		}
		sent := time.Now()
		a := attempt(context.Background(), w.front(1+(client+try)%2), "POST", "/outlook/x", h, "{}", left)
		w.note("client sent %s from event %d at %s, has: status %d, %d events, versions %v, looks complete %v, retry after %q, error %v",
			name, last+1, sent.UTC().Format("15:04:05.000"), a.status, len(a.ids), slices.Compact(a.versions), a.complete, a.header.Get("Retry-After"), a.err)
		if a.err == nil || len(a.ids) > 0 || a.status != 0 {
			t.count(id, taking, len(a.ids) > 0, touched(sent))
		}
		if len(a.ids) > 0 {
			last = a.last()
			if first == "" {
				first = name
			}
		}
		if a.complete && a.status == 200 || try == len(backoff) {
			return
		}
		pause := backoff[try]
		if s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
			pause = max(pause, min(time.Duration(s*float64(time.Second)), left/3))
		}
		time.Sleep(pause)
	}
}

func (t *takeUps) count(id string, taking, events, inTouch bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !inTouch:
	case taking:
		t.resumedStreams[id] = true
		if events {
			t.continuedStreams[id] = true
		}
	default:
		t.new++
		if events {
			t.begun++
		}
	}
}
