package router

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/wire"
)

const (
	// subscribeDelay and maxSubscribeDelay bound the pause before a subscription is
	// retried.
	subscribeDelay    = 100 * time.Millisecond
	maxSubscribeDelay = 2 * time.Second
)

// subscribe receives the reports of one agent until ctx ends, and reconnects as needed.
func (f *fleet) subscribe(ctx context.Context, u *upstreamVM) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = subscribeDelay
	b.MaxInterval = maxSubscribeDelay
	for ctx.Err() == nil {
		if f.receiveReports(ctx, u) {
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

// receiveReports receives reports until the stream ends. It returns whether there were
// any.
func (f *fleet) receiveReports(ctx context.Context, u *upstreamVM) bool {
	conn, err := f.s.pool.Get(ctx, u.listed.ID, u.listed.Address)
	if err != nil {
		f.s.o.Logger.WithError(err).WithField("vm", u.listed.ID).Debug("agent unreachable")
		return false
	}
	stream, err := conn.Open(ctx, &wire.Subscribe{})
	if err != nil {
		return false
	}
	defer stream.Reset()
	stop := context.AfterFunc(ctx, stream.Reset)
	defer stop()
	for received := false; ; received = true {
		m, err := stream.Recv()
		if err != nil {
			return received
		}
		r, ok := m.(*wire.Report)
		if !ok || r.VM != u.listed.ID {
			return received
		}
		f.setConnected(u, true)
		f.applyReport(u, r)
	}
}
