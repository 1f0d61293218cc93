package wire

import "fmt"

// KindError reports a message that the reader did not expect.
type KindError struct{ Kind Kind }

// Error implements error.
func (e *KindError) Error() string { return fmt.Sprintf("unexpected message of kind %d", e.Kind) }
