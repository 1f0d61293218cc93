package inflight

import (
	"errors"
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
)

const settleTime = 2 * time.Second

var (
	startedAt = time.Unix(1000, 0)
	settledAt = startedAt.Add(settleTime)
	loadOrder = engine.Order{ID: "1", Kind: engine.OrderLoad, Model: "a"}
)

func models(p engine.Phase) []engine.ModelState {
	return []engine.ModelState{{Model: "a", Phase: p}}
}

func TestBeginIsRejectedUntilEarlierOrdersHaveSettled(t *testing.T) {
	tracker := New(startedAt, settleTime)
	var busy *BusyError
	tracker.Observe(engine.State{}, startedAt.Add(settleTime-1))
	if err := tracker.Begin(loadOrder, settledAt); !errors.As(err, &busy) {
		t.Errorf("got %v, want *BusyError", err)
	}
	tracker.Observe(engine.State{RunningOrders: []string{"earlier"}}, settledAt)
	if tracker.Ready() || tracker.CannotLoad("a") {
		t.Error("ready or cannot load while an earlier order runs")
	}
	tracker.Observe(engine.State{}, settledAt)
	if err := tracker.Begin(loadOrder, settledAt); err != nil {
		t.Error(err)
	}
}

func TestOutcomeIsReadFromEngineState(t *testing.T) {
	for name, c := range map[string]struct {
		response  Response
		state     engine.State
		after     time.Duration
		ended     bool
		succeeded bool
	}{
		"accepted and loaded":                            {ResponseAccepted, engine.State{Models: models(engine.PhaseLoaded)}, 0, true, true},
		"accepted and running":                           {ResponseAccepted, engine.State{RunningOrders: []string{"1"}}, 0, false, false},
		"accepted and still loading":                     {ResponseAccepted, engine.State{Models: models(engine.PhaseLoading)}, 0, false, false},
		"accepted and failed":                            {ResponseAccepted, engine.State{}, 0, true, false},
		"accepted, engine restarted":                     {ResponseAccepted, engine.State{Instance: "2"}, 0, true, false},
		"state read before the response":                 {ResponseAccepted, engine.State{Models: models(engine.PhaseLoaded)}, -1, false, false},
		"lost and loaded":                                {ResponseLost, engine.State{Models: models(engine.PhaseLoaded)}, 0, true, true},
		"lost, no effect before the settle time":         {ResponseLost, engine.State{}, settleTime - 1, false, false},
		"lost, no effect after the settle time":          {ResponseLost, engine.State{}, settleTime, true, false},
		"lost, engine restarted, before the settle time": {ResponseLost, engine.State{Instance: "2"}, settleTime - 1, false, false},
		"lost, running after the settle time":            {ResponseLost, engine.State{RunningOrders: []string{"1"}}, settleTime, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New(startedAt, settleTime)
			tracker.Observe(engine.State{}, settledAt)
			if err := tracker.Begin(loadOrder, settledAt); err != nil {
				t.Fatal(err)
			}
			if _, ended := tracker.RecordResponse("1", c.response, settledAt); ended {
				t.Fatal("order ended by the submission response")
			}
			o, ended := tracker.Observe(c.state, settledAt.Add(c.after))
			if ended != c.ended || o.Succeeded != c.succeeded {
				t.Errorf("ended %v, succeeded %v", ended, o.Succeeded)
			}
			if tracker.CannotLoad("a") != c.ended || tracker.Ready() != c.ended {
				t.Error("CannotLoad or Ready does not match the end of the order")
			}
		})
	}
}

func TestRejectionEndsOrder(t *testing.T) {
	tracker := New(startedAt, settleTime)
	tracker.Observe(engine.State{}, settledAt)
	if err := tracker.Begin(loadOrder, settledAt); err != nil {
		t.Fatal(err)
	}
	if o, ended := tracker.RecordResponse("1", ResponseRejected, settledAt); !ended || o.Succeeded {
		t.Errorf("ended %v, succeeded %v", ended, o.Succeeded)
	}
}
