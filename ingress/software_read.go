package ingress

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/resume"
)

// softwareReadTimeout bounds a read of the record of software versions for a caller.
const softwareReadTimeout = time.Second

// softwareRead is one read of the record, shared by the callers that arrived before it.
type softwareRead struct {
	// started is closed when the read begins, done when it has ended.
	started, done chan struct{}
	record        resume.Record
	restores      uint64
	err           error
}

// only returns the version that began all streams of a service so far, and false if there
// may be another one or the store can't tell.
func (v *softwareVersions) only(ctx context.Context, service ident.Upstream) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, softwareReadTimeout)
	defer cancel()
	r := v.readSoon(ctx)
	select {
	case <-r.done:
	case <-ctx.Done():
		return "", false
	}
	if r.err != nil {
		v.s.o.Logger.WithError(r.err).Warn("software versions not read for a caller")
		return "", false
	}
	return r.record.Only(service, r.restores)
}

// readSoon returns a read that begins after now. Callers that arrive together share one:
// after a restart, many of them resume their streams at once.
func (v *softwareVersions) readSoon(ctx context.Context) *softwareRead {
	v.mu.Lock()
	defer v.mu.Unlock()
	previous := v.reading
	if previous != nil {
		select {
		case <-previous.started:
		default:
			return previous
		}
	}
	r := &softwareRead{started: make(chan struct{}), done: make(chan struct{})}
	v.reading = r
	go func() {
		defer close(r.done)
		if previous != nil {
			<-previous.done
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), softwareReadTimeout)
		defer cancel()
		v.mu.Lock()
		close(r.started)
		v.mu.Unlock()
		r.record, _, r.restores, r.err = v.read(ctx)
	}()
	return r
}
