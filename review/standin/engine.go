package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Model is a model of an engine's service.
type Model struct {
	Name     string
	MB       float64
	Adapters int
}

// EngineSpec is the engine of a service, as the configuration describes it.
type EngineSpec struct {
	Models                []Model
	WeightsMB, AdapterMB  float64
	AdapterSlots, Slots   int
	KVTokens              int
	LoadS, DiskS, WarmS   float64
	LoadsPerS             float64
	Events                int
	FirstEvent, NextEvent time.Duration
}

// Config returns the description of the engine in the configuration, without some of its
// models.
func (e *EngineSpec) Config(without ...string) map[string]any {
	models := []any{}
	for _, m := range e.Models {
		if !slices.Contains(without, m.Name) {
			models = append(models, map[string]any{
				"name": m.Name, "weights_mb": m.MB, "load_s": e.LoadS, "disk_s": e.DiskS, "warm_s": e.WarmS,
				"adapters": m.Adapters, "adapter_mb": e.AdapterMB,
			})
		}
	}
	return map[string]any{
		"slots": e.Slots, "kv_tokens": e.KVTokens, "models": models, "weights_mb": e.WeightsMB,
		"adapter_slots": e.AdapterSlots, "loads_per_s": e.LoadsPerS,
	}
}

func (e *EngineSpec) size(model string) float64 {
	for _, m := range e.Models {
		if m.Name == model {
			return m.MB
		}
	}
	return 0
}

// Order is an order that an engine received.
type Order struct {
	Op           string  `json:"op"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter,omitempty"`
	Precondition *uint64 `json:"precondition"`
	Holder       string  `json:"holder"`
	Fence        uint64  `json:"fence"`

	expected string
}

func (o Order) String() string {
	name := o.Model
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	pre := "none"
	if o.Precondition != nil {
		pre = strconv.FormatUint(*o.Precondition, 10)
	}
	return fmt.Sprintf("%s %s, precondition %s, holder %s, fence %d, X-Expect-Instance %q", o.Op, name, pre, o.Holder, o.Fence, o.expected)
}

// Engine is a model replica.
type Engine struct {
	ID, Service, IP, Address string
	Spec                     *EngineSpec
	// LateBy, if it returns a time, makes an order get no answer and be carried out that much
	// later.
	LateBy func(Order) time.Duration
	// Overloaded is called when the engine is ordered to load more than it holds, before it
	// crashes.
	Overloaded func(e *Engine, o Order, late bool, neededMB float64)
	// Down is how long a crash lasts.
	Down time.Duration
	// Version is the version of the software with which the replica starts; empty means v1.
	Version string
	// FirstBeat is the time from a start after a crash to the first write of its entry.
	FirstBeat time.Duration

	c    *Case
	stop chan struct{}

	mu   sync.Mutex
	http *http.Server
	up   bool
	life int
	born int64
	// registerAt is when the entry is written for the first time after a start.
	registerAt time.Time
	beats      int
	seq        uint64
	loaded     map[string][]string
	disk       map[string]bool
	busy       bool
	unloading  string
	running    map[string]int
	begun      int
	broken     int
}

// StartEngine starts a replica that holds models, on an IP address of its own.
func (c *Case) StartEngine(e *Engine, holds, onDisk []string) error {
	e.c, e.IP, e.stop = c, c.IP(), make(chan struct{})
	port, err := FreePort(e.IP)
	if err != nil {
		return err
	}
	e.Address = fmt.Sprintf("%s:%d", e.IP, port)
	e.disk = make(map[string]bool)
	for _, m := range onDisk {
		e.disk[m] = true
	}
	if err := e.listen(holds); err != nil {
		return err
	}
	go e.beat()
	c.AtEnd(e.End)
	return nil
}

