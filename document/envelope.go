package document

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
)

// maxRecent is how many ids an envelope lists.
const maxRecent = 32

// Envelope is the stored value of a document.
type Envelope struct {
	// ID names the write, so that its writer knows it again after an answer was
	// lost.
	ID     string    `json:"id"`
	Actor  string    `json:"actor"`
	Time   time.Time `json:"time"`
	Digest string    `json:"digest"`
	// Previous is the version that was replaced.
	Previous metastore.Version `json:"previous"`
	// Recent lists the ids of the writes before this one, the last one last.
	Recent []string `json:"recent,omitempty"`
	// Text is the document as the operator wrote it, comments included.
	Text []byte `json:"text"`
	// Records are audit records, oldest first. The last one tells of this write;
	// the others could not be copied before it.
	Records []audit.Record `json:"records"`
}

// Parse reads and checks the document. Text that doesn't fit its digest is a
// *DigestError.
func (e *Envelope) Parse() (config.Document, error) {
	if got := Digest(e.Text); got != e.Digest {
		return config.Document{}, &DigestError{Want: e.Digest, Got: got}
	}
	return config.ReadDocument(e.Text)
}

// decodeEnvelope reads a stored value.
func decodeEnvelope(value []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(value, &e); err != nil {
		return Envelope{}, fmt.Errorf("stored document: %w", err)
	}
	return e, nil
}
