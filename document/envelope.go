package document

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
)

// maxRecentIDs is the maximum number of ids in Envelope.Recent.
const maxRecentIDs = 32

// Envelope is the stored value of a document.
type Envelope struct {
	// ID identifies the write, so that its writer recognizes it if the response was
	// lost.
	ID     string    `json:"id"`
	Actor  string    `json:"actor"`
	Time   time.Time `json:"time"`
	Digest string    `json:"digest"`
	// Previous is the version that was replaced.
	Previous metastore.Version `json:"previous"`
	// Recent lists the ids of the writes before this one, oldest first.
	Recent []string `json:"recent,omitempty"`
	// Text is the document as the operator wrote it, comments included.
	Text []byte `json:"text"`
	// Records are audit records, oldest first. The last one describes this write;
	// the others could not be copied before it.
	Records []audit.Record `json:"records"`
}

// Parse parses and validates the document. A text that does not match its digest
// is a *DigestError.
func (e *Envelope) Parse() (config.Document, error) {
	if got := Digest(e.Text); got != e.Digest {
		return config.Document{}, &DigestError{Want: e.Digest, Got: got}
	}
	return config.ReadDocument(e.Text)
}

// decodeEnvelope decodes the value of an object.
func decodeEnvelope(value []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(value, &e); err != nil {
		return Envelope{}, fmt.Errorf("decode stored document: %w", err)
	}
	return e, nil
}
