package memory

import "github.com/laureltally/laureltally/ident"

// Reservations is the set of memory reservations of one engine. It is not safe
// for concurrent use.
type Reservations struct {
	capacityMB int64
	usedMB     int64
	reservedMB map[Key]int64
}

// New returns an empty set of reservations with a capacity of capacityMB MiB.
func New(capacityMB int64) *Reservations {
	return &Reservations{capacityMB: capacityMB, reservedMB: make(map[Key]int64)}
}

// SetCapacity replaces the capacity. Existing reservations remain, so their sum
// may exceed a lowered capacity; nothing more is reserved until it no longer
// does.
func (l *Reservations) SetCapacity(capacityMB int64) { l.capacityMB = capacityMB }

// Reserve reserves mb MiB for k. It fails with *InsufficientMemoryError and
// then changes nothing. Reserving a key again grows its reservation to mb if mb
// is larger.
func (l *Reservations) Reserve(k Key, mb int64) error {
	additional := mb - l.reservedMB[k]
	if _, ok := l.reservedMB[k]; ok && additional <= 0 {
		return nil
	}
	if free := l.capacityMB - l.usedMB; mb < 0 || additional > free {
		return &InsufficientMemoryError{Key: k, NeedMB: mb, FreeMB: max(free, 0)}
	}
	l.set(k, mb)
	return nil
}

// RecordUsed records memory that the engine already uses, whether or not it
// fits into the capacity.
func (l *Reservations) RecordUsed(k Key, mb int64) { l.set(k, max(mb, l.reservedMB[k])) }

// Release removes the reservation of k. The engine must have confirmed that k
// is unloaded, and no order may still load it.
func (l *Reservations) Release(k Key) {
	l.usedMB -= l.reservedMB[k]
	delete(l.reservedMB, k)
}

// Has reports whether k is reserved.
func (l *Reservations) Has(k Key) bool {
	_, ok := l.reservedMB[k]
	return ok
}

// ReservedMB returns the reservation of k in MiB, zero if there is none.
func (l *Reservations) ReservedMB(k Key) int64 { return l.reservedMB[k] }

// Keys returns the reserved keys of model m, in no particular order.
func (l *Reservations) Keys(m ident.Model) []Key {
	var keys []Key
	for k := range l.reservedMB {
		if k.Model == m {
			keys = append(keys, k)
		}
	}
	return keys
}

// Models returns the models that have a reservation, in no particular order.
func (l *Reservations) Models() []ident.Model {
	seen := make(map[ident.Model]bool)
	var models []ident.Model
	for k := range l.reservedMB {
		if !seen[k.Model] {
			seen[k.Model] = true
			models = append(models, k.Model)
		}
	}
	return models
}

// CapacityMB returns the capacity in MiB.
func (l *Reservations) CapacityMB() int64 { return l.capacityMB }

// UsedMB returns the sum of all reservations in MiB.
func (l *Reservations) UsedMB() int64 { return l.usedMB }

// FreeMB returns the memory that can still be reserved, in MiB. It is never
// negative.
func (l *Reservations) FreeMB() int64 { return max(l.capacityMB-l.usedMB, 0) }

func (l *Reservations) set(k Key, mb int64) {
	l.usedMB += mb - l.reservedMB[k]
	l.reservedMB[k] = mb
}
