// Command lateorder checks that an order which got no answer does not overload a replica that
// crashed meanwhile and started again under its id. The replica is one of four.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/standin"
)

const (
	// late is how long after its arrival the unanswered order is carried out.
	late = 9 * time.Second
	// crashAfter is the time from that order to the crash of the replica, and down how long it
	// is away.
	crashAfter = 500 * time.Millisecond
	down       = 2 * time.Second
	deadline   = 10 * time.Second
	interval   = 200 * time.Millisecond
)

var spec = &standin.EngineSpec{
	Models: []standin.Model{
		{Name: "m0", MB: 34, Adapters: 4}, {Name: "m1", MB: 34}, {Name: "m2", MB: 34}, {Name: "m3", MB: 34}, {Name: "m4", MB: 34},
		{Name: "m5", MB: 34}, {Name: "m6", MB: 34}, {Name: "m7", MB: 34}, {Name: "m8", MB: 34}, {Name: "m9", MB: 34},
	},
	WeightsMB: 83, AdapterMB: 1, AdapterSlots: 8, Slots: 32, KVTokens: 100000, LoadS: 6, DiskS: 0.7, WarmS: 0.5, LoadsPerS: 4.8,
	Events: 10, FirstEvent: 40 * time.Millisecond, NextEvent: 20 * time.Millisecond,
}

// others are the models at the other engines.
var others = [][]string{{"m4", "m5"}, {"m6", "m7"}, {"m8", "m9"}}

type run struct {
	c      *standin.Case
	front  *standin.Front
	engine *standin.Engine
	// armed is set while the next load of a model gets no answer.
	armed    atomic.Bool
	mu       sync.Mutex
	open     sync.WaitGroup
	overload int
	stale    int
	broken   int
	statuses map[int]int
}

func main() { os.Exit(exitCode()) }

func exitCode() int {
	c, err := standin.NewCase(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.CouldNot
	}
	defer c.End()
	r := &run{c: c, statuses: make(map[int]int)}
	if err := r.start(); err != nil {
		c.Say("not run: %v", err)
		return standin.CouldNot
	}
	r.play()
	r.open.Wait()
	return r.judge()
}

func (r *run) start() error {
	r.c.Store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "draft", "host": "review.example", "path_prefix": "/draft/", "route_kind": "streaming", "timeout_ms": 10000, "aim_ms": 2500, "gap_aim_ms": 300,
			"priority": 1, "service": "models", "max_attempts": 2, "sticky": true, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "models", "health_path": "/health", "max_conns": 610, "protocol": "h1", "tls": false, "engine": spec.Config()}},
		"limits":   map[string]any{"header_bytes": 8192, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	port, err := standin.FreePort("127.0.0.1")
	if err != nil {
		return err
	}
	r.engine = &standin.Engine{ID: "i-1", Service: "models", Spec: spec, Down: down}
	r.engine.LateBy = func(o standin.Order) time.Duration {
		if o.Op != "model_load" || o.Adapter != "" || o.Model != "m3" || !r.armed.CompareAndSwap(true, false) {
			return 0
		}
		time.AfterFunc(crashAfter, func() { r.engine.Crash("a fault of the server") })
		return late
	}
	r.engine.Overloaded = func(e *standin.Engine, o standin.Order, late bool, needed float64) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.overload++
		if late {
			r.stale++
		}
		r.c.Record("LIMIT: %s is ordered to load %.0f MB, it holds %.0f MB: %v", e.ID, needed, spec.WeightsMB, o)
	}
	if err := r.c.StartEngine(r.engine, []string{"m0", "m1"}, []string{"m0", "m1", "m2", "m3"}); err != nil {
		return err
	}
	if _, err := r.c.StartSide("side-1", "models", r.engine.IP, r.engine.Address, port); err != nil {
		return err
	}
	if r.front, err = r.c.StartFront("front-1", port); err != nil {
		return err
	}
	if err := r.front.AwaitReady(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	for i, holds := range others {
		e := &standin.Engine{ID: fmt.Sprintf("i-%d", i+2), Service: "models", Spec: spec, Down: down, Overloaded: r.engine.Overloaded}
		if err := r.c.StartEngine(e, holds, holds); err != nil {
			return err
		}
		if _, err := r.c.StartSide(fmt.Sprintf("side-%d", i+2), "models", e.IP, e.Address, port); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// ask asks for a model once, without waiting for the answer.
func (r *run) ask(client *http.Client, model string) {
	call := standin.Call{ID: standin.NewID("c"), Method: http.MethodPost, Host: "review.example", Path: "/draft/a", Model: model, Body: "write", Deadline: deadline}
	r.open.Go(func() {
		a := call.Do(client, r.front.Name, r.front.Address)
		status := a.Status
		if !a.Complete {
			status = 0
		}
		r.mu.Lock()
		r.statuses[status]++
		r.mu.Unlock()
		r.c.Record("%s %s: %d after %.3f s", model, a.ID, status, a.Done.Sub(a.Sent).Seconds())
	})
}

// play lets demand move to m2 and m3, whose load gets no answer, and after the crash back to
// m0, with an adapter, and m1.
func (r *run) play() {
	client := standin.NewClient()
	var asked sync.WaitGroup
	asked.Go(func() { r.askUntil(client, 18*time.Second, interval, slices.Concat(others...)...) })
	r.armed.Store(r.c.Trouble)
	r.askUntil(client, 2500*time.Millisecond, interval, "m2")
	r.ask(client, "m3")
	time.Sleep(2 * time.Second)
	held, _ := r.engine.Holds()
	r.c.Record("held: %v", held)
	r.askUntil(client, 14*time.Second, interval, "m0", "m0/a1", "m1")
	asked.Wait()
	r.armed.Store(false)
}

// askUntil asks for each of some models at an interval.
func (r *run) askUntil(client *http.Client, d, interval time.Duration, models ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		for _, m := range models {
			r.ask(client, m)
		}
	}
}

// judge checks LIMIT: the replica is not ordered to load more than it holds.
func (r *run) judge() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := []string{}
	for status, n := range r.statuses {
		keys = append(keys, fmt.Sprintf("%d: %d", status, n))
	}
	slices.Sort(keys)
	r.c.Say("answers by status: %s", strings.Join(keys, ", "))
	r.c.Say("ordered to load more than it holds: %d times, %d of them by an order from before its start; %d requests were at work at crashes", r.overload, r.stale, r.engine.Broken())
	switch {
	case r.statuses[http.StatusOK] == 0:
		r.c.Say("not run: no request was served")
		return standin.CouldNot
	case r.overload > 0:
		r.c.Say("LIMIT is broken")
		return standin.Broken
	}
	r.c.Say("LIMIT held")
	return standin.Held
}
