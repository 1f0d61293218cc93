package idempotency

import (
	"maps"
	"time"

	"github.com/laureltally/laureltally/metastore"
)

// maxLost is how many writes in a row may get no answer before their ops are
// given up.
const maxLost = 3

// machine decides what happens to one bucket object: a pure state machine. Its
// driver passes in events, carries out the action that next returns, one at a
// time, and hands the results to whoever waits for them.
//
// Invariant: an op is settled as done only if a version of the object that named
// its attempt existed. It holds because done follows either the answer to the
// conditional write that put the attempt there, or a read that found it there.
type machine struct {
	opts machineOptions

	known   bool
	version metastore.Version
	table   table

	queue []op
	// batch is in the write in flight, which makes staged of the object.
	batch  []op
	staged table
	busy   bool

	// retries counts the writes since the last one that took effect, and lost
	// those of them that got no answer.
	retries int
	lost    int
	results []result
}

func newMachine(o machineOptions) *machine { return &machine{opts: o} }

// add queues an op.
func (m *machine) add(o op) { m.queue = append(m.queue, o) }

// drop forgets an op that nobody waits for any more. If its write is in flight
// the claim may land all the same.
func (m *machine) drop(id uint64) {
	for i, o := range m.queue {
		if o.id == id {
			m.queue = append(m.queue[:i:i], m.queue[i+1:]...)
			return
		}
	}
}

// setWindow follows a change of the environment's claim window.
func (m *machine) setWindow(d time.Duration) { m.opts.window = d }

// take returns the results since the last call.
func (m *machine) take() []result {
	r := m.results
	m.results = nil
	return r
}

// idle tells whether the machine waits for nothing.
func (m *machine) idle() bool { return !m.busy && len(m.queue) == 0 }

// rest forgets the object while nothing waits for it: by the next op another
// router has probably written it, and a write on an old version costs two calls
// more, one in vain.
func (m *machine) rest() { m.known, m.table = false, nil }

// next returns the action to carry out now. None is returned while one is in
// progress.
func (m *machine) next(now time.Time) action {
	if m.busy || len(m.queue) == 0 {
		return action{}
	}
	if !m.known {
		m.busy = true
		return action{read: true}
	}
	m.stage(now)
	if len(m.batch) == 0 {
		return action{}
	}
	value, err := m.fit(now)
	if err != nil {
		m.failBatch(err)
		return action{}
	}
	if len(m.batch) == 0 {
		return action{}
	}
	m.busy = true
	return action{write: true, value: value, expect: m.version}
}

// loaded reports the object as a read found it. Version zero means that there is
// none.
func (m *machine) loaded(version metastore.Version, value []byte) {
	m.busy = false
	t, err := decodeTable(m.opts.object, value)
	if err != nil {
		m.failQueue(err)
		return
	}
	m.known, m.version, m.table = true, version, t
}

// readFailed reports a read without an answer. All that wait are given up, so
// that their callers learn at once that the platform is away.
func (m *machine) readFailed(err error) {
	m.busy = false
	m.failQueue(err)
}

// wrote reports that the write took effect.
func (m *machine) wrote(version metastore.Version) {
	m.busy = false
	m.retries, m.lost = 0, 0
	m.version, m.table = version, m.staged
	for _, o := range m.batch {
		m.settle(o, nil, nil)
	}
	m.batch, m.staged = nil, nil
}

// conflicted reports that the write's condition did not hold.
func (m *machine) conflicted() {
	m.retries++
	m.requeue()
}

// unanswered reports a write of which it is not known whether it took effect or
// still will. The object is read again: an op whose attempt is in it is done;
// the others are tried again on the version read, which keeps the first write
// from landing later if the second one does.
func (m *machine) unanswered(err error) {
	if m.opts.skipReread {
		m.wrote(m.version)
		return
	}
	m.retries++
	m.lost++
	if m.lost < maxLost {
		m.requeue()
		return
	}
	m.lost = 0
	m.requeue()
	m.failQueue(err)
}

