package main

import "fmt"

// invalidFilesError reports that files were checked and found invalid.
type invalidFilesError struct{ files int }

// Error implements error.
func (e *invalidFilesError) Error() string { return fmt.Sprintf("%d invalid files", e.files) }
