package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// queueModel checks the invariants of a Queue after each event.
type queueModel struct {
	q       *Queue
	opts    Options
	now     time.Time
	next    int
	waiting map[ident.Attempt]Item
	running map[ident.Attempt]Item
}

func (m *queueModel) apply(t *rapid.T, actions []Action) {
	for _, a := range actions {
		switch x := a.(type) {
		case Admit:
			it := m.removeWaiting(t, x.ID)
			if m.now.Add(it.TimeToResponse).After(it.Deadline) {
				t.Fatalf("admitted %s %v before its deadline, time to response %v", x.ID, it.Deadline.Sub(m.now), it.TimeToResponse)
			}
			m.running[x.ID] = it
		case Refuse:
			m.removeWaiting(t, x.ID)
			if x.RetryAfter < m.opts.MinRetryAfter {
				t.Fatalf("RetryAfter %v under %v", x.RetryAfter, m.opts.MinRetryAfter)
			}
		}
	}
}

// removeWaiting removes a waiting item and fails if there is none with the ID.
func (m *queueModel) removeWaiting(t *rapid.T, id ident.Attempt) Item {
	it, ok := m.waiting[id]
	if !ok {
		t.Fatalf("action for %s, which is not waiting", id)
	}
	delete(m.waiting, id)
	return it
}

func (m *queueModel) check(t *rapid.T) {
	st := m.q.Stats()
	if st.Running != len(m.running) || st.Waiting != len(m.waiting) {
		t.Fatalf("stats %+v, want running %d waiting %d", st, len(m.running), len(m.waiting))
	}
	if st.Running > m.opts.Concurrency || st.Limit > m.opts.Concurrency || st.Waiting > m.opts.MaxWaiting {
		t.Fatalf("stats %+v exceed the limits", st)
	}
	for id, it := range m.waiting {
		if m.now.Add(it.TimeToResponse - tickInterval).After(it.Deadline) {
			t.Fatalf("%s still waits but can no longer meet its deadline", id)
		}
	}
}

func (m *queueModel) offer(t *rapid.T) {
	m.next++
	it := Item{
		ID:             ident.Attempt(fmt.Sprint(m.next)),
		Environment:    rapid.SampledFrom([]ident.Environment{"a", "b"}).Draw(t, "environment"),
		Region:         rapid.SampledFrom([]ident.Region{"r1", "r2", "r3"}).Draw(t, "region"),
		Priority:       ident.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
		Deadline:       m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "due")) * time.Millisecond),
		TimeToResponse: time.Duration(rapid.IntRange(1, 2000).Draw(t, "cost")) * time.Millisecond,
	}
	m.waiting[it.ID] = it
	m.apply(t, m.q.Offer(m.now, it))
}

func (m *queueModel) finish(t *rapid.T) {
	for id := range m.running {
		delete(m.running, id)
		r := rapid.SampledFrom([]Result{Succeeded, Failed, Rejected}).Draw(t, "result")
		m.apply(t, m.q.Finish(m.now, id, r))
		return
	}
}

func (m *queueModel) cancel(t *rapid.T) {
	for id := range m.waiting {
		delete(m.waiting, id)
		m.apply(t, m.q.Cancel(m.now, id))
		return
	}
}

func (m *queueModel) advance(t *rapid.T) {
	steps := rapid.IntRange(1, 20).Draw(t, "steps")
	for range steps {
		m.now = m.now.Add(tickInterval)
		m.apply(t, m.q.Tick(m.now))
	}
}

func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{
			Region:      "r1",
			Concurrency: rapid.IntRange(1, 4).Draw(t, "concurrency"),
			MaxWaiting:  rapid.IntRange(1, 6).Draw(t, "waiting"),
			Rand:        rand.New(rand.NewPCG(1, 2)),
		}.withDefaults()
		q, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		m := &queueModel{q: q, opts: o, now: start, waiting: map[ident.Attempt]Item{}, running: map[ident.Attempt]Item{}}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"finish": m.finish,
			"cancel": m.cancel,
			"pass":   m.advance,
			"hold":   func(t *rapid.T) { m.apply(t, q.Pause(m.now, m.now.Add(time.Second))) },
			"resume": func(t *rapid.T) { m.apply(t, q.Resume(m.now)) },
			"":       m.check,
		})
		m.apply(t, q.Drain(m.now))
		if len(m.waiting) > 0 {
			t.Fatalf("%d items wait after Drain", len(m.waiting))
		}
	})
}

func TestDrainingQueueRefuses(t *testing.T) {
	q := newQueue(t, nil)
	q.Drain(start)
	if got := refused(q.Offer(start, item("x", 0, "r1", time.Hour))); got["x"] != wire.CodeDraining {
		t.Errorf("refused %v, want draining", got)
	}
}
