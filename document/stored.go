package document

import (
	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/metastore"
)

// Stored is a document as stored. A Version of zero means that there is none.
type Stored struct {
	Envelope
	Version metastore.Version
}

// records returns the audit records. The last one gets the version of the document,
// which was not known when it was written.
func (s Stored) records() []audit.Record {
	records := append([]audit.Record(nil), s.Records...)
	if len(records) > 0 {
		records[len(records)-1].Version = s.Version
	}
	return records
}

// recent returns the ids of the latest writes, including this one, oldest first.
func (s Stored) recent() []string {
	if s.Version == 0 {
		return nil
	}
	ids := append(append([]string(nil), s.Recent...), s.ID)
	return ids[max(0, len(ids)-maxRecentIDs):]
}
