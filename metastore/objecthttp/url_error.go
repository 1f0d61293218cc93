package objecthttp

import "fmt"

// URLError reports a base URL that is not an absolute HTTP URL.
type URLError struct{ URL string }

// Error implements error.
func (e *URLError) Error() string { return fmt.Sprintf("%q is not an absolute HTTP URL", e.URL) }