func (e *Engine) listen(holds []string) error {
	ln, err := net.Listen("tcp4", e.Address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.life++
	e.born, e.seq, e.busy, e.unloading = time.Now().UnixMilli(), 0, false, ""
	e.loaded, e.running = make(map[string][]string), make(map[string]int)
	for _, m := range holds {
		e.loaded[m], e.disk[m] = []string{}, true
	}
	e.registerAt = time.Now().Add(e.firstBeat())
	e.http, e.up = &http.Server{Handler: http.HandlerFunc(e.serve)}, true
	server := e.http
	e.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	e.c.Record("%s starts with software %s, holds %v", e.ID, e.software(), holds)
	time.AfterFunc(e.firstBeat(), e.register)
	return nil
}

// firstBeat returns the time to the first write of the entry: at once at the first start.
func (e *Engine) firstBeat() time.Duration {
	if e.life <= 1 {
		return 0
	}
	return e.FirstBeat
}

func (e *Engine) software() string { return cmp.Or(e.Version, "v1") }

// SetVersion sets the software version of later starts.
func (e *Engine) SetVersion(v string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Version = v
}

// Crash ends the replica at once. It starts again after Down, under its id, and holds nothing.
func (e *Engine) Crash(why string) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	server := e.http
	for _, n := range e.running {
		e.broken += n
	}
	e.mu.Unlock()
	_ = server.Close()
	e.c.Record("%s crashes: %s", e.ID, why)
	time.AfterFunc(e.Down, func() {
		select {
		case <-e.stop:
			return
		default:
		}
		if err := e.listen(nil); err != nil {
			e.c.Record("%s not started again: %v", e.ID, err)
		}
	})
}

// End ends the replica for good.
func (e *Engine) End() {
	close(e.stop)
	e.mu.Lock()
	e.up = false
	server := e.http
	e.mu.Unlock()
	_ = server.Close()
}

func (e *Engine) beat() {
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(beatInterval):
			e.register()
		}
	}
}

func (e *Engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || time.Now().Before(e.registerAt) {
		return
	}
	e.beats++
	e.c.Store.Put("servers", e.ID, map[string]any{
		"service": e.Service, "address": e.Address, "zone": Zone, "version": e.software(), "slots": e.Spec.Slots, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "models": e.models(), "seq": e.beats, "born": e.born,
	})
}

// models returns what the replica holds. The caller holds mu.
func (e *Engine) models() []any {
	out := []any{}
	for _, name := range slices.Sorted(maps.Keys(e.loaded)) {
		out = append(out, map[string]any{"name": name, "version": 1, "adapters": e.loaded[name]})
	}
	return out
}

// Holds returns the names of the models that the replica holds, and the number of orders that
// it has accepted.
func (e *Engine) Holds() ([]string, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.loaded)), e.seq
}

// Broken returns the number of requests that were at work when the replica crashed.
func (e *Engine) Broken() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", e.ID)
		w.WriteHeader(http.StatusOK)
	case "/laureltally/report":
		e.mu.Lock()
		running := 0
		for _, n := range e.running {
			running += n
		}
		report := map[string]any{
			"stage": "both", "models": e.models(), "busy": e.busy, "seq": e.seq, "waiting": 0, "running": running,
			"kv_used": 0, "kv_total": e.Spec.KVTokens, "handles": 0, "coming": []string{}, "born": e.born,
			"at_hand": map[string]any{"in_memory": []string{}, "on_disk": slices.Sorted(maps.Keys(e.disk))},
		}
		e.mu.Unlock()
		Reply(w, http.StatusOK, report)
	case "/laureltally/order":
		e.order(w, r)
	default:
		e.request(w, r)
	}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.expected = r.Header.Get("X-Expect-Instance")
	if e.LateBy != nil {
		if d := e.LateBy(o); d > 0 {
			e.c.Record("%s gives no answer to the order %v; it is carried out %v later", e.ID, o, d)
			time.AfterFunc(d, func() {
				select {
				case <-e.stop:
				default:
					status := e.accept(o, true)
					e.c.Record("%s carries out late: %v -> %d", e.ID, o, status)
				}
			})
			<-r.Context().Done()
			return
		}
	}
	status := e.accept(o, false)
	e.c.Record("%s gets the order %v -> %d", e.ID, o, status)
	w.WriteHeader(status)
}

