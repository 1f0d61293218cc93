package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/resume"
)

const (
	// softwareKey is the key of the record of software versions in the metadata store.
	softwareKey = "software/versions"
	// maxSyncDelay is the maximum pause before the record is read. Routers see a new
	// version at about the same time, and most of them find it recorded after it.
	maxSyncDelay = 300 * time.Millisecond
	// maxSoftwareWait is how long a request waits until the first software version of
	// its service is recorded, which takes two calls to the store.
	maxSoftwareWait = 500 * time.Millisecond
)

// softwareVersions maintains the record of the software versions at which streams may
// have begun, and answers questions about it.
type softwareVersions struct {
	s *Server
	// listed wakes the goroutine that maintains the record, and urgent ends its pause.
	listed, urgent chan struct{}

	mu      sync.Mutex
	history *resume.History
	// withSeveral holds the services that have several versions.
	withSeveral []ident.Upstream
	// changed is closed and replaced when the record was read or written.
	changed chan struct{}
	// reading is the newest read for callers, or nil.
	reading *softwareRead
}

func newSoftwareVersions(s *Server) *softwareVersions {
	return &softwareVersions{
		s: s, listed: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		history: resume.NewHistory(outageAfter(s.o.PollInterval)), changed: make(chan struct{}),
	}
}

// observe takes a list of the VMs.
func (v *softwareVersions) observe(begun time.Time, l fleet.Listing) {
	v.mu.Lock()
	v.history.Listed(begun, l)
	v.observeSeveral()
	v.mu.Unlock()
	wait.Notify(v.listed)
}

// observeSeveral has running streams archived once their service has another version. The caller
// holds mu.
func (v *softwareVersions) observeSeveral() {
	if now := v.history.AllSeveral(); !slices.Equal(now, v.withSeveral) {
		v.withSeveral = now
		wait.Notify(v.s.origins.homesChanged)
	}
}

// several reports whether streams of a service may run at more than one version.
func (v *softwareVersions) several(service ident.Upstream) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.history.Several(service)
}

// unrecorded returns the versions of a service at which no resumable stream may begin yet.
func (v *softwareVersions) unrecorded(service ident.Upstream) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.history.Unrecorded(service)
}

// await waits until some version of a service is recorded, if none is, but not for long.
func (v *softwareVersions) await(ctx context.Context, service ident.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, maxSoftwareWait)
	defer cancel()
	for {
		v.mu.Lock()
		unusable, changed := v.history.AllUnrecorded(service), v.changed
		v.mu.Unlock()
		if !unusable {
			return
		}
		wait.Notify(v.urgent)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// run maintains the record until ctx ends.
func (v *softwareVersions) run(ctx context.Context) {
	p := v.s.poller("software versions")
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.listed:
		}
		for v.syncNeeded() {
			select {
			case <-ctx.Done():
				return
			case <-v.urgent:
			case <-time.After(rand.N(maxSyncDelay)):
			}
			err := v.sync(ctx)
			var conflict *metastore.ConflictError
			if errors.As(err, &conflict) {
				continue
			}
			p.Record(err, nil)
			if err != nil {
				_ = wait.Sleep(ctx, firstPollInterval)
			}
		}
	}
}

func (v *softwareVersions) syncNeeded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.history.SyncNeeded(v.s.o.Now())
}

// sync reads the record and replaces it if it has to change.
func (v *softwareVersions) sync(ctx context.Context) error {
	record, version, restores, err := v.read(ctx)
	if err != nil {
		return err
	}
	next, write := v.stored(record, restores)
	if !write {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode software versions: %w", err)
	}
	if _, err := v.s.o.Store.Put(ctx, softwareKey, value, version); err != nil {
		return fmt.Errorf("write software versions: %w", err)
	}
	v.stored(next, restores)
	v.s.o.Logger.WithFields(log.Fields{"versions": next.Versions, "complete": next.Complete, "restores": next.Restores}).Info("software versions recorded")
	return nil
}

// stored takes the record as it is in the store, and returns its replacement if there has
// to be one.
func (v *softwareVersions) stored(record resume.Record, restores uint64) (resume.Record, bool) {
	now := v.s.o.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history.Stored(now, record, restores)
	v.observeSeveral()
	close(v.changed)
	v.changed = make(chan struct{})
	return v.history.Next(now, restores)
}

// read reads the record. Without one, it returns a zero record and version. A record that
// can't be decoded is one that is not complete.
func (v *softwareVersions) read(ctx context.Context) (r resume.Record, version metastore.Version, restores uint64, err error) {
	o, err := v.s.o.Store.Get(ctx, softwareKey)
	// Read after the response: a record of an older era must not count for a newer one.
	restores = v.s.o.Restores()
	var none *metastore.NotFoundError
	switch {
	case errors.As(err, &none):
		return resume.Record{}, 0, restores, nil
	case err != nil:
		return resume.Record{}, 0, 0, fmt.Errorf("read software versions: %w", err)
	}
	if err := json.Unmarshal(o.Value, &r); err != nil || r.Versions == nil {
		v.s.o.Logger.WithError(err).Warn("record of software versions malformed, replaced")
		r = resume.Record{Versions: make(map[ident.Upstream][]string)}
	}
	return r, o.Version, restores, nil
}
