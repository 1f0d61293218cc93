// Command oversized checks that the engines serve requests after one that is larger than their
// memory, which they reject.
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
	// tokens is the size of the prompt that no engine can hold.
	tokens   = 1000000
	kvTokens = 138793
	played   = 60 * time.Second
	interval = 200 * time.Millisecond
	deadline = 10 * time.Second
)

var spec = &standin.EngineSpec{
	Models:    []standin.Model{{Name: "m0", MB: 34}, {Name: "m1", MB: 34}},
	WeightsMB: 83, AdapterMB: 1, AdapterSlots: 8, Slots: 128, KVTokens: kvTokens, LoadS: 6, DiskS: 0.7, WarmS: 0.5, LoadsPerS: 4.8,
	Events: 10, FirstEvent: 40 * time.Millisecond, NextEvent: 20 * time.Millisecond,
}

type run struct {
	c      *standin.Case
	fronts []*standin.Front

	mu     sync.Mutex
	open   sync.WaitGroup
	served int
	byCode map[int]int
}

func main() { os.Exit(exitCode()) }

func exitCode() int {
	c, err := standin.NewCase(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.CouldNot
	}
	defer c.End()
	r := &run{c: c, byCode: make(map[int]int)}
	if err := r.start(); err != nil {
		c.Say("not run: %v", err)
		return standin.CouldNot
	}
	r.play()
	return r.judge()
}

func (r *run) start() error {
	r.c.Store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "outlook", "host": "review.example", "path_prefix": "/outlook/", "route_kind": "streaming", "timeout_ms": 10000, "aim_ms": 2500, "gap_aim_ms": 300,
			"priority": 2, "service": "models", "max_attempts": 2, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{"name": "models", "health_path": "/health", "max_conns": 610, "protocol": "h1", "tls": false, "engine": spec.Config()}},
		"limits":   map[string]any{"header_bytes": 8192, "max_body_bytes": 8 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	port, err := standin.FreePort("127.0.0.1")
	if err != nil {
		return err
	}
	for i := range engines {
		e := &standin.Engine{ID: fmt.Sprintf("i-%d", i+1), Service: "models", Spec: spec, Down: 3 * time.Second}
		if err := r.c.StartEngine(e, []string{"m0", "m1"}, []string{"m0", "m1"}); err != nil {
			return err
		}
		if _, err := r.c.StartSide(fmt.Sprintf("side-%d", i+1), "models", e.IP, e.Address, port); err != nil {
			return err
		}
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

func (r *run) call(model string, prompt int) standin.Call {
	return standin.Call{ID: standin.NewID("c"), Method: http.MethodPost, Host: "review.example", Path: "/outlook/a", Model: model, Body: "write", Deadline: deadline, PromptTokens: prompt}
}

// askOversized sends a request that is larger than an engine's memory and, as clients do, once
// more after the time that the answer names.
func (r *run) askOversized(client *http.Client) {
	for try := range 2 {
		f := r.fronts[try]
		a := r.call("m0", tokens).Do(client, f.Name, f.Address)
		r.c.Record("a prompt of %d tokens to %s: %d after %.3f s, come back after %v", tokens, f.Name, a.Status, a.Done.Sub(a.Sent).Seconds(), a.RetryAfter)
		time.Sleep(a.RetryAfter)
	}
}

func (r *run) play() {
	client := standin.NewClient()
	if r.c.Trouble {
		r.askOversized(client)
	}
	for n, end := 0, time.Now().Add(played); time.Now().Before(end); n++ {
		f, call := r.fronts[n%len(r.fronts)], r.call(fmt.Sprintf("m%d", n/2%2), 0)
		r.open.Go(func() {
			a := call.Do(client, f.Name, f.Address)
			status := a.Status
			if !a.Complete {
				status = 0
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.byCode[status]++
			r.c.Record("%s %s to %s: %d after %.3f s, come back after %v", call.Model, a.ID, f.Name, status, a.Done.Sub(a.Sent).Seconds(), a.RetryAfter)
		})
		time.Sleep(interval)
	}
	r.open.Wait()
}

// judge checks that some request is served.
func (r *run) judge() int {
	all := 0
	for _, n := range r.byCode {
		all += n
	}
	r.c.Say("%d requests, by status: %v", all, r.byCode)
	if r.byCode[http.StatusOK] == 0 {
		r.c.Say("Fault: none of %d requests was served in %v", all, played)
		return standin.Broken
	}
	r.c.Say("%d of %d requests were served", r.byCode[http.StatusOK], all)
	return standin.Held
}
