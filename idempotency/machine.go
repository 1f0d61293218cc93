package idempotency

import (
	"maps"
	"time"

	"github.com/laureltally/laureltally/metastore"
)

// maxUnansweredWrites is the number of consecutive writes without a response
// after which the pending operations fail.
const maxUnansweredWrites = 3

// machine is the pure state machine of one bucket object. Its driver reports
// events, carries out the action that next returns, one at a time, and passes
// the results to the callers.
//
// Invariant: an operation succeeds only if a version of the object with its
// attempt existed. Success follows either from the response to the conditional
// write that recorded the attempt, or from a read that found it.
type machine struct {
	opts machineOptions

	loaded  bool
	version metastore.Version
	table   table

	queue []operation
	// batch holds the operations of the write in flight, and staged the table
	// that it writes.
	batch        []operation
	staged       table
	callInFlight bool

	// retries counts the writes since the last one that took effect, and
	// unansweredWrites those of them without a response.
	retries          int
	unansweredWrites int
	results          []result
}

func newMachine(o machineOptions) *machine { return &machine{opts: o} }

// add queues an operation.
func (m *machine) add(o operation) { m.queue = append(m.queue, o) }

// remove removes a queued operation whose caller no longer waits. If its write
// is in flight, the record may still be stored.
func (m *machine) remove(id uint64) {
	for i, o := range m.queue {
		if o.id == id {
			m.queue = append(m.queue[:i:i], m.queue[i+1:]...)
			return
		}
	}
}

// setWindow sets the environment's claim window.
func (m *machine) setWindow(d time.Duration) { m.opts.window = d }

// takeResults returns the results since the last call.
func (m *machine) takeResults() []result {
	r := m.results
	m.results = nil
	return r
}

// idle reports whether no operation is queued and no call is in flight.
func (m *machine) idle() bool { return !m.callInFlight && len(m.queue) == 0 }

// forget discards the object while the machine is idle: by the time of the next
// operation another router has probably written it, and a write to an outdated
// version costs two additional calls, one of them the failed write.
func (m *machine) forget() { m.loaded, m.table = false, nil }

// next returns the next action. It returns none while one is in progress.
func (m *machine) next(now time.Time) action {
	if m.callInFlight || len(m.queue) == 0 {
		return action{}
	}
	if !m.loaded {
		m.callInFlight = true
		return action{read: true}
	}
	m.stage(now)
	if len(m.batch) == 0 {
		return action{}
	}
	value, err := m.encodeWithinLimit(now)
	if err != nil {
		m.failBatch(err)
		return action{}
	}
	if len(m.batch) == 0 {
		return action{}
	}
	m.callInFlight = true
	return action{write: true, value: value, expect: m.version}
}

// readDone handles a successful read. Version zero means that there is no
// object.
func (m *machine) readDone(version metastore.Version, value []byte) {
	m.callInFlight = false
	t, err := decodeTable(m.opts.objectKey, value)
	if err != nil {
		m.failQueue(err)
		return
	}
	m.loaded, m.version, m.table = true, version, t
}

// readFailed handles a read without a response. All queued operations fail, so
// that their callers learn without delay that the platform is unavailable.
func (m *machine) readFailed(err error) {
	m.callInFlight = false
	m.failQueue(err)
}

// writeDone handles a write that took effect.
func (m *machine) writeDone(version metastore.Version) {
	m.callInFlight = false
	m.retries, m.unansweredWrites = 0, 0
	m.version, m.table = version, m.staged
	for _, o := range m.batch {
		m.finish(o, nil, nil)
	}
	m.batch, m.staged = nil, nil
}

// writeConflict handles a write whose condition did not hold.
func (m *machine) writeConflict() {
	m.retries++
	m.requeue()
}

// writeUnknown handles a write without a response, which may have taken effect
// or may still do so. The object is read again: an operation whose attempt is
// recorded has succeeded; the others are retried on the version read, so that
// the first write can no longer take effect once the second one has.
func (m *machine) writeUnknown(err error) {
	if m.opts.skipReread {
		m.writeDone(m.version)
		return
	}
	m.retries++
	m.unansweredWrites++
	if m.unansweredWrites < maxUnansweredWrites {
		m.requeue()
		return
	}
	m.unansweredWrites = 0
	m.requeue()
	m.failQueue(err)
}

func (m *machine) requeue() {
	m.callInFlight = false
	m.loaded = false
	m.queue = append(m.batch, m.queue...)
	m.batch, m.staged = nil, nil
}

