package originstore

import "fmt"

// LengthError reports keys of streams that are cut off.
type LengthError struct{ Bytes int }

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("keys of streams take %d bytes, not a multiple of %d", e.Bytes, keyBytes)
}

// FullError reports streams that are not stored, since too many wait for it.
type FullError struct{ Streams int }

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d streams not stored, too many wait", e.Streams)
}
