package document

import (
	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/metastore"
)

// Stored is a stored document. A Version of zero means that there is none.
type Stored struct {
	Envelope
	Version metastore.Version
}

// records returns the audit records with their versions.
func (s Stored) records() []audit.Record {
	records := append([]audit.Record(nil), s.Records...)
	if len(records) > 0 {
		records[len(records)-1].Version = s.Version
	}
	return records
}

// recent lists the ids of the latest writes, this one included.
func (s Stored) recent() []string {
	if s.Version == 0 {
		return nil
	}
	ids := append(append([]string(nil), s.Recent...), s.ID)
	return ids[max(0, len(ids)-maxRecent):]
}
