package objecthttp_test

import (
	"errors"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/laureltally/laureltally/internal/responsehead/headtest"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/objecthttp"
)

// Guards against a delete that counts as done, as the store is in trouble and sent a response with a
// malformed head.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for _, r := range slices.Concat(headtest.MalformedStatus(), headtest.MalformedFields(), headtest.MalformedFraming()) {
		server := httptest.NewServer(headtest.Handler(t, r.Text))
		c, err := objecthttp.New(objecthttp.Options{BaseURL: server.URL})
		if err != nil {
			t.Fatal(err)
		}
		var unavailable *metastore.UnavailableError
		if err := c.Delete(t.Context(), "a/b", 1); !errors.As(err, &unavailable) {
			t.Errorf("%s: error %v", r.Name, err)
		}
		c.Close()
		server.Close()
	}
}
