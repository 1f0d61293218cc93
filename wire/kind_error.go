package wire

import "fmt"

// KindError reports a message of an unknown or unexpected kind.
type KindError struct{ Kind Kind }

// Error implements error.
func (e *KindError) Error() string { return fmt.Sprintf("unexpected message of kind %d", e.Kind) }
