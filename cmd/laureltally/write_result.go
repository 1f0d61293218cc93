package main

import (
	"errors"

	"github.com/laureltally/laureltally/document"
)

// writeResult is the JSON output of apply and promote.
type writeResult struct {
	Accepted *document.Accepted `json:"accepted,omitempty"`
	Conflict *writeConflict     `json:"lost,omitempty"`
	Error    string             `json:"error,omitempty"`
}

// printAccepted prints the result of a write and returns its error.
func printAccepted(out *output, asJSON bool, accepted document.Accepted, err error) error {
	var conflict *document.ConflictError
	isConflict := errors.As(err, &conflict)
	if asJSON {
		return errors.Join(out.json(newWriteResult(accepted, conflict, err)), err)
	}
	switch {
	case err == nil && accepted.Superseded:
		out.printf("accepted, but already superseded by a later change\ndigest %s\n", accepted.Digest)
	case err == nil:
		out.printf("accepted as version %d\ndigest %s\n", accepted.Version, accepted.Digest)
	case isConflict:
		printChanges(out, conflict.Changes)
	}
	return err
}

func newWriteResult(accepted document.Accepted, conflict *document.ConflictError, err error) writeResult {
	if err == nil {
		return writeResult{Accepted: &accepted}
	}
	r := writeResult{Error: err.Error()}
	if conflict != nil {
		r.Conflict = &writeConflict{Base: conflict.Base, Version: conflict.Version, Actor: conflict.Actor, Time: conflict.Time, Changes: conflict.Changes}
	}
	return r
}