func (m *machine) requeue() {
	m.busy = false
	m.known = false
	m.queue = append(m.batch, m.queue...)
	m.batch, m.staged = nil, nil
}

// stage settles the ops that need no write and moves the others from the queue
// to the batch. Of several ops on one key only the first is staged; the others
// see what came of it.
func (m *machine) stage(now time.Time) {
	m.staged = maps.Clone(m.table)
	m.staged.expire(now, m.opts.window)
	touched := make(map[digest]bool)
	var later []op
	for _, o := range m.queue {
		switch {
		case touched[o.key]:
			later = append(later, o)
		case m.apply(now, o):
			touched[o.key] = true
			m.batch = append(m.batch, o)
		}
	}
	m.queue = later
}

// apply makes the op's change in staged, or settles it and returns false.
func (m *machine) apply(now time.Time, o op) bool {
	e, ok := m.staged[o.key]
	switch {
	case o.kind == opRelease:
		return m.applyRelease(o, e, ok)
	case o.kind == opLook && unclaimed(o, e, ok):
		// The write changes nothing. That it takes effect proves that the
		// table is not an old one.
		return true
	case ok && e.Attempt == o.attempt && e.Phase == phaseClaimed:
		m.settle(o, nil, nil)
		return false
	case ok && e.Phase == phaseExpired:
		m.settle(o, nil, &ExpiredError{Age: e.age(now), Window: m.opts.window})
		return false
	case ok && string(e.Fingerprint) != string(o.fingerprint[:]):
		m.settle(o, nil, &KeyReusedError{})
		return false
	case ok && !m.free(o, e):
		m.settle(o, &e, nil)
		return false
	}
	claimed := now.Unix()
	if ok {
		claimed = e.Claimed
	}
	m.staged[o.key] = entry{
		Key: o.key, Fingerprint: o.fingerprint[:], Attempt: o.attempt,
		VM: o.target.VM, Incarnation: o.target.Incarnation,
		Claimed: claimed, Phase: phaseClaimed,
	}
	return true
}

// free tells whether the op may take the claim over: it was released, or it
// still names the very attempt that the op knows was not run.
func (m *machine) free(o op, e entry) bool {
	if e.Phase == phaseReleased {
		return true
	}
	if m.opts.blindMove {
		return o.kind == opMove
	}
	return o.kind == opMove && e.Attempt == o.from
}

// unclaimed tells whether nobody holds the key but an attempt that was not run.
func unclaimed(o op, e entry, ok bool) bool {
	return !ok || e.Phase == phaseReleased || e.Phase == phaseClaimed && e.Attempt == o.from
}

func (m *machine) applyRelease(o op, e entry, ok bool) bool {
	if !ok || e.Phase != phaseClaimed || e.Attempt != o.from {
		m.settle(o, nil, nil)
		return false
	}
	e.Phase = phaseReleased
	m.staged[o.key] = e
	return true
}

// fit encodes staged. New claims that do not fit are refused, newest first.
func (m *machine) fit(now time.Time) ([]byte, error) {
	value, err := m.staged.encode()
	if err != nil || len(value) <= m.opts.maxBytes {
		return value, err
	}
	overflow := &BucketFullError{Bucket: m.opts.bucket, RetryAfter: m.staged.relief(now, m.opts.window)}
	for i := len(m.batch) - 1; i >= 0 && len(value) > m.opts.maxBytes; i-- {
		o := m.batch[i]
		if _, held := m.table[o.key]; held || o.kind == opLook {
			continue
		}
		m.batch = append(m.batch[:i:i], m.batch[i+1:]...)
		delete(m.staged, o.key)
		m.settle(o, nil, overflow)
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
		m.settle(o, nil, err)
	}
	m.batch, m.staged = nil, nil
}

func (m *machine) failQueue(err error) {
	m.known = false
	for _, o := range m.queue {
		m.settle(o, nil, err)
	}
	m.queue = nil
}

func (m *machine) settle(o op, found *entry, err error) {
	m.results = append(m.results, result{id: o.id, found: found, err: err})
}
