package main

import "fmt"

// fileExistsError reports a file that would be overwritten.
type fileExistsError struct{ file string }

// Error implements error.
func (e *fileExistsError) Error() string { return fmt.Sprintf("write %s: file already exists", e.file) }