// accept begins an order and returns the status of the answer.
func (e *Engine) accept(o Order, late bool) int {
	e.mu.Lock()
	adapters, loaded := e.loaded[o.Model]
	held := o.Adapter == "" && loaded || o.Adapter != "" && slices.Contains(adapters, o.Adapter)
	load := o.Op == "model_load"
	switch {
	case !e.up:
		e.mu.Unlock()
		return 0
	case o.expected != "" && o.expected != e.ID:
		e.mu.Unlock()
		return http.StatusMisdirectedRequest
	case o.Precondition != nil && *o.Precondition != e.seq, e.busy && o.Adapter == "":
		e.mu.Unlock()
		return http.StatusConflict
	case load == held:
		e.mu.Unlock()
		return http.StatusOK
	case o.Adapter != "" && !loaded:
		e.mu.Unlock()
		return http.StatusConflict
	}
	e.seq++
	if o.Adapter != "" {
		if load {
			e.loaded[o.Model] = append(slices.Clone(adapters), o.Adapter)
		} else {
			e.loaded[o.Model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == o.Adapter })
		}
		e.mu.Unlock()
		return http.StatusAccepted
	}
	e.busy = true
	life := e.life
	if !load {
		e.unloading = o.Model
		e.mu.Unlock()
		go e.unload(o.Model, life)
		return http.StatusAccepted
	}
	needed := e.Spec.size(o.Model)
	for name, as := range e.loaded {
		needed += e.Spec.size(name) + float64(len(as))*e.Spec.AdapterMB
	}
	took := e.Spec.LoadS
	if e.disk[o.Model] {
		took = e.Spec.DiskS
	}
	e.mu.Unlock()
	if needed > e.Spec.WeightsMB {
		if e.Overloaded != nil {
			e.Overloaded(e, o, late, needed)
		}
		e.Crash("ordered to load more than it holds")
		return http.StatusAccepted
	}
	time.AfterFunc(time.Duration(took*float64(time.Second)), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life == life && e.up {
			e.loaded[o.Model], e.disk[o.Model], e.busy = []string{}, true, false
		}
	})
	return http.StatusAccepted
}

// unload waits for the runs of a model and drops it.
func (e *Engine) unload(model string, life int) {
	for {
		e.mu.Lock()
		if e.life != life || !e.up {
			e.mu.Unlock()
			return
		}
		if e.running[model] == 0 {
			delete(e.loaded, model)
			e.busy, e.unloading = false, ""
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (e *Engine) request(w http.ResponseWriter, r *http.Request) {
	id, h := r.Header.Get("X-Request-Id"), w.Header()
	h.Set("X-Request-Id", id)
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	adapters, loaded := e.loaded[model]
	total := 0
	for _, n := range e.running {
		total += n
	}
	want := r.Header.Get("X-Expect-Instance")
	switch {
	case want != "" && want != e.ID, !loaded, adapter != "" && !slices.Contains(adapters, adapter):
		e.mu.Unlock()
		h.Set("X-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case e.unloading == model, total >= e.Spec.Slots, tokens(r) > e.Spec.KVTokens:
		e.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.begun++
	life, running := e.life, e.running
	running[model]++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.life == life {
			running[model]--
		}
		e.mu.Unlock()
	}()
	e.stream(w, r, id)
}

// tokens returns the tokens that a request takes at most.
func tokens(r *http.Request) int {
	in, out, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	a, _ := strconv.Atoi(in)
	b, _ := strconv.Atoi(out)
	return a + b
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("X-Server-Seal", "seal."+e.ID+"."+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rc := http.NewResponseController(w)
	e.mu.Lock()
	version := e.software()
	e.mu.Unlock()
	pause := e.Spec.FirstEvent
	for i := after + 1; i <= e.Spec.Events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		pause = e.Spec.NextEvent
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d of %s written by %s\n\n", i, i, id, version); err != nil || rc.Flush() != nil {
			return
		}
	}
}
