package main

import "fmt"

// invalidFilesError reports the number of checked files that are invalid.
type invalidFilesError struct{ files int }

// Error implements error.
func (e *invalidFilesError) Error() string { return fmt.Sprintf("%d invalid files", e.files) }
