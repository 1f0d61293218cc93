package config

import "fmt"

// MaxDocumentBytes is the largest document or settings file, in bytes. A stored
// document leaves room for what is kept beside it.
const MaxDocumentBytes = 512 << 10

// SizeError reports text over MaxDocumentBytes.
type SizeError struct{ Bytes int }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("text has %d bytes, more than %d", e.Bytes, MaxDocumentBytes)
}
