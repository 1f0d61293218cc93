package soak

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

const (
	// engineSettingsVariable names the settings of an engine process. It makes the test binary
	// an engine.
	engineSettingsVariable = "SOAK_ENGINE"
	// registrationPath returns an engine's entry for the store.
	registrationPath = "/registration"
	// engineBeat is how often an engine's entry is written, and silentBeats the number of silent
	// beats after which the entry is removed.
	engineBeat  = 300 * time.Millisecond
	silentBeats = 3
)

// Headers by which a caller shapes its stream; routers forward them.
const (
	headerEvents   = "X-Events"
	headerInterval = "X-Interval-Ms"
	headerPadding  = "X-Padding"
)

// engineSettings are those of one start of an engine process.
type engineSettings struct {
	ID, Address, Software, Service string
	// Start counts the starts. Loaded lists the models that are loaded at the first one.
	Start  int
	Loaded []string
	// LoadTime is how long a load takes.
	LoadTime time.Duration
	// Plain means that it has no models.
	Plain bool
}

// engineProcess is an engine that is a process, so that its end closes its connections as the
// kernel does.
type engineProcess struct {
	*process
	in *installation

	mu     sync.Mutex
	engine engineSettings
	// entryHeld is the time until which the entry in the store stays as it is.
	entryHeld time.Time
}

func (in *installation) startEngineProcess(i int, loaded []string) *engineProcess {
	s := engineSettings{ID: fmt.Sprintf("i-%d-0", i), Address: fmt.Sprintf("%s:%d", ipOf(in.worker, 20+i), enginePort), Software: softwareVersions[i/2%2], Service: "models", Loaded: loaded, LoadTime: 50 * time.Millisecond, Plain: loaded == nil}
	if s.Plain {
		s.Service = plainService
	}
	e := &engineProcess{process: newProcess(in.t, in.dir, fmt.Sprintf("engine-%d", i), "", ""), in: in, engine: s}
	self, err := os.Executable()
	if err != nil {
		in.t.Fatal(err)
	}
	e.program, e.env = self, []string{engineSettingsVariable + "=" + e.process.settings}
	e.write()
	e.start()
	go e.beat()
	return e
}

func (e *engineProcess) write() {
	text, err := json.Marshal(e.engine)
	if err == nil {
		err = os.WriteFile(e.process.settings, text, 0o600)
	}
	if err != nil {
		e.t.Error(err)
	}
}

// replace kills the engine and starts it again after a time. The entry in the store stays as it
// is for entryLate after the kill.
func (e *engineProcess) replace(id, software string, downtime, entryLate time.Duration) {
	e.mu.Lock()
	old := e.engine.ID
	e.entryHeld = time.Now().Add(entryLate)
	e.engine.ID, e.engine.Software, e.engine.Start = id, software, e.engine.Start+1
	e.write()
	e.mu.Unlock()
	e.kill(downtime)
	if id != old {
		time.Sleep(entryLate / 2)
		e.in.store.RemoveServer(old)
	}
}

// setLoadTime sets how long loads take from the next start on.
func (e *engineProcess) setLoadTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engine.LoadTime = d
}

func (e *engineProcess) current() engineSettings {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.engine
}

// otherSoftware returns the software version that the engine does not have.
func (e *engineProcess) otherSoftware() string {
	if e.current().Software == softwareVersions[0] {
		return softwareVersions[1]
	}
	return softwareVersions[0]
}

// beat writes the engine's entry until the installation is closed.
func (e *engineProcess) beat() {
	client := &http.Client{Timeout: engineBeat, Transport: &http.Transport{DisableKeepAlives: true}}
	last, silent := "", 0
	for {
		e.mu.Lock()
		s, held := e.engine, time.Now().Before(e.entryHeld)
		e.mu.Unlock()
		if !held {
			text, ok := e.get(client, registrationPath)
			switch silent++; {
			case ok && s.Start == e.current().Start:
				if silent = 0; text != last {
					e.in.store.SetServer(s.ID, text)
				}
				last = text
			case silent == silentBeats:
				e.in.store.RemoveServer(s.ID)
				last = ""
			}
		}
		select {
		case <-e.in.stop:
			return
		case <-time.After(engineBeat):
		}
	}
}

func (e *engineProcess) get(client *http.Client, path string) (string, bool) {
	resp, err := client.Get("http://" + e.current().Address + path)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err == nil && resp.StatusCode == http.StatusOK
}

// engineServer is what an engine process serves. Orders and reports are those of a fake engine.
type engineServer struct {
	settings engineSettings
	fake     *platformtest.Upstream
	proxy    http.Handler
}

