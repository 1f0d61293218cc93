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

// write is one attempt of an operator to replace a document.
type write struct {
	repository *Repository
	update     Update
	document   config.Document
	key        string
	action     audit.Action
	base       Stored
	envelope   Envelope
}

// run replaces the document if it is still at the base. Repeating the put is
// safe: its condition lets at most one of the repetitions take effect.
func (w *write) run(ctx context.Context) (Accepted, error) {
	base, err := persist.Retry(ctx, func() (Stored, error) { return w.repository.readAtLeast(ctx, w.key, w.update.Base) })
	if err != nil {
		return Accepted{}, err
	}
	if base.Version != w.update.Base {
		return Accepted{}, w.lostTo(base)
	}
	w.base = base
	if err := w.prepare(ctx); err != nil {
		return Accepted{}, err
	}
	value, err := encode(w.envelope)
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

// prepare copies the audit records of earlier writes and makes the envelope,
// which keeps those that could not be copied.
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
	w.envelope.Records = append(w.envelope.Records, w.record(base))
	return nil
}

// copyRecords copies the records of a document and returns those that failed.
func (w *write) copyRecords(ctx context.Context, s Stored) []audit.Record {
	o := w.repository.o
	var left []audit.Record
	for _, r := range s.records() {
		if err := audit.Write(ctx, o.Store, r); err != nil {
			o.Logger.WithError(err).Warn("audit record not copied yet")
			left = append(left, r)
		}
	}
	return left
}

// record tells of this write.
func (w *write) record(base Stored) audit.Record {
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

// changesFrom lists what leads from a stored document to the new one. One that
// can't be read counts as empty.
func (w *write) changesFrom(s Stored) []config.Change {
	var before config.Document
	if s.Version != 0 {
		before, _ = s.Parse()
	}
	return config.Diff(before, w.document)
}

// put tries the write once and finds out what a conflict means.
func (w *write) put(ctx context.Context, value []byte) (Accepted, error) {
	v, err := w.repository.o.Store.Put(ctx, w.key, value, w.update.Base)
	if err == nil {
		return w.accept(ctx, v), nil
	}
	var conflict *metastore.ConflictError
	if !errors.As(err, &conflict) {
		return Accepted{}, err
	}
	current, err := w.repository.readAtLeast(ctx, w.key, conflict.Actual)
	if err != nil {
		return Accepted{}, err
	}
	return w.settle(ctx, current)
}

// accept copies the own audit record. If that fails it stays in the envelope.
func (w *write) accept(ctx context.Context, v metastore.Version) Accepted {
	w.copyRecords(ctx, Stored{Envelope: w.envelope, Version: v})
	return Accepted{Version: v, Digest: w.envelope.Digest}
}

// settle tells whether an earlier put took effect whose answer was lost. The
// envelope in place names the writes before it.
func (w *write) settle(ctx context.Context, current Stored) (Accepted, error) {
	switch {
	case current.ID == w.envelope.ID:
		return w.accept(ctx, current.Version), nil
	case slices.Contains(current.Recent, w.envelope.ID):
		return Accepted{Digest: w.envelope.Digest, Superseded: true}, nil
	case len(current.Recent) < maxRecent || slices.Contains(current.Recent, w.base.ID):
		return Accepted{}, w.lostTo(current)
	default:
		return Accepted{}, &UnknownOutcomeError{Err: w.lostTo(current)}
	}
}

func (w *write) lostTo(winner Stored) error {
	return &ConflictError{
		Base:    w.update.Base,
		Version: winner.Version,
		Actor:   winner.Actor,
		Time:    winner.Time,
		Changes: w.changesFrom(winner),
	}
}
