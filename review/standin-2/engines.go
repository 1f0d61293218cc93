package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// busiest returns the machine, of count from first, whose engine has the most runs.
func (w *world) busiest(first, count int) int {
	best, most := first, -1
	for n := first; n < first+count; n++ {
		resp, err := http.Get("http://" + w.app(n) + "/laureltally/report")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		running := 0
		if _, after, ok := strings.Cut(string(text), `"running":`); ok {
			_, _ = fmt.Sscanf(after, "%d", &running)
		}
		if running > most {
			best, most = n, running
		}
	}
	return best
}

// lateOrders is the network of the platform for orders that get no answer: it hands each of them to
// the server at their address a fixed time later.
type lateOrders struct {
	w      *world
	server string
	delay  time.Duration
	taken  int
	url    string
}

func startLateOrders(w *world, server string, delay time.Duration) *lateOrders {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	l := &lateOrders{w: w, server: server, delay: delay, url: "http://" + ln.Addr().String() + "/"}
	go func() { _ = http.Serve(ln, l) }()
	return l
}

func (l *lateOrders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	expect := r.URL.Query().Get("expect")
	l.w.note("the order %s will be carried out %v later", body, l.delay)
	time.AfterFunc(l.delay, func() {
		req, _ := http.NewRequest(http.MethodPost, "http://"+l.server+"/laureltally/order", bytes.NewReader(body))
		req.Header.Set("X-Expect-Instance", expect)
		req.Header.Set("X-Late", "1")
		l.w.note("the late order %s arrives", body)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			l.w.note("the late order got no answer: %v", err)
			return
		}
		_ = resp.Body.Close()
		l.w.note("the late order got %d", resp.StatusCode)
	})
}

