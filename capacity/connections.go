package main

import (
	"context"
	"time"
)

// connectedTime is how long connections are watched.
const connectedTime = 3 * time.Second

// warmUp is how long connections are left alone before they are watched.
const warmUp = 1500 * time.Millisecond

// bothEnds divides what the two ends of a connection use together.
const bothEnds = 2

// connections measures connections that only ping, and connections that carry an
// agent's reports as well.
func connections(t *table) error {
	for _, reports := range []bool{false, true} {
		if err := connectionKind(t, reports); err != nil {
			return err
		}
	}
	return nil
}

func connectionKind(t *table, reports bool) error {
	kind := "idle connections"
	if reports {
		kind = "connections with reports"
	}
	figures := []struct {
		what   string
		budget float64
		f      func(n int, reports bool) (float64, error)
	}{
		{"UDP bytes a second, sent and received", trafficBytes, connectionBytes},
		{"processor time of one end, µs a second", coreMicroseconds, connectionCost},
		{"heap of one end, bytes", memoryBytes, connectionHeap},
	}
	for _, f := range figures {
		s := series{What: kind + " of a router: " + f.what, By: "connections", Xs: []float64{4, 8, 16, 32}, At: targetAgents, Budget: f.budget}
		if err := t.measure(s, func(n int) (float64, error) { return f.f(n, reports) }); err != nil {
			return err
		}
		t.again(kind+" of an agent: "+f.what, targetRouters)
	}
	return nil
}

func connectionBytes(n int, reports bool) (float64, error) {
	l, err := newLink(context.Background(), n, true, reports)
	if err != nil {
		return 0, err
	}
	defer l.close()
	time.Sleep(warmUp)
	before := l.relay.bytes.Load()
	time.Sleep(connectedTime)
	return float64(l.relay.bytes.Load()-before) / connectedTime.Seconds(), nil
}

func connectionCost(n int, reports bool) (float64, error) {
	l, err := newLink(context.Background(), n, false, reports)
	if err != nil {
		return 0, err
	}
	defer l.close()
	time.Sleep(warmUp)
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	time.Sleep(connectedTime)
	after, err := processorTime()
	return microseconds(after-before) / bothEnds / connectedTime.Seconds(), err
}

func connectionHeap(n int, reports bool) (float64, error) {
	time.Sleep(warmUp) // for the connections of the measurement before
	before := heapBytes()
	l, err := newLink(context.Background(), n, false, reports)
	if err != nil {
		return 0, err
	}
	defer l.close()
	time.Sleep(warmUp)
	return (float64(heapBytes()) - float64(before)) / bothEnds, nil
}
