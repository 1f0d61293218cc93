// Command retire checks that the sidecars survive a configuration that no longer lists a model
// which their engines still hold.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"review/standin"
)

const (
	engines = 3
	retired = "m9"
	// inUse is how long the retired model is asked for before the operator retires it.
	inUse = 6 * time.Second
	// settle is the time from the new configuration until other models are asked for: sidecars
	// read it every ten seconds.
	settle = 12 * time.Second
	// asked is how long those are asked for.
	asked    = 30 * time.Second
	deadline = 10 * time.Second
	// endsOfFault is how often processes of a machine end by themselves for a fault, and
	// machinesOfFault on how many machines (a tenth of those in use, two at least).
	endsOfFault     = 3
	machinesOfFault = 2
)

var spec = &standin.EngineSpec{
	Models: []standin.Model{
		{Name: "m0", MB: 45}, {Name: "m1", MB: 45}, {Name: "m2", MB: 45}, {Name: "m3", MB: 45}, {Name: "m4", MB: 45}, {Name: "m5", MB: 45}, {Name: retired, MB: 45},
	},
	WeightsMB: 100, AdapterMB: 1, AdapterSlots: 8, Slots: 32, KVTokens: 100000, LoadS: 6, DiskS: 0.7, WarmS: 0.5, LoadsPerS: 4.8,
	Events: 10, FirstEvent: 40 * time.Millisecond, NextEvent: 20 * time.Millisecond,
}

type run struct {
	c       *standin.Case
	fronts  []*standin.Front
	sides   []*standin.Process
	mu      sync.Mutex
	open    sync.WaitGroup
	answers map[string]map[int]int
}

func main() { os.Exit(exitCode()) }

func exitCode() int {
	c, err := standin.NewCase(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.CouldNot
	}
	defer c.End()
	r := &run{c: c, answers: make(map[string]map[int]int)}
	if err := r.start(); err != nil {
		c.Say("not run: %v", err)
		return standin.CouldNot
	}
	r.play()
	return r.judge()
}

func (r *run) config(version int, without ...string) {
	r.c.Store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "draft", "host": "review.example", "path_prefix": "/draft/", "route_kind": "streaming", "timeout_ms": 10000, "aim_ms": 2500, "gap_aim_ms": 300,
			"priority": 1, "service": "models", "max_attempts": 2, "sticky": true, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "models", "health_path": "/health", "max_conns": 610, "protocol": "h1", "tls": false, "engine": spec.Config(without...)}},
		"limits":   map[string]any{"header_bytes": 8192, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	r.c.Record("configuration %d is in the store, without %v", version, without)
}

func (r *run) start() error {
	r.config(1)
	port, err := standin.FreePort("127.0.0.1")
	if err != nil {
		return err
	}
	onDisk := []string{"m0", "m1", "m2", "m3", "m4", "m5", retired}
	for i := range engines {
		e := &standin.Engine{ID: fmt.Sprintf("i-%d", i+1), Service: "models", Spec: spec, Down: 3 * time.Second}
		if err := r.c.StartEngine(e, []string{fmt.Sprintf("m%d", i), retired}, onDisk); err != nil {
			return err
		}
		p, err := r.c.StartSide(fmt.Sprintf("side-%d", i+1), "models", e.IP, e.Address, port)
		if err != nil {
			return err
		}
		r.sides = append(r.sides, p)
	}
	for i := range 2 {
		f, err := r.c.StartFront(fmt.Sprintf("front-%d", i+1), port)
		if err != nil {
			return err
		}
		r.fronts = append(r.fronts, f)
	}
	for _, f := range r.fronts {
		if err := f.AwaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// ask asks for each of some models every half a second.
func (r *run) ask(phase string, models []string, d time.Duration) {
	client := standin.NewClient()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		for i, m := range models {
			f := r.fronts[(n+i)%len(r.fronts)]
			call := standin.Call{ID: standin.NewID("c"), Method: http.MethodPost, Host: "review.example", Path: "/draft/a", Model: m, Body: "write", Deadline: deadline}
			r.open.Go(func() {
				a := call.Do(client, f.Name, f.Address)
				status := a.Status
				if !a.Complete {
					status = 0
				}
				key := phase + " " + m
				r.mu.Lock()
				defer r.mu.Unlock()
				if r.answers[key] == nil {
					r.answers[key] = make(map[int]int)
				}
				r.answers[key][status]++
				r.c.Record("%s %s to %s: %d after %.3f s", m, a.ID, f.Name, status, a.Done.Sub(a.Sent).Seconds())
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (r *run) play() {
	r.ask("before", []string{"m0", "m1", "m2", retired}, inUse)
	if r.c.Trouble {
		r.config(2, retired)
	}
	r.ask("settling", []string{"m0", "m1", "m2"}, settle)
	r.ask("after", []string{"m0", "m1", "m2", "m3", "m4", "m5"}, asked)
	r.open.Wait()
}

// judge checks that no two machines had processes that ended by themselves three times.
func (r *run) judge() int {
	served := 0
	for key, byStatus := range r.answers {
		r.c.Record("answers, %s: %v", key, byStatus)
		served += byStatus[http.StatusOK]
	}
	machines := 0
	for _, p := range append(r.sides, r.fronts[0].Process, r.fronts[1].Process) {
		ends := len(p.Ends())
		r.c.Say("%s ended by itself %d times", p.Name, ends)
		if ends >= endsOfFault {
			machines++
		}
	}
	rare := make(map[int]int)
	for _, m := range []string{"m3", "m4", "m5"} {
		for status, n := range r.answers["after "+m] {
			rare[status] += n
		}
	}
	r.c.Say("requests for m3, m4 and m5 after the change, by status: %v", rare)
	switch {
	case served == 0:
		r.c.Say("not run: no request was served")
		return standin.CouldNot
	case machines >= machinesOfFault:
		r.c.Say("Fault: on %d of %d machines processes ended by themselves %d times or more", machines, len(r.sides)+len(r.fronts), endsOfFault)
		return standin.Broken
	}
	r.c.Say("no fault")
	return standin.Held
}