// runEngine runs an engine process until it is killed.
func runEngine(file string) int {
	var s engineSettings
	text, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	if err != nil {
		fmt.Println(err)
		return 1
	}
	o := platformtest.UpstreamOptions{ID: s.ID, Zone: zone, Slots: orderSlots, Service: s.Service, Software: s.Software, Advertised: s.Address}
	if !s.Plain {
		o.Engine = &platformtest.EngineOptions{Loaded: s.Loaded, MemoryMB: 100, ModelMB: 45, AdapterSlots: 2, RemoteLoad: s.LoadTime, DiskLoad: s.LoadTime}
	}
	e := &engineServer{settings: s}
	if e.fake, err = platformtest.NewUpstream(o); err != nil {
		fmt.Println(err)
		return 1
	}
	for range s.Start {
		e.fake.Restart(s.ID)
	}
	e.proxy = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: e.fake.Address()})
	server := &http.Server{Addr: s.Address, Handler: e}
	time.AfterFunc(20*time.Millisecond, func() { logLine(map[string]any{"message": "started", "start": s.Start, "software": s.Software}) })
	fmt.Println(server.ListenAndServe())
	return 1
}

func logLine(fields map[string]any) {
	fields["timestamp"] = time.Now().UTC().Format("2006-01-02T15:04:05.000000Z")
	text, _ := json.Marshal(fields)
	_, _ = os.Stdout.Write(append(text, '\n'))
}

func (e *engineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == registrationPath:
		_, _ = io.WriteString(w, e.fake.Registration("ready"))
		return
	case strings.HasPrefix(r.URL.Path, "/laureltally/"):
		e.proxy.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get(platformtest.HeaderRequestID)
	w.Header().Set(platformtest.HeaderRequestID, id)
	want := r.Header.Get(platformtest.HeaderExpectedVM)
	if want != "" && want != e.settings.ID || !e.settings.Plain && !slices.Contains(e.fake.LoadedModels(), r.Header.Get("X-Model")) {
		w.Header().Set("X-Instance-Id", e.settings.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err == nil {
		e.stream(w, r, id)
	}
}

// framings are the ways in which an engine marks the end of a stream.
var framings = [4]string{"chunks", "chunks", "length", "connection"}

// stream writes the events after the request's Last-Event-Id. Each says of which run, version
// and framing it is.
func (e *engineServer) stream(w http.ResponseWriter, r *http.Request, id string) {
	number := func(name string) int { n, _ := strconv.Atoi(r.Header.Get(name)); return n }
	after, last, interval := number("Last-Event-Id"), number(headerEvents), time.Duration(number(headerInterval))*time.Millisecond
	run := fmt.Sprintf("%s.%d", e.settings.ID, e.settings.Start)
	h := fnv.New32a()
	_, _ = io.WriteString(h, id+run)
	framing := framings[h.Sum32()>>8%uint32(len(framings))]
	var events []string
	total := 0
	for i := after + 1; i <= last; i++ {
		t := fmt.Sprintf("id: %d\ndata: %d of %s run %s at %s in %s %s\n\n", i, i, id, run, e.settings.Software, framing, strings.Repeat("x", number(headerPadding)))
		events, total = append(events, t), total+len(t)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Seal", "seal."+run)
	switch framing {
	case "length":
		w.Header().Set("Content-Length", strconv.Itoa(total))
	case "connection":
		w.Header().Set("Transfer-Encoding", "identity")
	}
	line := map[string]any{"message": "stream", "request": id, "run": run, "software": e.settings.Software, "framing": framing, "after": after}
	logLine(line)
	rc := http.NewResponseController(w)
	for i, t := range events {
		_, err := io.WriteString(w, t)
		if err == nil {
			err = rc.Flush()
		}
		if err != nil {
			line["message"], line["error"], line["wrote"] = "stream not written", err.Error(), after+i
			logLine(line)
			return
		}
		time.Sleep(interval)
	}
	line["message"], line["wrote"] = "stream written", last
	logLine(line)
}

// awaitServed waits until a stream that begins at a router is served at a software version.
func (in *installation) awaitServed(router int, version string) {
	for n, end := 0, time.Now().Add(awaitTimeout); time.Now().Before(end); n++ {
		c := &orderCall{id: fmt.Sprintf("served-%s-%d", version, n), path: "/outlook/a", model: modelNames[0], events: 1}
		if a := c.do(in.routerAddress(router)); a.status == http.StatusOK && len(a.events) > 0 && a.events[0].version == version {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	in.t.Fatalf("router %d serves no stream at %s", router, version)
}

// Rule ORDER: a router that is killed within a response to a caller of HTTP/1.0 resets it; its
// end would look complete.
func TestKilledRouterResetsAnswerOfHTTP10(t *testing.T) {
	in := newInstallation(t, orderWorker(t)+1, size{routers: 1, engines: 1, ownStores: true, engineProcesses: true})
	defer in.close()
	in.awaitServed(0, softwareVersions[0])
	var all sync.WaitGroup
	time.AfterFunc(500*time.Millisecond, func() { in.routers[0].signal(syscall.SIGKILL) })
	for n := range 2 * len(framings) {
		all.Go(func() {
			c := &orderCall{id: fmt.Sprint("ten-", n), path: "/draft/a", model: modelNames[0], events: 200, interval: 20 * time.Millisecond, old: true}
			a := c.do(in.routerAddress(0))
			if a.status != http.StatusOK || len(a.events) == 0 || a.complete || !isReset(a.err) {
				t.Errorf("%d, %s, complete: %t, %v; want a reset within the stream", a.status, runsOf(a.events), a.complete, a.err)
			}
		})
	}
	all.Wait()
}
