package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

var start = time.Unix(1_000_000, 0)

func newQueue(t *testing.T, change func(*Options)) *Queue {
	t.Helper()
	o := Options{
		Region:      "r1",
		Concurrency: 2,
		Cost:        time.Second,
		Rand:        rand.New(rand.NewPCG(1, 2)),
	}
	if change != nil {
		change(&o)
	}
	q, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return q
}

func item(id string, p ident.Priority, r ident.Region, due time.Duration) Item {
	return Item{
		ID:             ident.Attempt(id),
		Environment:    "e",
		Region:         r,
		Priority:       p,
		Deadline:       start.Add(due),
		TimeToResponse: time.Second,
	}
}

func admitted(actions []Action) []ident.Attempt {
	var ids []ident.Attempt
	for _, a := range actions {
		if a, ok := a.(Admit); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

func refused(actions []Action) map[ident.Attempt]wire.Code {
	codes := make(map[ident.Attempt]wire.Code)
	for _, a := range actions {
		if a, ok := a.(Refuse); ok {
			codes[a.ID] = a.Code
		}
	}
	return codes
}

func TestQueueStartsMostUrgentFirst(t *testing.T) {
	q := newQueue(t, func(o *Options) { o.Concurrency = 1 })
	q.Offer(start, item("running", 2, "r1", time.Hour))
	q.Offer(start, item("late", 2, "r1", time.Hour))
	q.Offer(start, item("urgent", 0, "r1", time.Hour))
	got := admitted(q.Finish(start.Add(time.Second), "running", Succeeded))
	if len(got) != 1 || got[0] != "urgent" {
		t.Errorf("admitted %v, want urgent", got)
	}
}

func TestQueueRefusesRequestsThatWouldMissDeadline(t *testing.T) {
	tests := []struct {
		name string
		due  time.Duration
		want wire.Code
	}{
		{"deadline before the end of a run", 900 * time.Millisecond, wire.CodeDeadline},
		{"deadline before the end of the wait", 1100 * time.Millisecond, wire.CodeOverloaded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue(t, nil)
			for i := range 4 {
				q.Offer(start, item(fmt.Sprint(i), 0, "r1", time.Hour))
			}
			got := refused(q.Offer(start, item("x", 0, "r1", tt.due)))
			if got["x"] != tt.want {
				t.Errorf("refused %v, want x: %s", got, tt.want)
			}
		})
	}
}

func TestQueueRefusesWaitingItemBeforeItsDeadline(t *testing.T) {
	q := newQueue(t, func(o *Options) { o.Concurrency = 1 })
	q.Offer(start, item("running", 0, "r1", time.Hour))
	if got := q.Offer(start, item("x", 0, "r1", 4*time.Second)); len(got) != 0 {
		t.Fatalf("Offer returned %v, want no actions", got)
	}
	for at := time.Duration(0); at < 4*time.Second; at += tickInterval {
		if refused(q.Tick(start.Add(at)))["x"] == wire.CodeDeadline {
			if at > 3*time.Second+tickInterval {
				t.Errorf("refused after %v, want as soon as a run no longer fits before the deadline", at)
			}
			return
		}
	}
	t.Error("not refused before its deadline")
}
