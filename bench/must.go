package main

import "github.com/apex/log"

// must returns v, or exits the program on an error.
func must[T any](v T, err error) T {
	if err != nil {
		log.WithError(err).Fatal("bench")
	}
	return v
}
