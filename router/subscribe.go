package router

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/wire"
)

const (
	// subscribeDelay and maxSubscribeDelay bound the pause before an agent that
	// could not be reached is tried again.
	subscribeDelay    = 100 * time.Millisecond
	maxSubscribeDelay = 2 * time.Second
)

// subscribe takes the reports of one agent until ctx ends.
func (f *fleet) subscribe(ctx context.Context, u *upstreamVM) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = subscribeDelay
	b.MaxInterval = maxSubscribeDelay
	for ctx.Err() == nil {
		if f.takeReports(ctx, u) {
			b.Reset()
		}
		f.setConnected(u, false)
		t := time.NewTimer(b.NextBackOff())
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// takeReports returns whether any report came before the stream ended.
func (f *fleet) takeReports(ctx context.Context, u *upstreamVM) bool {
	conn, err := f.s.pool.Get(ctx, u.listed.ID, u.listed.Address)
	if err != nil {
		f.s.o.Logger.WithError(err).WithField("vm", u.listed.ID).Debug("agent not reached")
		return false
	}
	stream, err := conn.Open(ctx, &wire.Subscribe{})
	if err != nil {
		return false
	}
	defer stream.Reset()
	stop := context.AfterFunc(ctx, stream.Reset)
	defer stop()
	for came := false; ; came = true {
		m, err := stream.Recv()
		if err != nil {
			return came
		}
		r, ok := m.(*wire.Report)
		if !ok || r.VM != u.listed.ID {
			return came
		}
		f.setConnected(u, true)
		f.take(u, r)
	}
}
