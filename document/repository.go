package document

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/persist"
)

// maxRecords is the maximum number of audit records in an envelope.
const maxRecords = 8

// Repository reads and writes the documents of environments. It is safe for
// concurrent use, by several processes as well.
type Repository struct{ o Options }

// New returns a repository.
func New(o Options) *Repository {
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = rand.Text
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	return &Repository{o: o}
}

// Read returns a document. If there is none, the returned version is zero.
func (r *Repository) Read(ctx context.Context, e ident.Environment, s Stage) (Stored, error) {
	return r.readAtLeast(ctx, Key(e, s), 0)
}

// readAtLeast reads a document that is known to have reached version v.
func (r *Repository) readAtLeast(ctx context.Context, key string, v metastore.Version) (Stored, error) {
	o, err := persist.GetAtLeast(ctx, r.o.Store, key, v)
	if err != nil {
		return Stored{}, fmt.Errorf("read document: %w", err)
	}
	if o.Version == 0 {
		return Stored{}, nil
	}
	e, err := decodeEnvelope(o.Value)
	if err != nil {
		return Stored{}, err
	}
	return Stored{Envelope: e, Version: o.Version}, nil
}

// Apply stores a new text if the document is still at the version that the
// operator read. It returns a *config.InvalidError for an invalid text, a
// *ConflictError if another operator changed the document meanwhile, and an
// *UnknownOutcomeError if the write may have taken effect, for example because the
// platform stays unavailable.
func (r *Repository) Apply(ctx context.Context, u Update) (Accepted, error) {
	return r.update(ctx, u, audit.ActionApply)
}

// Promote stores the unchanged text of the trial document in production. In
// addition to the errors of Apply, it returns a *DigestError if the trial document
// has a different digest and a *NotFoundError if there is no trial document.
func (r *Repository) Promote(ctx context.Context, p Promotion) (Accepted, error) {
	trial, err := r.Read(ctx, p.Environment, StageTrial)
	if err != nil {
		return Accepted{}, err
	}
	if trial.Version == 0 {
		return Accepted{}, &NotFoundError{Environment: p.Environment, Stage: StageTrial}
	}
	if got := Digest(trial.Text); got != p.Digest {
		return Accepted{}, &DigestError{Want: p.Digest, Got: got}
	}
	u := Update{
		Environment: p.Environment,
		Stage:       StageProduction,
		Text:        trial.Text,
		Actor:       p.Actor,
		Reason:      p.Reason,
		Base:        p.Base,
	}
	return r.update(ctx, u, audit.ActionPromote)
}

func (r *Repository) update(ctx context.Context, u Update, action audit.Action) (Accepted, error) {
	d, err := config.ReadDocument(u.Text)
	if err != nil {
		return Accepted{}, err
	}
	if d.Environment != u.Environment {
		return Accepted{}, &EnvironmentError{Want: u.Environment, Got: d.Environment}
	}
	w := &write{repository: r, update: u, document: d, key: Key(u.Environment, u.Stage), action: action}
	ctx, cancel := context.WithTimeout(ctx, r.o.WriteTimeout)
	defer cancel()
	return w.run(ctx)
}

// Repair copies the audit records that were not copied due to a crash, and returns
// how many it tried to copy.
func (r *Repository) Repair(ctx context.Context, e ident.Environment) (int, error) {
	copied := 0
	for _, s := range []Stage{StageProduction, StageTrial} {
		stored, err := r.Read(ctx, e, s)
		if err != nil {
			return copied, err
		}
		for _, record := range stored.records() {
			exists, err := audit.Exists(ctx, r.o.Store, record)
			if err == nil && !exists {
				err = audit.Write(ctx, r.o.Store, record)
				copied++
			}
			if err != nil {
				return copied, err
			}
		}
	}
	return copied, nil
}

func encodeEnvelope(e Envelope) ([]byte, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return value, nil
}
