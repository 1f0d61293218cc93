package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// beatInterval is the interval at which servers write their entry.
const beatInterval = 1200 * time.Millisecond

// server is a stand-in of one server, a process of its own: an engine, or a server of a plain
// service if it has no memory for models. It keeps to PROTOCOL.md.
type server struct {
	id, service, address, zone, version, store string
	slots                                      int
	born                                       int64
	gap                                        time.Duration
	// unframed answers have neither a length nor chunks.
	unframed bool
	// rate is how many bytes of a long answer are written in a second.
	rate int
	// pad is how many bytes are added to each event.
	pad int
	// leavesMS is the time that the server has left once it is told to leave.
	leavesMS int64
	// memoryMB is the memory of an engine and modelMB the size of each model.
	memoryMB, modelMB float64
	load              time.Duration
	// disk is the file with the models whose weights are on the disk of the VM.
	disk string
	// late is where orders are sent that are to be carried out late, and lateModel the model
	// whose loads get no answer.
	late, lateModel string

	mu       sync.Mutex
	seq      uint64
	beats    uint64
	draining bool
	leaveAt  time.Time
	busy     bool
	loaded   map[string]bool
	runs     int
}

// event writes a line about what the server has done, for the record.
func (s *server) event(format string, args ...any) {
	fmt.Printf("%s server %s %s %s\n", time.Now().UTC().Format("15:04:05.000"), s.id, s.version, fmt.Sprintf(format, args...))
}

func runServer(args []string) {
	s := &server{born: time.Now().UnixMilli(), loaded: make(map[string]bool)}
	f := flag.NewFlagSet("server", flag.ExitOnError)
	f.StringVar(&s.id, "id", "", "")
	f.StringVar(&s.service, "service", "", "")
	f.StringVar(&s.address, "address", "", "")
	f.StringVar(&s.zone, "zone", "", "")
	f.StringVar(&s.version, "version", "v1", "")
	f.StringVar(&s.store, "store", "", "")
	f.IntVar(&s.slots, "slots", 64, "")
	f.DurationVar(&s.gap, "gap", 100*time.Millisecond, "time between two events")
	f.BoolVar(&s.unframed, "unframed", false, "")
	f.IntVar(&s.pad, "pad", 0, "bytes added to each event")
	f.IntVar(&s.rate, "rate", 400<<10, "bytes of a long answer in a second")
	f.Int64Var(&s.leavesMS, "leaves-ms", 2000, "")
	f.Float64Var(&s.memoryMB, "memory", 0, "")
	f.Float64Var(&s.modelMB, "model-mb", 72700, "")
	f.DurationVar(&s.load, "load", time.Second, "time of a load from the disk")
	f.StringVar(&s.disk, "disk", "", "")
	f.StringVar(&s.late, "late", "", "")
	f.StringVar(&s.lateModel, "late-model", "", "")
	models := f.String("models", "", "models that are placed at the start")
	_ = f.Parse(args)
	for _, m := range strings.Split(*models, ",") {
		if m != "" {
			s.loaded[m] = true
		}
	}
	ln, err := net.Listen("tcp4", s.address)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	// The entry is written before the first request is accepted.
	s.beat()
	s.event("starts, born %d, holds %v", s.born, s.models())
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go func() {
		<-leave
		s.mu.Lock()
		s.draining, s.leaveAt = true, time.Now().Add(time.Duration(s.leavesMS)*time.Millisecond)
		s.mu.Unlock()
		s.event("is told to leave within %d ms", s.leavesMS)
		s.beat()
	}()
	go func() {
		for range time.Tick(beatInterval) {
			s.beat()
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /laureltally/report", s.report)
	mux.HandleFunc("POST /laureltally/order", s.order)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("/", s.request)
	_ = http.Serve(ln, mux)
}

func (s *server) models() []map[string]any {
	list := []map[string]any{}
	for _, m := range slices.Sorted(maps.Keys(s.loaded)) {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

func (s *server) state() string {
	if s.draining {
		return "draining"
	}
	return "ready"
}

// beat writes the entry of the server.
func (s *server) beat() {
	s.mu.Lock()
	s.beats++
	spec := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots,
		"state": s.state(), "cold_left_ms": 0, "seq": s.beats, "born": s.born, "stage": "both", "models": s.models(),
	}
	if s.draining {
		spec["leaves_ms"] = max(0, time.Until(s.leaveAt).Milliseconds())
	}
	s.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"metadata": map[string]any{"name": s.id, "finalizers": []string{}}, "spec": spec})
	put, _ := http.NewRequest(http.MethodPut, "http://"+s.store+objectsPath+"servers/"+s.id, bytes.NewReader(body))
	resp, err := http.DefaultClient.Do(put)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		if resp, err := http.Post("http://"+s.store+objectsPath+"servers", "application/json", bytes.NewReader(body)); err == nil {
			_ = resp.Body.Close()
		}
	}
}

func (s *server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := map[string]any{
		"stage": "both", "models": s.models(), "busy": s.busy, "seq": s.seq, "waiting": 0, "running": s.runs,
		"kv_used": 0, "kv_total": 124398, "handles": 0, "coming": []string{}, "state": s.state(), "born": s.born,
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": s.onDisk()},
	}
	if s.draining {
		w.Header().Set("Server-Leaving", "1")
		body["leaves_ms"] = max(0, time.Until(s.leaveAt).Milliseconds())
	}
	reply(w, http.StatusOK, body)
}

