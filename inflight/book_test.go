package inflight

import (
	"errors"
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
)

const settle = 2 * time.Second

var (
	start = time.Unix(1000, 0)
	ready = start.Add(settle)
	load  = engine.Order{ID: "1", Kind: engine.OrderLoad, Model: "a"}
)

func models(p engine.Phase) []engine.ModelState {
	return []engine.ModelState{{Model: "a", Phase: p}}
}

func TestNothingIsOpenedBeforeEarlierOrdersAreSettled(t *testing.T) {
	b := New(start, settle)
	var busy *BusyError
	b.Observe(engine.State{}, start.Add(settle-1))
	if err := b.Begin(load, ready); !errors.As(err, &busy) {
		t.Errorf("got %v, want BusyError", err)
	}
	b.Observe(engine.State{RunningOrders: []string{"earlier"}}, ready)
	if b.Ready() || b.CannotLoad("a") {
		t.Error("ready while an earlier order runs")
	}
	b.Observe(engine.State{}, ready)
	if err := b.Begin(load, ready); err != nil {
		t.Error(err)
	}
}

func TestOutcomeIsReadFromTheState(t *testing.T) {
	for name, c := range map[string]struct {
		answer Response
		state  engine.State
		after  time.Duration
		ended  bool
		done   bool
	}{
		"accepted and loaded":           {ResponseAccepted, engine.State{Models: models(engine.PhaseLoaded)}, 0, true, true},
		"accepted and running":          {ResponseAccepted, engine.State{RunningOrders: []string{"1"}}, 0, false, false},
		"accepted and still loading":    {ResponseAccepted, engine.State{Models: models(engine.PhaseLoading)}, 0, false, false},
		"accepted and failed":           {ResponseAccepted, engine.State{}, 0, true, false},
		"accepted by a restarted one":   {ResponseAccepted, engine.State{Instance: "2"}, 0, true, false},
		"read before the answer":        {ResponseAccepted, engine.State{Models: models(engine.PhaseLoaded)}, -1, false, false},
		"lost and loaded":               {ResponseLost, engine.State{Models: models(engine.PhaseLoaded)}, 0, true, true},
		"lost and not seen yet":         {ResponseLost, engine.State{}, settle - 1, false, false},
		"lost and not seen for long":    {ResponseLost, engine.State{}, settle, true, false},
		"lost, restarted, not settled":  {ResponseLost, engine.State{Instance: "2"}, settle - 1, false, false},
		"lost and running when settled": {ResponseLost, engine.State{RunningOrders: []string{"1"}}, settle, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(start, settle)
			b.Observe(engine.State{}, ready)
			if err := b.Begin(load, ready); err != nil {
				t.Fatal(err)
			}
			if _, ended := b.RecordResponse("1", c.answer, ready); ended {
				t.Fatal("ended by its answer")
			}
			o, ended := b.Observe(c.state, ready.Add(c.after))
			if ended != c.ended || o.Succeeded != c.done {
				t.Errorf("ended %v done %v", ended, o.Succeeded)
			}
			if b.CannotLoad("a") != c.ended || b.Ready() != c.ended {
				t.Error("open order and readiness disagree")
			}
		})
	}
}

func TestRefusalEndsAnOrder(t *testing.T) {
	b := New(start, settle)
	b.Observe(engine.State{}, ready)
	if err := b.Begin(load, ready); err != nil {
		t.Fatal(err)
	}
	if o, ended := b.RecordResponse("1", ResponseRejected, ready); !ended || o.Succeeded {
		t.Errorf("ended %v done %v", ended, o.Succeeded)
	}
}
