package main

import (
	"context"

	"github.com/laureltally/laureltally/idempotency"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// unreachableInquirer is an idempotency.Inquirer for which every VM is
// unreachable.
type unreachableInquirer struct{}

// Inquire implements idempotency.Inquirer.
func (unreachableInquirer) Inquire(context.Context, idempotency.Target, ident.Attempt) (wire.AttemptState, error) {
	return "", &metastore.UnavailableError{Op: "inquire"}
}
