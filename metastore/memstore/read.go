package memstore

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/laureltally/laureltally/metastore"
)

// Get implements metastore.Store.
func (s *Store) Get(ctx context.Context, key string) (metastore.Object, error) {
	if err := s.admit(ctx, "get", s.reads); err != nil {
		return metastore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Reads++
	at := s.readVersion()
	o := s.objects[key]
	for _, c := range slices.Backward(s.history) {
		if c.event.Object.Version <= at {
			break
		}
		if c.event.Object.Key == key {
			o = c.previous
		}
	}
	if o.Version == 0 {
		return metastore.Object{}, &metastore.NotFoundError{Key: key}
	}
	return clone(o), nil
}

// List implements metastore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]metastore.Object, metastore.Version, error) {
	if err := s.admit(ctx, "list", s.reads); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Reads++
	at := s.readVersion()
	objects := s.stateAt(at)
	var found []metastore.Object
	for _, key := range slices.Sorted(maps.Keys(objects)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, clone(objects[key]))
		}
	}
	return found, at, nil
}

// readVersion returns the version that a read reflects, which is random within
// the bounds of the faults. The caller holds mu.
func (s *Store) readVersion() metastore.Version {
	age := s.faults.StaleMin
	if spread := s.faults.StaleMax - s.faults.StaleMin; spread > 0 {
		age += s.random.IntN(spread + 1)
	}
	return s.version - min(metastore.Version(age), s.version-s.compacted)
}

// stateAt returns the objects as of the version at. The caller holds mu.
func (s *Store) stateAt(at metastore.Version) map[string]metastore.Object {
	if at == s.version {
		return s.objects
	}
	objects := maps.Clone(s.objects)
	for _, c := range slices.Backward(s.history) {
		if c.event.Object.Version <= at {
			break
		}
		if c.previous.Version == 0 {
			delete(objects, c.event.Object.Key)
		} else {
			objects[c.previous.Key] = c.previous
		}
	}
	return objects
}

func clone(o metastore.Object) metastore.Object {
	o.Value = bytes.Clone(o.Value)
	return o
}
