package document_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/metastore/memstore"
)

const exampleText = `{
  "environment": "archive", // JSON with comments
  "regions": [{"name": "uusimaa", "zones": ["uusimaa-a"]}],
  "priorities": ["high"],
  "upstreams": [{"name": "portal", "kind": "service", "replicas": 1}],
  "weight_store": {"loads_per_second": 5},
}`

// Two operators change a document from the same version. The second one gets a
// *ConflictError.
func ExampleRepository_Apply() {
	ctx := context.Background()
	r := document.New(document.Options{Store: memstore.New(memstore.Options{})})
	for _, actor := range []string{"anna", "bo"} {
		_, err := r.Apply(ctx, document.Update{
			Environment: "archive",
			Stage:       document.StageProduction,
			Text:        []byte(exampleText),
			Actor:       actor,
		})
		var conflict *document.ConflictError
		fmt.Println(actor, "lost:", errors.As(err, &conflict), "other error:", err != nil && conflict == nil)
	}
	stored, err := r.Read(ctx, "archive", document.StageProduction)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("stored by", stored.Actor)
	// Output:
	// anna lost: false other error: false
	// bo lost: true other error: false
	// stored by anna
}
