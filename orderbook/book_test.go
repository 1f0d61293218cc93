package orderbook

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
	if b.Ready() || b.ClearOf("a") {
		t.Error("ready while an earlier order runs")
	}
	b.Observe(engine.State{}, ready)
	if err := b.Begin(load, ready); err != nil {
		t.Error(err)
	}
}

func TestOutcomeIsReadFromTheState(t *testing.T) {
	for name, c := range map[string]struct {
		answer Answer
		state  engine.State
		after  time.Duration
		ended  bool
		done   bool
	}{
		"accepted and loaded":           {AnswerAccepted, engine.State{Models: models(engine.PhaseLoaded)}, 0, true, true},
		"accepted and running":          {AnswerAccepted, engine.State{RunningOrders: []string{"1"}}, 0, false, false},
		"accepted and still loading":    {AnswerAccepted, engine.State{Models: models(engine.PhaseLoading)}, 0, false, false},
		"accepted and failed":           {AnswerAccepted, engine.State{}, 0, true, false},
		"accepted by a restarted one":   {AnswerAccepted, engine.State{Instance: "2"}, 0, true, false},
		"read before the answer":        {AnswerAccepted, engine.State{Models: models(engine.PhaseLoaded)}, -1, false, false},
		"lost and loaded":               {AnswerLost, engine.State{Models: models(engine.PhaseLoaded)}, 0, true, true},
		"lost and not seen yet":         {AnswerLost, engine.State{}, settle - 1, false, false},
		"lost and not seen for long":    {AnswerLost, engine.State{}, settle, true, false},
		"lost, restarted, not settled":  {AnswerLost, engine.State{Instance: "2"}, settle - 1, false, false},
		"lost and running when settled": {AnswerLost, engine.State{RunningOrders: []string{"1"}}, settle, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(start, settle)
			b.Observe(engine.State{}, ready)
			if err := b.Begin(load, ready); err != nil {
				t.Fatal(err)
			}
			if _, ended := b.Answered("1", c.answer, ready); ended {
				t.Fatal("ended by its answer")
			}
			o, ended := b.Observe(c.state, ready.Add(c.after))
			if ended != c.ended || o.Done != c.done {
				t.Errorf("ended %v done %v", ended, o.Done)
			}
			if b.ClearOf("a") != c.ended || b.Ready() != c.ended {
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
	if o, ended := b.Answered("1", AnswerRefused, ready); !ended || o.Done {
		t.Errorf("ended %v done %v", ended, o.Done)
	}
}
