package main

import (
	"errors"

	"github.com/laureltally/laureltally/document"
)

// writeResult is what became of an apply or a promotion, for a script.
type writeResult struct {
	Accepted *document.Accepted `json:"accepted,omitempty"`
	Lost     *lostRace          `json:"lost,omitempty"`
	Error    string             `json:"error,omitempty"`
}

// printAccepted prints the outcome of a write and returns its error.
func printAccepted(out *output, asJSON bool, accepted document.Accepted, err error) error {
	var lost *document.ConflictError
	isLost := errors.As(err, &lost)
	if asJSON {
		return errors.Join(out.json(newWriteResult(accepted, lost, err)), err)
	}
	switch {
	case err == nil && accepted.Superseded:
		out.printf("accepted, and replaced by a later change already\ndigest %s\n", accepted.Digest)
	case err == nil:
		out.printf("accepted as version %d\ndigest %s\n", accepted.Version, accepted.Digest)
	case isLost:
		printChanges(out, lost.Changes)
	}
	return err
}

func newWriteResult(accepted document.Accepted, lost *document.ConflictError, err error) writeResult {
	if err == nil {
		return writeResult{Accepted: &accepted}
	}
	r := writeResult{Error: err.Error()}
	if lost != nil {
		r.Lost = &lostRace{Base: lost.Base, Version: lost.Version, Actor: lost.Actor, Time: lost.Time, Changes: lost.Changes}
	}
	return r
}
