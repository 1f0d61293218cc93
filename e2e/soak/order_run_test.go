package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/platform/platformtest"
)

const (
	// orderCallers is the number of callers, orderTries the number of attempts that each makes
	// for one stream, and orderSlots the number of an engine's slots.
	orderCallers, orderTries, orderSlots = 60, 3, 24
	// orderFaultInterval is the mean time between two faults.
	orderFaultInterval = 250 * time.Millisecond
	// plainService is a service without models whose streams may be resumed.
	plainService = "notes"
	// orderModels is the number of models.
	orderModels = 3
	// shownViolations is the number of violations of each kind that are shown with their trace.
	shownViolations = 3
)

func orderWorker(t *testing.T) int { return intSetting(t, "ORDER_WORKER", 75) }

// Rule ORDER, with processes and sockets as in operation: streams stay whole, in order and of one
// software version, or end as broken, whatever is killed, paused, cut off or released.
//
// ORDER_SEEDS is a seed or a range, ORDER_SECONDS the time for which faults are injected, and
// ORDER_WORKER selects the addresses. ORDER_PLAIN=1 adds a service without models.
func TestOrder(t *testing.T) {
	first, last := uint64(1), uint64(1)
	if text := os.Getenv("ORDER_SEEDS"); text != "" {
		if n, err := fmt.Sscanf(text, "%d-%d", &first, &last); n < 1 {
			t.Fatalf("ORDER_SEEDS: %v", err)
		}
		last = max(first, last)
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { playOrder(t, seed) })
	}
}

func playOrder(t *testing.T, seed uint64) {
	run := &orderRun{
		t: t, counts: make(map[string]int), plain: os.Getenv("ORDER_PLAIN") != "",
		installation: newInstallation(t, orderWorker(t), size{routers: 3, engines: 6, ownStores: true, engineProcesses: true}),
	}
	defer run.close()
	run.configure()
	run.begun = time.Now()
	duration := time.Duration(intSetting(t, "ORDER_SECONDS", 5)) * time.Second
	done := make(chan struct{})
	var callers sync.WaitGroup
	for n := range orderCallers {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(100+n)))
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
					run.play(r, fmt.Sprintf("o%d-%d-%d", seed, n, i))
				}
			}
		})
	}
	run.injectOrder(rand.New(rand.NewPCG(seed, 1)), duration)
	close(done)
	callers.Wait()
	run.show()
	t.Logf("seed %d: %d streams, %d attempts, %d refused, %d resumed, %d whole; violations: %v", seed, run.streams.Load(), run.attempts.Load(), run.refused.Load(), run.resumed.Load(), run.whole.Load(), run.counts)
	if run.whole.Load() == 0 || run.resumed.Load() == 0 {
		t.Error("no stream was whole, or none resumed")
	}
}

// show shows the first violations of each kind with the log lines of their requests.
func (run *orderRun) show() {
	for _, v := range run.violations {
		lines := strings.Join(run.linesOf(v.ids), "\n")
		if strings.Contains(strings.Join(run.linesOf(v.ids[len(v.ids)-1:]), ""), "sending without a reservation") {
			v.kind += ", past a silent sidecar"
		}
		if run.counts[v.kind]++; run.counts[v.kind] <= shownViolations {
			run.t.Errorf("%s: %s\n%s", v.kind, v.text, lines)
		}
	}
}

// orderRun is an installation with the streams that callers saw.
type orderRun struct {
	*installation
	t     *testing.T
	begun time.Time
	plain bool

	streams, attempts, refused, resumed, whole atomic.Int64

	mu         sync.Mutex
	violations []orderViolation
	// counts holds their number by kind.
	counts map[string]int
}

// orderViolation is the first violation of a stream, with the ids of its attempts.
type orderViolation struct {
	kind, text string
	ids        []string
}

// configure replaces the configuration by one for this run.
func (run *orderRun) configure() {
	if run.plain {
		for i := range 2 {
			run.engines = append(run.engines, run.startEngineProcess(run.size.engines+2*i, nil))
		}
	}
	route := func(prefix, service string, resumable bool) platformtest.Route {
		return platformtest.Route{Host: host, Prefix: prefix, Kind: "streaming", Service: service, TimeoutMS: 12000, ObjectiveMS: 500, EventGapMS: 300, MaxAttempts: 3, Resumable: resumable}
	}
	platformtest.Config{
		Version: 100, IdleTimeoutMS: 15000, HeaderBytes: 4096, BodyBytes: 1 << 20,
		Routes: []platformtest.Route{route("/outlook/", "models", true), route("/draft/", "models", false), route("/notes/", plainService, true)},
		Services: []platformtest.Service{{Name: plainService}, {
			Name: "models", Models: modelNames[:orderModels], MemoryMB: 100, ModelMB: 45, AdapterSlots: 2, Slots: orderSlots,
			LoadSeconds: 0.1, DiskSeconds: 0.03, LoadsPerSecond: 20,
		}},
	}.Write(run.store)
	time.Sleep(2 * time.Second)
}

