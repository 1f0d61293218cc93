package memstore

import (
	"context"
	"slices"
	"strings"

	"github.com/laureltally/laureltally/metastore"
)

// Watch implements metastore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, since metastore.Version, deliver func(metastore.Event)) error {
	if err := s.admit(ctx, "watch", s.reads); err != nil {
		return err
	}
	s.addWatch(1)
	defer s.addWatch(-1)
	for {
		events, changed, err := s.eventsSince(prefix, since)
		if err != nil {
			return err
		}
		for _, e := range events {
			since = e.Object.Version
			deliver(e)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Store) addWatch(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Watches += n
	if n > 0 {
		s.counters.Reads++
	}
}

// eventsSince returns the changes after since to keys that start with prefix, and
// a channel that is closed at the next change.
func (s *Store) eventsSince(prefix string, since metastore.Version) ([]metastore.Event, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return nil, nil, &metastore.UnavailableError{Op: "watch", Err: &OutageError{}}
	}
	if s.faults.SilentWatches {
		return nil, s.changed, nil
	}
	if since < s.compacted {
		return nil, nil, &metastore.CompactedError{Since: since, Oldest: s.compacted + 1}
	}
	start, _ := slices.BinarySearchFunc(s.history, since+1, func(c change, v metastore.Version) int {
		return int(int64(c.event.Object.Version) - int64(v))
	})
	var events []metastore.Event
	for _, c := range s.history[start:] {
		if strings.HasPrefix(c.event.Object.Key, prefix) {
			e := c.event
			e.Object = clone(e.Object)
			events = append(events, e)
		}
	}
	return events, s.changed, nil
}