func (s *server) onDisk() []string {
	text, _ := os.ReadFile(s.disk)
	return append([]string{}, strings.Fields(string(text))...)
}

type order struct {
	Op           string  `json:"op"`
	Model        string  `json:"model"`
	Precondition *uint64 `json:"precondition"`
	Holder       string  `json:"holder"`
	Fence        *uint64 `json:"fence"`
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	var o order
	if err := json.Unmarshal(text, &o); err != nil || o.Holder == "" || o.Fence == nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		reply(w, http.StatusMisdirectedRequest, nil)
		return
	}
	arrived := r.Header.Get("X-Late") != ""
	if !arrived && o.Op == "model_load" && o.Model == s.lateModel && s.late != "" {
		s.event("leaves the order %s unanswered", text)
		if resp, err := http.Post(s.late+"?expect="+r.Header.Get("X-Expect-Instance"), "application/json", bytes.NewReader(text)); err == nil {
			_ = resp.Body.Close()
		}
		<-r.Context().Done()
		return
	}
	status := s.accept(&o)
	s.event("order %s late=%v: %d", text, arrived, status)
	reply(w, status, nil)
}

// accept decides on an order and begins to carry it out. It ends the process if a load exceeds
// the memory.
func (s *server) accept(o *order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Precondition != nil && *o.Precondition != s.seq, s.busy:
		return http.StatusConflict
	case o.Op == "model_load" && s.loaded[o.Model], o.Op == "model_unload" && !s.loaded[o.Model]:
		return http.StatusOK
	case o.Op == "model_unload":
		s.seq++
		delete(s.loaded, o.Model)
		return http.StatusAccepted
	case o.Op != "model_load":
		return http.StatusBadRequest
	}
	if used := float64(len(s.loaded)+1) * s.modelMB; used > s.memoryMB {
		s.event("OVERLOADED: the order to load %s needs %.0f of %.0f MB, %d requests running; crashes", o.Model, used, s.memoryMB, s.runs)
		os.Exit(1)
	}
	s.seq++
	s.busy = true
	took := s.load
	if !slices.Contains(s.onDisk(), o.Model) {
		took = 6 * time.Second
	}
	time.AfterFunc(took, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.loaded[o.Model], s.busy = true, false
		if on := s.onDisk(); s.disk != "" && !slices.Contains(on, o.Model) {
			_ = os.WriteFile(s.disk, []byte(strings.Join(append(on, o.Model), "\n")), 0o644)
		}
		s.event("has loaded %s", o.Model)
	})
	return http.StatusAccepted
}

func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	w.WriteHeader(http.StatusOK)
}

func (s *server) header(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Instance-Id", s.id)
	s.mu.Lock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.runs, s.slots))
	if s.draining {
		w.Header().Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
}

// request runs a request. A stream has as many events as X-Token-Counts allows output tokens.
func (s *server) request(w http.ResponseWriter, r *http.Request) {
	s.header(w, r)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if s.memoryMB > 0 {
		s.mu.Lock()
		held := s.loaded[r.Header.Get("X-Model")]
		s.mu.Unlock()
		if !held {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	_, most, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	total, _ := strconv.Atoi(most)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	s.runs++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.runs--
		s.mu.Unlock()
	}()
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Server-Seal", "seal."+s.id+"."+id)
	s.event("runs %s from event %d", id, last+1)
	if size, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		s.long(w, id, size)
		return
	}
	if total == 0 {
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(w, "done "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out, flush, done := s.body(w)
	defer done()
	for n := last + 1; n <= total; n++ {
		time.Sleep(s.gap)
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s%s of %d by %s %s\n\n", n, strings.Repeat("x", s.pad), id, total, s.id, s.version); err != nil || flush() != nil || r.Context().Err() != nil {
			s.event("run %s ends at event %d: its channel has closed", id, n)
			return
		}
	}
	s.event("run %s is complete", id)
}

// body begins an answer with status 200 and returns where its body is written.
func (s *server) body(w http.ResponseWriter) (out io.Writer, flush func() error, done func()) {
	if !s.unframed {
		return w, http.NewResponseController(w).Flush, func() {}
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = w.Header().Write(&head)
	head.WriteString("\r\n")
	_, _ = conn.Write(head.Bytes())
	return conn, func() error { return nil }, func() { conn.Close() }
}

// lineBytes is the length of each numbered line of a long answer.
const lineBytes = 16

// long writes an answer of a size, a multiple of lineBytes, at the server's rate. It states its length
// unless answers are unframed. Its lines are numbered.
func (s *server) long(w http.ResponseWriter, id string, size int) {
	const step = 20 * time.Millisecond
	w.Header().Set("Content-Type", "text/plain")
	if !s.unframed {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	out, flush, done := s.body(w)
	defer done()
	lines := s.rate / int(time.Second/step) / lineBytes
	for sent := 0; sent < size; {
		var b bytes.Buffer
		for range min(lines, (size-sent)/lineBytes) {
			fmt.Fprintf(&b, "%0*d\n", lineBytes-1, sent/lineBytes)
			sent += lineBytes
		}
		if _, err := out.Write(b.Bytes()); err != nil || flush() != nil {
			s.event("run %s ends after %d bytes: its channel has closed", id, sent)
			return
		}
		time.Sleep(step)
	}
	s.event("run %s is complete, %d bytes", id, size)
}
