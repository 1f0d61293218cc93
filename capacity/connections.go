package main

import (
	"context"
	"time"
)

// connectionWindow is the time over which connections are measured.
const connectionWindow = 3 * time.Second

// warmUp lets connections settle before they are measured.
const warmUp = 1500 * time.Millisecond

// endsPerConnection divides a figure of this process, which runs both ends of each
// connection.
const endsPerConnection = 2

// connections measures connections that send only keep-alive pings, and
// connections that also carry an agent's reports.
func connections(t *table) error {
	for _, reports := range []bool{false, true} {
		if err := measureConnections(t, reports); err != nil {
			return err
		}
	}
	return nil
}

func measureConnections(t *table, reports bool) error {
	kind := "idle connections"
	if reports {
		kind = "connections with reports"
	}
	figures := []struct {
		what   string
		budget float64
		f      func(n int, reports bool) (float64, error)
	}{
		{"UDP bytes a second, sent and received", trafficBudgetBytes, connectionBytes},
		{"processor time of one end, µs a second", cpuBudgetMicroseconds, connectionCost},
		{"heap of one end, bytes", memoryBudgetBytes, connectionHeap},
	}
	for _, f := range figures {
		s := series{Quantity: kind + " of a router: " + f.what, SizeName: "connections", Xs: []float64{4, 8, 16, 32}, TargetSize: targetAgents, Budget: f.budget}
		if err := t.measure(s, func(n int) (float64, error) { return f.f(n, reports) }); err != nil {
			return err
		}
		t.addAtSize(kind+" of an agent: "+f.what, targetRouters)
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
	time.Sleep(connectionWindow)
	return float64(l.relay.bytes.Load()-before) / connectionWindow.Seconds(), nil
}

func connectionCost(n int, reports bool) (float64, error) {
	l, err := newLink(context.Background(), n, false, reports)
	if err != nil {
		return 0, err
	}
	defer l.close()
	time.Sleep(warmUp)
	before, err := cpuTime()
	if err != nil {
		return 0, err
	}
	time.Sleep(connectionWindow)
	after, err := cpuTime()
	return microseconds(after-before) / endsPerConnection / connectionWindow.Seconds(), err
}

func connectionHeap(n int, reports bool) (float64, error) {
	time.Sleep(warmUp) // lets the connections of the previous measurement be freed
	before := heapBytes()
	l, err := newLink(context.Background(), n, false, reports)
	if err != nil {
		return 0, err
	}
	defer l.close()
	time.Sleep(warmUp)
	return (float64(heapBytes()) - float64(before)) / endsPerConnection, nil
}
