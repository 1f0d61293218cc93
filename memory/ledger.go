package memory

import "github.com/laureltally/laureltally/ident"

// Reservations is the set of reservations of one engine. It is not safe for
// concurrent use.
type Reservations struct {
	capacityMB int64
	usedMB     int64
	held       map[Key]int64
}

// New returns an empty ledger over capacityMB MiB.
func New(capacityMB int64) *Reservations {
	return &Reservations{capacityMB: capacityMB, held: make(map[Key]int64)}
}

// SetCapacity replaces the capacity. Reservations stay, so the ledger may be
// over a lowered capacity; nothing more is reserved until it is not.
func (l *Reservations) SetCapacity(capacityMB int64) { l.capacityMB = capacityMB }

// Reserve sets mb MiB aside for k, or fails with *ShortError and changes
// nothing. Reserving a held key again grows it to mb if mb is larger.
func (l *Reservations) Reserve(k Key, mb int64) error {
	more := mb - l.held[k]
	if _, ok := l.held[k]; ok && more <= 0 {
		return nil
	}
	if free := l.capacityMB - l.usedMB; mb < 0 || more > free {
		return &ShortError{Key: k, NeedMB: mb, FreeMB: max(free, 0)}
	}
	l.set(k, mb)
	return nil
}

// RecordUsed records memory that the engine is known to use already, whether or not
// it fits.
func (l *Reservations) RecordUsed(k Key, mb int64) { l.set(k, max(mb, l.held[k])) }

// Release drops the reservation of k. The engine must have confirmed that k is
// unloaded and that no order can still load it.
func (l *Reservations) Release(k Key) {
	l.usedMB -= l.held[k]
	delete(l.held, k)
}

// Has tells whether k is reserved.
func (l *Reservations) Has(k Key) bool {
	_, ok := l.held[k]
	return ok
}

// ReservedMB returns the reservation of k in MiB, zero if there is none.
func (l *Reservations) ReservedMB(k Key) int64 { return l.held[k] }

// Keys returns the held keys of model m, in no particular order.
func (l *Reservations) Keys(m ident.Model) []Key {
	var keys []Key
	for k := range l.held {
		if k.Model == m {
			keys = append(keys, k)
		}
	}
	return keys
}

// Models returns the models of which anything is held, in no particular order.
func (l *Reservations) Models() []ident.Model {
	seen := make(map[ident.Model]bool)
	var models []ident.Model
	for k := range l.held {
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

// FreeMB returns how much could still be reserved, in MiB; never negative.
func (l *Reservations) FreeMB() int64 { return max(l.capacityMB-l.usedMB, 0) }

func (l *Reservations) set(k Key, mb int64) {
	l.usedMB += mb - l.held[k]
	l.held[k] = mb
}