// injectOrder injects faults until the time is over. Those of one subject wait for each other.
func (run *orderRun) injectOrder(r *rand.Rand, duration time.Duration) {
	var all sync.WaitGroup
	for time.Since(run.begun) < duration {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(orderFaultInterval)))
		i, lasts := r.IntN(len(run.engines)), time.Duration(100+r.IntN(3000))*time.Millisecond
		late, kind, router := time.Duration(r.IntN(2500))*time.Millisecond, r.IntN(14), r.IntN(run.size.routers)
		all.Go(func() { run.orderFault(kind, i, router, lasts, late) })
	}
	all.Wait()
}

func (run *orderRun) orderFault(kind, i, router int, lasts, late time.Duration) {
	e, p, sidecar := run.engines[i], run.routers[router], run.sidecars[i%run.size.engines]
	fault := func(subject, what string, inject func()) {
		defer run.lockSubject(subject)()
		run.t.Logf("%6.2f s %s %s, %v, entry late by %v", time.Since(run.begun).Seconds(), subject, what, lasts, late)
		inject()
	}
	id := e.current().ID
	next := fmt.Sprintf("i-%d-%d", i, e.current().Start+1)
	switch kind {
	case 0, 1:
		fault(e.name, "starts anew under its id with the other version", func() { e.replace(e.current().ID, e.otherSoftware(), lasts/20, late) })
	case 2, 3:
		fault(e.name, "starts anew as another VM with the other version", func() { e.replace(next, e.otherSoftware(), lasts/20, late) })
	case 4:
		fault(e.name, "starts anew under its id", func() { e.replace(e.current().ID, e.current().Software, lasts/20, late) })
	case 5, 6:
		fault(e.name, "paused", func() { e.pause(lasts) })
	case 7:
		fault(p.name, "killed", func() { p.kill(lasts / 10) })
	case 8:
		fault(p.name, "paused", func() { p.pause(lasts) })
	case 9:
		fault(p.name, "terminated", p.terminate)
	case 10:
		fault("store of "+p.name, "cut off", func() { run.hold(run.routerStores[router], lasts, 0, true, true) })
	case 11:
		fault(sidecar.name, "killed", func() { sidecar.kill(lasts / 10) })
	case 12:
		fault(sidecar.name, "paused", func() { sidecar.pause(lasts) })
	case 13:
		// The list stays old and the sidecar is silent once the new server has its models.
		fault(e.name, "of "+id+" starts anew with the other version past a silent sidecar and old lists", func() {
			run.pastSilentSidecar(e, sidecar, lasts)
		})
	}
}

// pastSilentSidecar starts an engine under its id with the other version while all routers are cut
// off from the store, and pauses its sidecar once models are loaded.
func (run *orderRun) pastSilentSidecar(e *engineProcess, sidecar *process, lasts time.Duration) {
	var all sync.WaitGroup
	for _, p := range run.routerStores {
		all.Go(func() { run.hold(p, lasts+2*time.Second, 0, true, true) })
	}
	time.Sleep(50 * time.Millisecond)
	e.replace(e.current().ID, e.otherSoftware(), 0, lasts+2*time.Second)
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if text, _ := e.get(client, registrationPath); strings.Contains(text, `"name":"m`) {
			break
		}
	}
	func() {
		defer run.lockSubject(sidecar.name)()
		sidecar.pause(lasts)
	}()
	all.Wait()
}

// orderCall is one attempt of a caller.
type orderCall struct {
	id, path, model, first string
	events, padding, after int
	interval               time.Duration
	// old means HTTP/1.0, slow a reader that pauses. After leaves the caller closes its
	// connection, and after halfCloses only its sending half; zero means never.
	old, slow          bool
	leaves, halfCloses time.Duration
}

// orderEvent is an event as a caller read it.
type orderEvent struct {
	id, number               int
	of, run, version, framed string
}

