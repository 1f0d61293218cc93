package memstore

import (
	"bytes"
	"context"
	"time"

	"github.com/laureltally/laureltally/metastore"
)

// mutation attempts one conditional write. The caller holds mu.
type mutation func() (metastore.Version, error)

// Put implements metastore.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect metastore.Version) (metastore.Version, error) {
	if len(value) > metastore.MaxValueBytes {
		return 0, &metastore.ValueSizeError{Key: key, Bytes: len(value)}
	}
	value = bytes.Clone(value)
	return s.write(ctx, "put", func() (metastore.Version, error) {
		return s.put(key, value, expect)
	})
}

// Delete implements metastore.Store. Deleting an object that does not exist is a
// *metastore.NotFoundError.
func (s *Store) Delete(ctx context.Context, key string, expect metastore.Version) error {
	_, err := s.write(ctx, "delete", func() (metastore.Version, error) {
		return s.remove(key, expect)
	})
	return err
}

func (s *Store) write(ctx context.Context, op string, m mutation) (metastore.Version, error) {
	if err := s.admit(ctx, op, s.writes); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Writes++
	if s.faults.LateWrites > 0 {
		s.faults.LateWrites--
		time.AfterFunc(s.faults.LateBy, func() { s.applyLate(op, m) })
		return 0, &metastore.UnavailableError{Op: op, Err: &LostResponseError{}}
	}
	v, err := m()
	if err == nil && s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		return 0, &metastore.UnavailableError{Op: op, Err: &LostResponseError{}}
	}
	return v, err
}

func (s *Store) applyLate(op string, m mutation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, err := m()
	s.logger.WithError(err).WithField("op", op).WithField("version", v).Debug("late write attempted")
}

func (s *Store) put(key string, value []byte, expect metastore.Version) (metastore.Version, error) {
	previous := s.objects[key]
	if previous.Version != expect {
		return 0, &metastore.ConflictError{Key: key, Expected: expect, Actual: previous.Version}
	}
	s.version++
	o := metastore.Object{Key: key, Value: value, Version: s.version}
	s.objects[key] = o
	s.record(change{event: metastore.Event{Object: o}, previous: previous})
	return s.version, nil
}

func (s *Store) remove(key string, expect metastore.Version) (metastore.Version, error) {
	previous := s.objects[key]
	if previous.Version == 0 {
		return 0, &metastore.NotFoundError{Key: key}
	}
	if previous.Version != expect {
		return 0, &metastore.ConflictError{Key: key, Expected: expect, Actual: previous.Version}
	}
	s.version++
	delete(s.objects, key)
	o := metastore.Object{Key: key, Version: s.version}
	s.record(change{event: metastore.Event{Object: o, Deleted: true}, previous: previous})
	return s.version, nil
}

// record appends a change to the history and wakes all watches. It discards the
// older half of the history when that has grown to twice its limit.
func (s *Store) record(c change) {
	s.history = append(s.history, c)
	if len(s.history) >= 2*s.historyLimit {
		excess := len(s.history) - s.historyLimit
		s.compacted = s.history[excess-1].event.Object.Version
		s.history = append([]change(nil), s.history[excess:]...)
	}
	s.broadcast()
}