// stage finishes the operations that need no write and moves the others from
// the queue to the batch. Of several operations on one key only the first is
// staged; the others stay queued and see its result.
func (m *machine) stage(now time.Time) {
	m.staged = maps.Clone(m.table)
	m.staged.expire(now, m.opts.window)
	stagedKeys := make(map[digest]bool)
	var deferred []operation
	for _, o := range m.queue {
		switch {
		case stagedKeys[o.key]:
			deferred = append(deferred, o)
		case m.apply(now, o):
			stagedKeys[o.key] = true
			m.batch = append(m.batch, o)
		}
	}
	m.queue = deferred
}

// apply applies the operation to staged, or finishes it and returns false.
func (m *machine) apply(now time.Time, o operation) bool {
	r, ok := m.staged[o.key]
	switch {
	case o.kind == opRelease:
		return m.applyRelease(o, r, ok)
	case o.kind == opLookup && lookupFindsNone(o, r, ok):
		// The write changes nothing. That it takes effect proves that the table
		// was not outdated.
		return true
	case ok && r.Attempt == o.attempt && r.Phase == phaseClaimed:
		m.finish(o, nil, nil)
		return false
	case ok && r.Phase == phaseExpired:
		m.finish(o, nil, &ExpiredError{Age: r.age(now), Window: m.opts.window})
		return false
	case ok && string(r.Fingerprint) != string(o.fingerprint[:]):
		m.finish(o, nil, &KeyReusedError{})
		return false
	case ok && !m.claimable(o, r):
		m.finish(o, &r, nil)
		return false
	}
	claimed := now.Unix()
	if ok {
		claimed = r.Claimed
	}
	m.staged[o.key] = record{
		Key: o.key, Fingerprint: o.fingerprint[:], Attempt: o.attempt,
		VM: o.target.VM, Incarnation: o.target.Incarnation,
		Claimed: claimed, Phase: phaseClaimed,
	}
	return true
}

// claimable reports whether the operation may take over the key: either the key
// was released, or the operation moves the key and the record still holds the
// attempt that was rejected as not run.
func (m *machine) claimable(o operation, r record) bool {
	if r.Phase == phaseReleased {
		return true
	}
	if m.opts.blindMove {
		return o.kind == opMove
	}
	return o.kind == opMove && r.Attempt == o.from
}

// lookupFindsNone reports whether the key is not held by any attempt, other
// than one known not to have run.
func lookupFindsNone(o operation, r record, ok bool) bool {
	return !ok || r.Phase == phaseReleased || r.Phase == phaseClaimed && r.Attempt == o.from
}

func (m *machine) applyRelease(o operation, r record, ok bool) bool {
	if !ok || r.Phase != phaseClaimed || r.Attempt != o.from {
		m.finish(o, nil, nil)
		return false
	}
	r.Phase = phaseReleased
	m.staged[o.key] = r
	return true
}

// encodeWithinLimit encodes staged. New records that do not fit are rejected,
// the newest first.
func (m *machine) encodeWithinLimit(now time.Time) ([]byte, error) {
	value, err := m.staged.encode()
	if err != nil || len(value) <= m.opts.maxBytes {
		return value, err
	}
	overflow := &BucketFullError{Bucket: m.opts.bucket, RetryAfter: m.staged.untilSpace(now, m.opts.window)}
	for i := len(m.batch) - 1; i >= 0 && len(value) > m.opts.maxBytes; i-- {
		o := m.batch[i]
		if _, held := m.table[o.key]; held || o.kind == opLookup {
			continue
		}
		m.batch = append(m.batch[:i:i], m.batch[i+1:]...)
		delete(m.staged, o.key)
		m.finish(o, nil, overflow)
		if value, err = m.staged.encode(); err != nil {
			return nil, err
		}
	}
	if len(value) > metastore.MaxValueBytes {
		return nil, overflow
	}
	return value, nil
}

func (m *machine) failBatch(err error) {
	for _, o := range m.batch {
		m.finish(o, nil, err)
	}
	m.batch, m.staged = nil, nil
}

func (m *machine) failQueue(err error) {
	m.loaded = false
	for _, o := range m.queue {
		m.finish(o, nil, err)
	}
	m.queue = nil
}

func (m *machine) finish(o operation, holder *record, err error) {
	m.results = append(m.results, result{id: o.id, holder: holder, err: err})
}