// ask sends a short stream for a model until it is served or a time has passed.
func (w *world) ask(model string, limit time.Duration) bool {
	for end, n := time.Now().Add(limit), 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%s%04x", fmt.Sprintf("%x", model), n)
		a := attempt(context.Background(), w.front(1), "POST", "/draft/x", map[string]string{
			"X-Request-Id": id, "X-Model": model, "X-Token-Counts": "100,5", "X-Prompt-Prefix": "a1:60," + id + ":40",
		}, "{}", 15*time.Second)
		w.note("client has for %s (model %s): status %d, %d events, error %v", id, model, a.status, len(a.ids), a.err)
		if a.status == 200 && a.complete && a.last() == 5 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// lateLoad restarts a machine with its engine and its sidecar while an order of the sidecar has had
// no answer. The order is carried out 11 s after it was sent. Rule LIMIT.
func lateLoad(w *world) bool {
	w.store.put("config", "main", map[string]any{
		"version": 3, "limits": limits,
		"routes":   []map[string]any{{"name": "draft", "host": host, "path_prefix": "/draft/", "route_kind": "streaming", "timeout_ms": 20000, "aim_ms": 2500, "gap_aim_ms": 250, "priority": 1, "service": "models", "max_attempts": 1, "sticky": true, "resumable": false}},
		"services": []map[string]any{{"name": "models", "health_path": "/health", "max_conns": 610, "engine": engineSpec(200000, 72700, "m1", "m2", "m3")}},
	})
	disk := filepath.Join(w.dir, "disk")
	check(os.WriteFile(disk, []byte("m1\nm2\nm3"), 0o644))
	late := startLateOrders(w, w.app(2), 11*time.Second)
	engine := []string{"-memory", "200000", "-disk", disk}
	first := append([]string{"-models", "m1"}, engine...)
	if w.trouble {
		first = append(first, "-late", late.url, "-late-model", "m3")
	}
	w.startServer(2, "i-2", "models", first...)
	w.startSidecar(2, "models", true)
	w.startIngress(1)
	w.awaitReady(1)
	time.Sleep(2 * time.Second)
	// The second model is loaded beside the first one; the third one takes the place of one of them.
	if !w.ask("m2", 15*time.Second) {
		panic(errCannotRun{fmt.Errorf("the second model was not served")})
	}
	asked := make(chan bool, 1)
	go func() { asked <- w.ask("m3", 4*time.Second) }()
	time.Sleep(2500 * time.Millisecond)
	w.kill("server-2")
	w.kill("side-2")
	time.Sleep(time.Second)
	w.startServer(2, "i-2", "models", engine...)
	w.startSidecar(2, "models", false)
	<-asked
	// Clients go on with the two models that they asked for before.
	served := w.ask("m1", 12*time.Second)
	served = w.ask("m2", 12*time.Second) && served
	w.note("after the restart, both models served: %v", served)
	c := &streamClients{w: w, addresses: []string{w.front(1)}, path: "/draft/x", model: "m1", total: 30, tries: 1, limit: 15 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	wait := c.run(ctx, 8)
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end) && w.running("server-2"); time.Sleep(100 * time.Millisecond) {
	}
	cancel()
	wait()
	overloaded := !w.running("server-2")
	w.note("engine overloaded by an order: %v; streams %d, cut or refused %d", overloaded, len(c.streams), c.count(func(s *stream) bool { return s.last < s.total }))
	if !served && !overloaded {
		panic(errCannotRun{fmt.Errorf("the models were not served after the restart")})
	}
	return overloaded
}

// foreignEntries ends all processes of the system at one moment and starts them again. Meanwhile
// another writer has written entries into the list of servers, under names of its own: they name a
// service that is in no configuration, and carry the addresses of the replicas. Rule RECOVER.
func foreignEntries(w *world) bool {
	const engines, plain, recover = 3, 2, 12 * time.Second
	w.store.put("config", "main", map[string]any{
		"version": 3, "limits": limits,
		"routes": []map[string]any{
			{"name": "draft", "host": host, "path_prefix": "/draft/", "route_kind": "streaming", "timeout_ms": 20000, "aim_ms": 2500, "gap_aim_ms": 250, "priority": 1, "service": "models", "max_attempts": 1, "sticky": true, "resumable": false},
			{"name": "order", "host": host, "path_prefix": "/order/", "route_kind": "non_idempotent", "timeout_ms": 1500, "aim_ms": 300, "priority": 2, "service": "portal", "max_attempts": 1},
		},
		"services": []map[string]any{
			{"name": "models", "health_path": "/health", "max_conns": 610, "engine": engineSpec(200000, 72700, "m0")},
			{"name": "portal", "health_path": "/health", "max_conns": 96},
		},
	})
	names := []string{w.startIngress(1)}
	for n := 2; n < 2+engines; n++ {
		w.startServer(n, fmt.Sprintf("i-%d", n), "models", "-memory", "200000", "-models", "m0", "-gap", "30ms")
		names = append(names, w.startSidecar(n, "models", true))
	}
	for n := 2 + engines; n < 2+engines+plain; n++ {
		w.startServer(n, fmt.Sprintf("i-%d", n), "portal")
	}
	w.awaitReady(1)
	time.Sleep(2 * time.Second)
	before := w.share("before", 6*time.Second)
	for _, name := range names {
		w.signal(name, os.Kill)
	}
	for _, name := range names {
		<-w.process(name).done
	}
	if w.trouble {
		for n := 2; n < 2+engines+plain; n++ {
			entry := w.store.spec("servers", fmt.Sprintf("i-%d", n))
			entry["service"] = "inventory"
			w.store.put("servers", fmt.Sprintf("x-%d", n), entry)
			w.note("another writer writes servers/x-%d: %v", n, entry)
		}
	}
	time.Sleep(time.Second)
	w.startIngress(1)
	for n := 2; n < 2+engines; n++ {
		w.startSidecar(n, "models", false)
	}
	time.Sleep(recover)
	after := w.share("after", 8*time.Second)
	if before < 0.25 {
		panic(errCannotRun{fmt.Errorf("only %.2f was served before", before)})
	}
	return after < 0.25
}

// share sends requests of both kinds for a time and returns the share that is served.
func (w *world) share(label string, length time.Duration) float64 {
	var (
		g            sync.WaitGroup
		mu           sync.Mutex
		sent, served int
	)
	end := time.Now().Add(length)
	for i := range 8 {
		g.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%x%02x%04x", label, i, n)
				h, path, limit := map[string]string{"X-Request-Id": id}, "/order/x", 3*time.Second
				if i%2 == 0 {
					path, limit = "/draft/x", 15*time.Second
					h["X-Model"], h["X-Token-Counts"], h["X-Prompt-Prefix"] = "m0", "100,10", "a1:60,"+id+":40"
				}
				a := attempt(context.Background(), w.front(1), "POST", path, h, "{}", limit)
				w.note("client has for %s (%s): status %d, looks complete %v, error %v", id, path, a.status, a.complete, a.err)
				mu.Lock()
				sent++
				if a.status == 200 && a.complete {
					served++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	g.Wait()
	w.note("%s: %d requests, %d served", label, sent, served)
	return float64(served) / float64(max(1, sent))
}
