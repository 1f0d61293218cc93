// Command drain checks that a front machine sends nothing to a replica that is gone, once it is
// in touch again after the store has turned it away for some seconds.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"review/standin"
)

const (
	fronts   = 4
	replicas = 8
	rounds   = 8
	// turnedAway is how long the store turns one front machine away in each round, and
	// roundLength the time between two of these spans.
	turnedAway  = 5 * time.Second
	roundLength = 11 * time.Second
	// leaveAfter is the time from the end of that span until two replicas leave.
	leaveAfter = 900 * time.Millisecond
	// interval is the time between two requests to one front machine.
	interval = 12 * time.Millisecond
	work     = 200 * time.Millisecond
	deadline = 3 * time.Second
)

// serveOn is how long the two replicas that leave in a round continue to serve: drain_ms and a
// little longer.
var serveOn = [2]time.Duration{standin.DrainMS*time.Millisecond + 350*time.Millisecond, standin.DrainMS*time.Millisecond + 1500*time.Millisecond}

// span is the time in which the store turned a front machine away.
type span struct{ from, to time.Time }

type run struct {
	c      *standin.Case
	fronts []*standin.Front

	mu      sync.Mutex
	live    []*standin.Server
	all     []*standin.Server
	gone    map[string]time.Time
	away    map[string][]span
	answers map[string]standin.Answer
	next    int
}

func main() { os.Exit(exitCode()) }

func exitCode() int {
	c, err := standin.NewCase(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.CouldNot
	}
	defer c.End()
	r := &run{c: c, gone: make(map[string]time.Time), away: make(map[string][]span), answers: make(map[string]standin.Answer)}
	if err := r.start(); err != nil {
		c.Say("not run: %v", err)
		return standin.CouldNot
	}
	r.play()
	return r.judge()
}

func (r *run) start() error {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "review.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": 1500, "aim_ms": 300,
			"priority": 2, "service": "portal", "max_attempts": attempts, "sticky": false, "resumable": false,
		}
	}
	r.c.Store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{route("order", "/order/", "non_idempotent", 1)},
		"services": []any{map[string]any{"name": "portal", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": 8192, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for range replicas {
		if err := r.join(); err != nil {
			return err
		}
	}
	for i := range fronts {
		f, err := r.c.StartFront(fmt.Sprintf("front-%d", i+1), 7380)
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
	return nil
}

// join starts a replica.
func (r *run) join() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	s := &standin.Server{ID: fmt.Sprintf("i-%02d", r.next), Service: "portal", Zone: standin.Zone, Slots: 64, Work: work}
	if err := standin.StartServer(r.c.Store, s, r.c.IP()); err != nil {
		return err
	}
	r.c.AtEnd(s.End)
	r.live, r.all = append(r.live, s), append(r.all, s)
	r.c.Record("replica %s joins at %s", s.ID, s.Address)
	return nil
}

// leave takes the two oldest replicas away: their entries are removed, they serve on for
// serveOn and end.
func (r *run) leave() {
	r.mu.Lock()
	leaving := slices.Clone(r.live[:2])
	r.live = r.live[2:]
	r.mu.Unlock()
	for i, s := range leaving {
		at := s.Leave()
		r.mu.Lock()
		r.gone[s.ID] = at
		r.mu.Unlock()
		r.c.Record("replica %s leaves: its entry is removed", s.ID)
		time.AfterFunc(serveOn[i], func() {
			s.End()
			r.c.Record("replica %s has ended", s.ID)
		})
	}
}

