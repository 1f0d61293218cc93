package idempotency_test

import (
	"context"
	"fmt"

	"github.com/laureltally/laureltally/idempotency"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/wire"
)

// finishedAgent reports that every attempt has finished.
type finishedAgent struct{}

func (finishedAgent) Inquire(context.Context, idempotency.Target, ident.Attempt) (wire.AttemptState, error) {
	return wire.AttemptFinished, nil
}

// The first request with a key is dispatched. A repeated request joins the
// attempt that holds the key.
func ExampleManager_Claim() {
	attempts := 0
	manager := idempotency.New(idempotency.Options{
		Environment: "archive",
		Store:       memstore.New(memstore.Options{}),
		Inquirer:    finishedAgent{},
		NewAttempt: func() ident.Attempt {
			attempts++
			return ident.Attempt(fmt.Sprint("attempt-", attempts))
		},
	})
	defer manager.Close()
	key := idempotency.ScopedKey("school", "order-1")
	fingerprint := idempotency.Fingerprint("POST", "/orders", []byte(`{"item":"brief"}`))
	choose := func() (idempotency.Target, error) { return idempotency.Target{VM: "portal-1", Incarnation: 7}, nil }
	for range 2 {
		o, err := manager.Claim(context.Background(), key, fingerprint, choose)
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println("dispatch:", o.Kind == idempotency.Dispatch, "join:", o.Kind == idempotency.Join, o.Attempt)
	}
	// Output:
	// dispatch: true join: false attempt-1
	// dispatch: false join: true attempt-1
}