// orderAnswer is what a caller read. Complete means that it looks so.
type orderAnswer struct {
	router, status   int
	events           []orderEvent
	complete, sealed bool
	framed, rest     string
	err              error
	from, to         time.Time
}

// play plays one stream with up to orderTries attempts and checks what the caller saw.
func (run *orderRun) play(r *rand.Rand, id string) {
	run.streams.Add(1)
	c := &orderCall{
		id: id, path: "/outlook/a", model: modelNames[r.IntN(orderModels)], events: 10 + r.IntN(30), interval: time.Duration(10+r.IntN(50)) * time.Millisecond,
	}
	if r.IntN(8) == 0 {
		c.path = "/draft/a"
	} else if run.plain && r.IntN(4) == 0 {
		c.path, c.model = "/notes/a", ""
	}
	c.old = r.IntN(8) == 0
	if r.IntN(8) == 0 {
		c.slow, c.padding = true, 16<<10
	}
	s := &orderStream{run: run}
	for try := range orderTries {
		if c.id = id; try > 0 {
			c.id = fmt.Sprintf("%s-%d", id, try)
		}
		c.leaves, c.halfCloses = 0, 0
		after := time.Duration(20+r.IntN(1200)) * time.Millisecond
		switch r.IntN(8) {
		case 0:
			c.leaves = after
		case 1:
			c.halfCloses = after
		}
		router := run.pick(r.IntN(run.size.routers))
		if router < 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		run.attempts.Add(1)
		a := c.do(run.routerAddress(router))
		a.router = router
		s.check(c, a)
		if a.status == http.StatusServiceUnavailable {
			run.refused.Add(1)
		}
		if len(a.events) > 0 {
			if c.after > 0 {
				run.resumed.Add(1)
			}
			c.first, c.after = cmp.Or(c.first, c.id), a.events[len(a.events)-1].id
		}
		if a.complete && a.status == http.StatusOK {
			run.whole.Add(1)
			return
		}
		if c.path == "/draft/a" && a.status == http.StatusOK || s.violated {
			return
		}
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
	}
}

// slowReader reads a little at a time.
type slowReader struct{ net.Conn }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(40 * time.Millisecond)
	return r.Conn.Read(p[:min(len(p), 12<<10)])
}

