package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/resume"
	"github.com/laureltally/laureltally/resume/originstore"
)

const (
	// archiveReadTimeout bounds a read of the archive for a caller.
	archiveReadTimeout = time.Second
	// archiveRereadInterval is the minimum time between two reads for callers. A router
	// that has started reads it once; later only the loss of all homes makes one necessary.
	archiveRereadInterval = 2 * time.Second
	// archiveRetryAfter is when a caller whose stream could not be looked up may return.
	archiveRetryAfter = time.Second
)

// streamArchive is what sidecars have stored of the software versions that began streams.
type streamArchive struct {
	s *Server

	mu      sync.Mutex
	streams map[resume.StreamKey]string
	// known is set once a read has succeeded, and triedAt is when the newest read began.
	known   bool
	triedAt time.Time
	// reading is the read in progress, or nil.
	reading *archiveRead
}

// archiveRead is one read of the archive, shared by the callers that wait for it.
type archiveRead struct {
	// done is closed at the end, after which err is set.
	done chan struct{}
	err  error
}

// run reads the archive until it succeeds once.
func (a *streamArchive) run(ctx context.Context) {
	p := a.s.poller("stream archive")
	for ctx.Err() == nil {
		err := a.await(ctx, a.read(ctx, 0))
		p.Record(err, nil)
		if err == nil {
			return
		}
		_ = wait.Sleep(ctx, p.pause(a.s.o.PollInterval, err))
	}
}

// get returns the version that began a stream as of the newest read.
func (a *streamArchive) get(service ident.Upstream, request string) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	software, ok := a.streams[resume.KeyOf(service, request)]
	return software, ok && request != ""
}

// lookup is like get after a new read, unless one was tried shortly before.
func (a *streamArchive) lookup(ctx context.Context, service ident.Upstream, request string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, archiveReadTimeout)
	defer cancel()
	if err := a.await(ctx, a.read(ctx, archiveRereadInterval)); err != nil {
		a.s.o.Logger.WithError(err).Warn("stream archive not read for a caller")
	}
	return a.get(service, request)
}

// hasBeenRead reports whether get has something to go by.
func (a *streamArchive) hasBeenRead() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known
}

// read returns the read in progress, or else begins one, or returns nil if the last began less than
// an interval ago.
func (a *streamArchive) read(ctx context.Context, interval time.Duration) *archiveRead {
	now := a.s.o.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reading != nil || !a.triedAt.IsZero() && now.Sub(a.triedAt) < interval {
		return a.reading
	}
	r := &archiveRead{done: make(chan struct{})}
	a.reading, a.triedAt = r, now
	go a.finish(context.WithoutCancel(ctx), r)
	return r
}

func (a *streamArchive) finish(ctx context.Context, r *archiveRead) {
	ctx, cancel := context.WithTimeout(ctx, archiveReadTimeout)
	defer cancel()
	streams, skipped, err := originstore.Load(ctx, a.s.o.Store, time.Now())
	for _, e := range skipped {
		a.s.o.Logger.WithError(e).Warn("archived streams skipped")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.streams, a.known = streams, true
	}
	a.reading, r.err = nil, err
	close(r.done)
}

// await waits until a read has ended and returns its error. It returns at once for nil.
func (a *streamArchive) await(ctx context.Context, r *archiveRead) error {
	if r == nil {
		return nil
	}
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
