package main

import "github.com/apex/log"

// must returns the value or ends the run.
func must[T any](v T, err error) T {
	if err != nil {
		log.WithError(err).Fatal("bench")
	}
	return v
}
