// Command rejoined checks that no stream holds events of two software versions when a replica
// crashes, starts again under its id with another version, and crashes again.
package main

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"sync"
	"time"

	"review/standin"
)

const (
	engines = 4
	// down is how long a crash lasts, and firstBeat the time from the start after it to the
	// first write of the replica's entry. Replicas write every 1.2 s.
	down      = time.Second
	firstBeat = 1200 * time.Millisecond
	// afterList is the time from a read of the list of servers by a front machine, which reads it
	// every 1.2 s, to the crash. The new entry is then written after the second of the next
	// reads, and is read 1.1 s later.
	afterList = 300 * time.Millisecond
	// askAfter is the time from the first crash until requests for the replica's models come
	// again, and againAfter that until it crashes again.
	askAfter   = 1350 * time.Millisecond
	againAfter = 5500 * time.Millisecond
	// usualInterval is the time between two requests for the models in use, rareInterval that
	// for the models of the engine that crashes.
	usualFor      = 20 * time.Second
	usualInterval = 100 * time.Millisecond
	rareInterval  = 100 * time.Millisecond
	deadline      = 25 * time.Second
	// joinedOfRule is the number of streams that may hold events of two versions.
	joinedOfRule = 2
)

// models are all models. Two of them are loaded at each engine, which has room for three.
var models = []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}

var spec = &standin.EngineSpec{
	WeightsMB: 83, AdapterMB: 1, AdapterSlots: 8, Slots: 128, KVTokens: 138793, LoadS: 6, DiskS: 0.7, WarmS: 0.5, LoadsPerS: 4.8,
	Events: 86, FirstEvent: 80 * time.Millisecond, NextEvent: 60 * time.Millisecond,
}

type run struct {
	c       *standin.Case
	fronts  []*standin.Front
	engines []*standin.Engine

	mu      sync.Mutex
	open    sync.WaitGroup
	streams [][]standin.Answer
}

func main() { os.Exit(exitCode()) }

func exitCode() int {
	c, err := standin.NewCase(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.CouldNot
	}
	defer c.End()
	r := &run{c: c}
	if err := r.start(); err != nil {
		c.Say("not run: %v", err)
		return standin.CouldNot
	}
	r.play()
	return r.judge()
}

func (r *run) start() error {
	for _, m := range models {
		spec.Models = append(spec.Models, standin.Model{Name: m, MB: 25})
	}
	r.c.Store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "outlook", "host": "review.example", "path_prefix": "/outlook/", "route_kind": "streaming", "timeout_ms": 25000, "aim_ms": 2500, "gap_aim_ms": 300,
			"priority": 2, "service": "models", "max_attempts": 2, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{"name": "models", "health_path": "/health", "max_conns": 610, "protocol": "h1", "tls": false, "engine": spec.Config()}},
		"limits":   map[string]any{"header_bytes": 8192, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	port, err := standin.FreePort("127.0.0.1")
	if err != nil {
		return err
	}
	for i := range engines {
		e := &standin.Engine{ID: fmt.Sprintf("i-%d", i+1), Service: "models", Spec: spec, Down: down, FirstBeat: firstBeat}
		if err := r.c.StartEngine(e, models[2*i:2*i+2], models); err != nil {
			return err
		}
		r.engines = append(r.engines, e)
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

// ask asks for models by turns.
func (r *run) ask(d, interval time.Duration, names ...string) {
	client := standin.NewClient()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		f := r.fronts[n/len(names)%len(r.fronts)]
		call := standin.Call{ID: standin.NewID("c"), Method: http.MethodPost, Host: "review.example", Path: "/outlook/a", Model: names[n%len(names)], Body: "write", Deadline: deadline}
		r.open.Go(func() {
			r.stream(client, call, f)
		})
		time.Sleep(interval)
	}
}

// stream sends a request. If its stream breaks off, it is taken up once, on a new channel.
func (r *run) stream(client *http.Client, call standin.Call, f *standin.Front) {
	first := call.Do(client, f.Name, f.Address)
	tries := []standin.Answer{first}
	if events := eventPattern.FindAllStringSubmatch(first.Body, -1); first.Status == http.StatusOK && !first.Complete && len(events) > 0 {
		call.ID, call.Resumes, call.LastEventID = standin.NewID("c"), first.ID, events[len(events)-1][1]
		call.Deadline -= first.Done.Sub(first.Sent)
		tries = append(tries, call.Do(standin.NewClient(), f.Name, f.Address))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams = append(r.streams, tries)
}

func (r *run) play() {
	// The models of the first engine are rare: nobody asks for them as it crashes. The others are
	// in use all the time.
	crashing, rare, usual := r.engines[0], models[:2], models[2:]
	var asked sync.WaitGroup
	asked.Go(func() { r.ask(usualFor, usualInterval, usual...) })
	r.ask(time.Second, 500*time.Millisecond, rare...)
	time.Sleep(8 * time.Second)
	r.fronts[0].Door.AwaitList()
	time.Sleep(afterList)
	begun := time.Now()
	if r.c.Trouble {
		crashing.SetVersion("v2")
		crashing.Crash("a fault of the server")
	}
	time.Sleep(askAfter)
	asked.Go(func() { r.ask(6*time.Second, rareInterval, rare...) })
	time.Sleep(time.Until(begun.Add(againAfter)))
	if r.c.Trouble {
		crashing.Crash("a fault of the server")
	}
	asked.Wait()
	r.open.Wait()
}

var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: \d+ of \S+ written by (\S+)\n`)

// judge checks ORDER: no more than two streams hold events of two software versions of one
// service.
func (r *run) judge() int {
	joined, inOneAnswer, takenUp, complete := 0, 0, 0, 0
	for _, tries := range r.streams {
		var versions, from []string
		for _, a := range tries {
			one := make(map[string]bool)
			for _, m := range eventPattern.FindAllStringSubmatch(a.Body, -1) {
				one[m[2]] = true
				if len(versions) == 0 || versions[len(versions)-1] != m[2] {
					versions = append(versions, m[2])
					from = append(from, fmt.Sprintf("%s from event %s", m[2], m[1]))
				}
			}
			if len(one) > 1 {
				inOneAnswer++
			}
			r.c.Record("%s %s to %s, sent at %.3f s, resumes %q after event %q: %d, complete: %t", a.Model, a.ID, a.To, r.c.Since(a.Sent), a.Resumes, a.LastEventID, a.Status, a.Complete)
		}
		last := tries[len(tries)-1]
		if last.Status == http.StatusOK && last.Complete {
			complete++
		}
		if len(tries) > 1 {
			takenUp++
		}
		if len(versions) > 1 {
			joined++
			r.c.Record("ORDER: the stream of %s is written by %v", tries[0].ID, from)
		}
	}
	r.c.Say("%d streams, %d complete, %d taken up by their clients", len(r.streams), complete, takenUp)
	r.c.Say("%d streams hold events of two versions, %d of them in one answer", joined, inOneAnswer)
	switch {
	case complete == 0:
		r.c.Say("not run: no stream was complete")
		return standin.CouldNot
	case joined > joinedOfRule:
		r.c.Say("ORDER is broken")
		return standin.Broken
	}
	r.c.Say("ORDER held")
	return standin.Held
}