func (r *run) play() {
	var stopped atomic.Bool
	var clients sync.WaitGroup
	for i, f := range r.fronts {
		clients.Go(func() { r.send(f, i, &stopped) })
	}
	time.Sleep(standin.StableMS * time.Millisecond)
	for n := range rounds {
		begun := time.Now()
		f := r.fronts[n%fronts]
		if r.c.Trouble {
			from := time.Now()
			f.Door.TurnsAway.Store(true)
			r.c.Record("the store turns %s away", f.Name)
			time.Sleep(turnedAway)
			f.Door.TurnsAway.Store(false)
			to := time.Now()
			r.c.Record("the store serves %s again", f.Name)
			r.mu.Lock()
			r.away[f.Name] = append(r.away[f.Name], span{from, to})
			r.mu.Unlock()
		} else {
			time.Sleep(turnedAway)
		}
		time.Sleep(leaveAfter)
		r.leave()
		for range 2 {
			if err := r.join(); err != nil {
				r.c.Record("no new replica: %v", err)
			}
		}
		time.Sleep(time.Until(begun.Add(roundLength)))
	}
	stopped.Store(true)
	clients.Wait()
}

// send sends orders to a front machine.
func (r *run) send(f *standin.Front, n int, stopped *atomic.Bool) {
	client := standin.NewClient()
	var open sync.WaitGroup
	for !stopped.Load() {
		call := standin.Call{ID: standin.NewID(fmt.Sprintf("f%d", n+1)), Method: http.MethodPost, Host: "review.example", Path: "/order/a", Body: "one", Deadline: deadline}
		open.Go(func() {
			a := call.Do(client, f.Name, f.Address)
			r.mu.Lock()
			r.answers[a.ID] = a
			r.mu.Unlock()
		})
		time.Sleep(interval)
	}
	open.Wait()
}

// inTouch reports whether the store had served a front machine for stable_ms at a moment.
func (r *run) inTouch(front string, at time.Time) bool {
	for _, s := range r.away[front] {
		if at.After(s.from) && at.Before(s.to.Add(standin.StableMS*time.Millisecond)) {
			return false
		}
	}
	return true
}

// judge checks DRAIN: no request reaches a replica later than drain_ms after the store has
// accepted that it is gone, taken from the client and sent on by machines in touch.
func (r *run) judge() int {
	late, excused, lost := 0, 0, 0
	for _, s := range r.all {
		goneAt, ok := r.gone[s.ID]
		if !ok {
			continue
		}
		for _, a := range s.Arrivals() {
			after := a.At.Sub(goneAt)
			if after <= standin.DrainMS*time.Millisecond {
				continue
			}
			req := r.answers[a.ID]
			if !r.inTouch(req.To, req.Sent) || !r.inTouch(req.To, a.At) {
				excused++
				r.c.Record("excused: %s by %s reached %s %.3f s after it was gone, not in touch", a.ID, req.To, s.ID, after.Seconds())
				continue
			}
			late++
			if a.Ran && !a.Answered {
				lost++
			}
			r.c.Record("DRAIN: %s %s, sent to %s at %.3f s, reached %s at %.3f s, %.3f s after it was gone; ran: %t, answered by the replica: %t, the client got %d",
				req.Method, a.ID, req.To, r.c.Since(req.Sent), s.ID, r.c.Since(a.At), after.Seconds(), a.Ran, a.Answered, req.Status)
		}
	}
	byStatus := make(map[int]int)
	for _, a := range r.answers {
		byStatus[a.Status]++
		r.c.Record("%s %s to %s, sent at %.3f s, ended at %.3f s: %d", a.Method, a.ID, a.To, r.c.Since(a.Sent), r.c.Since(a.Done), a.Status)
	}
	for _, s := range r.all {
		for _, a := range s.Arrivals() {
			r.c.Record("%s reached %s at %.3f s; ran: %t, answered: %t", a.ID, s.ID, r.c.Since(a.At), a.Ran, a.Answered)
		}
	}
	r.c.Say("%d requests, by status %v", len(r.answers), byStatus)
	r.c.Say("later than drain_ms at a replica that is gone: %d by machines in touch (%d of them ran and were lost when the replica ended), %d excused", late, lost, excused)
	switch {
	case byStatus[200] < len(r.answers)/2:
		r.c.Say("not run: fewer than half of the requests were served")
		return standin.CouldNot
	case late > 0:
		r.c.Say("DRAIN is broken")
		return standin.Broken
	}
	r.c.Say("DRAIN held")
	return standin.Held
}
