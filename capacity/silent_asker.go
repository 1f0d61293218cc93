package main

import (
	"context"

	"github.com/laureltally/laureltally/idempotency"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// silentAsker is a claim.Asker that reaches nobody.
type silentAsker struct{}

// Inquire implements claim.Asker.
func (silentAsker) Inquire(context.Context, idempotency.Target, ident.Attempt) (wire.AttemptState, error) {
	return "", &metastore.UnavailableError{Op: "inquire"}
}