// do sends the request on a connection of its own and reads the answer.
func (c *orderCall) do(address string) (a orderAnswer) {
	a.from = time.Now()
	defer func() { a.to = time.Now() }()
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	reader := io.Reader(conn)
	if c.slow {
		_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
		reader = slowReader{conn}
	}
	version := "HTTP/1.1"
	if c.old {
		version = "HTTP/1.0"
	}
	// Equal requests would soon be quarantined, since engines end under them.
	prompt := xxhash.Sum64String(cmp.Or(c.first, c.id))
	text := fmt.Sprintf("POST %s %s\r\nHost: %s\r\nContent-Length: 1\r\nX-Request-Id: %s\r\nX-Token-Counts: 100,50\r\nX-Prompt-Prefix: %x:50,%x:50\r\nX-Deadline-Ms: 12000\r\n%s: %d\r\n%s: %d\r\n%s: %d\r\n",
		c.path, version, host, c.id, prompt, prompt+1, headerEvents, c.events, headerInterval, c.interval.Milliseconds(), headerPadding, c.padding)
	if c.model != "" {
		text += "X-Model: " + c.model + "\r\n"
	}
	if c.after > 0 {
		text += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", c.after, c.first)
	}
	if _, a.err = io.WriteString(conn, text+"\r\nx"); a.err != nil {
		return a
	}
	if c.leaves > 0 {
		defer time.AfterFunc(c.leaves, func() { conn.Close() }).Stop()
	}
	if c.halfCloses > 0 {
		defer time.AfterFunc(c.halfCloses, func() { _ = conn.(*net.TCPConn).CloseWrite() }).Stop()
	}
	resp, err := http.ReadResponse(bufio.NewReader(reader), &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.sealed, a.framed = resp.StatusCode, resp.Header.Get("X-Server-Seal") != "", "connection"
	if resp.ContentLength >= 0 {
		a.framed = "length"
	} else if len(resp.TransferEncoding) > 0 {
		a.framed = "chunks"
	}
	body, err := io.ReadAll(resp.Body)
	a.err, a.complete = err, err == nil
	a.events, a.rest = parseEvents(string(body))
	return a
}

var orderEventText = regexp.MustCompile(`^id: (\d+)\ndata: (\d+) of (\S+) run (\S+) at (\S+) in (\S+) x*$`)

// parseEvents returns the whole events of a text and what remains.
func parseEvents(text string) (events []orderEvent, rest string) {
	for {
		one, more, whole := strings.Cut(text, "\n\n")
		m := orderEventText.FindStringSubmatch(one)
		if !whole || m == nil {
			return events, text
		}
		id, _ := strconv.Atoi(m[1])
		number, _ := strconv.Atoi(m[2])
		events, text = append(events, orderEvent{id, number, m[3], m[4], m[5], m[6]}), more
	}
}

func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// orderStream is what the caller of one stream saw over its attempts.
type orderStream struct {
	run      *orderRun
	version  string
	tries    []string
	ids      []string
	violated bool
}

// check checks an answer and shows the first wrong event.
func (s *orderStream) check(c *orderCall, a orderAnswer) {
	s.ids = append(s.ids, c.id)
	s.tries = append(s.tries, fmt.Sprintf("%s at router %d, %+v: status %d, %d events in %s, complete: %t, %v, %.2f to %.2f s: %s", c.id, a.router, *c, a.status, len(a.events), a.framed,
		a.complete, a.err, a.from.Sub(s.run.begun).Seconds(), a.to.Sub(s.run.begun).Seconds(), runsOf(a.events)))
	if a.status != http.StatusOK {
		return
	}
	last := c.after
	for i, e := range a.events {
		switch {
		case e.of != c.id:
			s.violation("event of another request", e)
		case e.id == last:
			s.violation("repeat", e)
		case e.id < last:
			s.violation("back", e)
		case e.id != last+1 || e.number != e.id:
			s.violation("gap", e)
		case s.version != "" && e.version != s.version && i == 0:
			s.violation("two versions over the tries", e)
		case s.version != "" && e.version != s.version:
			s.violation("two versions in one answer", e)
		case c.path == "/draft/a" && e.run != a.events[0].run:
			s.violation("two runs of a draft", e)
		}
		last, s.version = e.id, cmp.Or(s.version, e.version)
	}
	if a.complete && (last < c.events || a.rest != "") {
		by, caller := "nothing", ""
		if len(a.events) > 0 {
			by = a.events[len(a.events)-1].framed
		}
		if c.old {
			caller = ", HTTP/1.0"
		}
		if c.halfCloses > 0 && a.to.Sub(a.from) >= c.halfCloses {
			caller += ", half closed"
		}
		s.violation(fmt.Sprintf("early end: %s%s, the server's %s", a.framed, caller, by), fmt.Sprintf("after %d of %d events, rest of %d bytes", last, c.events, len(a.rest)))
	}
	if a.complete && !a.sealed {
		s.violation("complete without a seal", c.id)
	}
}

// runsOf names the runs of events, with the ids of the first and the last event of each.
func runsOf(events []orderEvent) string {
	var b strings.Builder
	for i, e := range events {
		if i == 0 || e.run != events[i-1].run {
			fmt.Fprintf(&b, " %s at %s in %s %d..", e.run, e.version, e.framed, e.id)
		}
		if i == len(events)-1 || events[i+1].run != e.run {
			fmt.Fprint(&b, e.id)
		}
	}
	return b.String()
}

// violation counts the first violation of a stream, and shows it with the log lines of its requests.
func (s *orderStream) violation(kind string, what any) {
	if s.violated {
		return
	}
	s.violated = true
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	s.run.violations = append(s.run.violations, orderViolation{kind: kind, text: fmt.Sprintf("%+v\n%s", what, strings.Join(s.tries, "\n")), ids: s.ids})
}

// linesOf returns the log lines of requests, by time.
func (run *orderRun) linesOf(ids []string) []string {
	files, _ := filepath.Glob(filepath.Join(run.dir, "*.log"))
	lines := make(map[string]string)
	stamp := regexp.MustCompile(`"timestamp":"([^"]+)"`)
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			run.t.Error(err)
		}
		for line := range bytes.Lines(text) {
			for _, id := range ids {
				if bytes.Contains(line, []byte(`"`+id+`"`)) {
					at := stamp.FindSubmatch(line)
					lines[string(slices.Concat(slices.Concat(at...), line))] = "  " + strings.TrimSuffix(filepath.Base(f), ".log") + " " + strings.TrimSpace(string(line))
				}
			}
		}
	}
	var sorted []string
	for _, key := range slices.Sorted(maps.Keys(lines)) {
		sorted = append(sorted, lines[key])
	}
	return sorted
}
