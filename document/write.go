package document

import (
	"context"
	"errors"
	"slices"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/persist"
)

// write is one request of an operator to replace a document.
type write struct {
	repository *Repository
	update     Update
	document   config.Document
	key        string
	action     audit.Action
	base       Stored
	envelope   Envelope
}

// run replaces the document if it is still at the base version. Retrying the put is
// safe: its condition lets at most one of the puts take effect.
func (w *write) run(ctx context.Context) (Accepted, error) {
	base, err := persist.Retry(ctx, func() (Stored, error) { return w.repository.readAtLeast(ctx, w.key, w.update.Base) })
	if err != nil {
		return Accepted{}, err
	}
	if base.Version != w.update.Base {
		return Accepted{}, w.conflictWith(base)
	}
	w.base = base
	if err := w.prepare(ctx); err != nil {
		return Accepted{}, err
	}
	value, err := encodeEnvelope(w.envelope)
	if err != nil {
		return Accepted{}, err
	}
	accepted, err := persist.Retry(ctx, func() (Accepted, error) { return w.put(ctx, value) })
	var unknown *UnknownOutcomeError
	if errors.As(err, &unknown) {
		return Accepted{}, err
	}
	if persist.Transient(err) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return Accepted{}, &UnknownOutcomeError{Err: err}
	}
	return accepted, err
}

// prepare copies the audit records of earlier writes and builds the envelope, which
// holds those that could not be copied.
func (w *write) prepare(ctx context.Context) error {
	o, base := w.repository.o, w.base
	w.envelope = Envelope{
		ID:       o.NewID(),
		Actor:    w.update.Actor,
		Time:     o.Now(),
		Digest:   Digest(w.update.Text),
		Previous: base.Version,
		Recent:   base.recent(),
		Text:     w.update.Text,
		Records:  w.copyRecords(ctx, base),
	}
	if len(w.envelope.Records) >= maxRecords {
		return &BacklogError{Records: len(w.envelope.Records)}
	}
	w.envelope.Records = append(w.envelope.Records, w.auditRecord(base))
	return nil
}

// copyRecords copies the audit records of a document and returns those that could
// not be copied.
func (w *write) copyRecords(ctx context.Context, s Stored) []audit.Record {
	o := w.repository.o
	var failed []audit.Record
	for _, r := range s.records() {
		if err := audit.Write(ctx, o.Store, r); err != nil {
			o.Logger.WithError(err).Warn("audit record copy failed")
			failed = append(failed, r)
		}
	}
	return failed
}

// auditRecord returns the audit record of this write.
func (w *write) auditRecord(base Stored) audit.Record {
	r := audit.Record{
		ID:          w.envelope.ID,
		Time:        w.envelope.Time,
		Environment: w.update.Environment,
		Actor:       w.update.Actor,
		Action:      w.action,
		Subject:     w.key,
		Reason:      w.update.Reason,
		Previous:    base.Version,
		Digest:      w.envelope.Digest,
	}
	r.SetChanges(w.changesFrom(base))
	return r
}

// changesFrom returns the differences from a stored document to the new one. A
// stored document that cannot be parsed is treated as empty.
func (w *write) changesFrom(s Stored) []config.Change {
	var before config.Document
	if s.Version != 0 {
		before, _ = s.Parse()
	}
	return config.Diff(before, w.document)
}

// put attempts the write once and resolves a conflict.
func (w *write) put(ctx context.Context, value []byte) (Accepted, error) {
	v, err := w.repository.o.Store.Put(ctx, w.key, value, w.update.Base)
	if err == nil {
		return w.finish(ctx, v), nil
	}
	var conflict *metastore.ConflictError
	if !errors.As(err, &conflict) {
		return Accepted{}, err
	}
	current, err := w.repository.readAtLeast(ctx, w.key, conflict.Actual)
	if err != nil {
		return Accepted{}, err
	}
	return w.resolveConflict(ctx, current)
}

// finish copies the audit records of the write and returns its result. Records that
// cannot be copied stay in the envelope.
func (w *write) finish(ctx context.Context, v metastore.Version) Accepted {
	w.copyRecords(ctx, Stored{Envelope: w.envelope, Version: v})
	return Accepted{Version: v, Digest: w.envelope.Digest}
}

// resolveConflict finds out from the stored document whether an earlier put of this
// write took effect although its response was lost. The stored envelope lists the ids
// of the writes before its own. If that list no longer reaches back to the base
// version, the outcome is unknown.
func (w *write) resolveConflict(ctx context.Context, current Stored) (Accepted, error) {
	switch {
	case current.ID == w.envelope.ID:
		return w.finish(ctx, current.Version), nil
	case slices.Contains(current.Recent, w.envelope.ID):
		return Accepted{Digest: w.envelope.Digest, Superseded: true}, nil
	case len(current.Recent) < maxRecentIDs || slices.Contains(current.Recent, w.base.ID):
		return Accepted{}, w.conflictWith(current)
	default:
		return Accepted{}, &UnknownOutcomeError{Err: w.conflictWith(current)}
	}
}

func (w *write) conflictWith(current Stored) error {
	return &ConflictError{
		Base:    w.update.Base,
		Version: current.Version,
		Actor:   current.Actor,
		Time:    current.Time,
		Changes: w.changesFrom(current),
	}
}
