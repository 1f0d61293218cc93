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
func (r *Reservations) SetCapacity(capacityMB int64) { r.capacityMB = capacityMB }

// Reserve reserves mb MiB for k. It fails with *InsufficientMemoryError and
// then changes nothing. Reserving a key again grows its reservation to mb if mb
// is larger.
func (r *Reservations) Reserve(k Key, mb int64) error {
	additional := mb - r.reservedMB[k]
	if _, ok := r.reservedMB[k]; ok && additional <= 0 {
		return nil
	}
	if free := r.capacityMB - r.usedMB; mb < 0 || additional > free {
		return &InsufficientMemoryError{Key: k, NeedMB: mb, FreeMB: max(free, 0)}
	}
	r.set(k, mb)
	return nil
}

// RecordUsed records memory that the engine already uses, whether or not it
// fits into the capacity.
func (r *Reservations) RecordUsed(k Key, mb int64) { r.set(k, max(mb, r.reservedMB[k])) }

// Release removes the reservation of k. The engine must have confirmed that k
// is unloaded, and no order may still load it.
func (r *Reservations) Release(k Key) {
	r.usedMB -= r.reservedMB[k]
	delete(r.reservedMB, k)
}

// Has reports whether k is reserved.
func (r *Reservations) Has(k Key) bool {
	_, ok := r.reservedMB[k]
	return ok
}

// ReservedMB returns the reservation of k in MiB, zero if there is none.
func (r *Reservations) ReservedMB(k Key) int64 { return r.reservedMB[k] }

// Keys returns the reserved keys of model m, in no particular order.
func (r *Reservations) Keys(m ident.Model) []Key {
	var keys []Key
	for k := range r.reservedMB {
		if k.Model == m {
			keys = append(keys, k)
		}
	}
	return keys
}

// Models returns the models that have a reservation, in no particular order.
func (r *Reservations) Models() []ident.Model {
	seen := make(map[ident.Model]bool)
	var models []ident.Model
	for k := range r.reservedMB {
		if !seen[k.Model] {
			seen[k.Model] = true
			models = append(models, k.Model)
		}
	}
	return models
}

// CapacityMB returns the capacity in MiB.
func (r *Reservations) CapacityMB() int64 { return r.capacityMB }

// UsedMB returns the sum of all reservations in MiB.
func (r *Reservations) UsedMB() int64 { return r.usedMB }

// FreeMB returns the memory that can still be reserved, in MiB. It is never
// negative.
func (r *Reservations) FreeMB() int64 { return max(r.capacityMB-r.usedMB, 0) }

func (r *Reservations) set(k Key, mb int64) {
	r.usedMB += mb - r.reservedMB[k]
	r.reservedMB[k] = mb
}
