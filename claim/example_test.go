package claim_test

import (
	"context"
	"fmt"

	"github.com/laureltally/laureltally/claim"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/wire"
)

// finishedAgent says of each attempt that it has finished.
type finishedAgent struct{}

func (finishedAgent) Inquire(context.Context, claim.Target, ident.Attempt) (wire.AttemptState, error) {
	return wire.AttemptFinished, nil
}

// The first request with a key is dispatched. Its repetition joins the attempt
// that holds the key.
func ExampleKeeper_Begin() {
	attempts := 0
	keeper := claim.New(claim.Options{
		Environment: "archive",
		Store:       memstore.New(memstore.Options{}),
		Asker:       finishedAgent{},
		NewAttempt: func() ident.Attempt {
			attempts++
			return ident.Attempt(fmt.Sprint("attempt-", attempts))
		},
	})
	defer keeper.Close()
	key := claim.ScopedKey("school", "order-1")
	print := claim.Fingerprint("POST", "/orders", []byte(`{"item":"brief"}`))
	choose := func() (claim.Target, error) { return claim.Target{VM: "portal-1", Incarnation: 7}, nil }
	for range 2 {
		o, err := keeper.Begin(context.Background(), key, print, choose)
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println("dispatch:", o.Kind == claim.Dispatch, "join:", o.Kind == claim.Join, o.Attempt)
	}
	// Output:
	// dispatch: true join: false attempt-1
	// dispatch: false join: true attempt-1
}
