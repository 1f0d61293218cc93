package config

import "fmt"

// MaxDocumentBytes is the maximum size of a document or settings file, in bytes. It
// leaves room in the stored object for the data that is stored with a document, such
// as audit records.
const MaxDocumentBytes = 512 << 10

// SizeError reports text longer than MaxDocumentBytes.
type SizeError struct{ Bytes int }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("text too long: got %d bytes, limit is %d", e.Bytes, MaxDocumentBytes)
}
