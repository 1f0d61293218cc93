package enginehttp_test

import (
	"errors"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/engine/enginehttp"
	"github.com/laureltally/laureltally/internal/responsehead/headtest"
)

// Guards against an order taken for accepted or refused because its engine is in trouble and sent a
// response with a malformed head.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for _, r := range slices.Concat(headtest.MalformedStatus(), headtest.MalformedFields(), headtest.MalformedFraming()) {
		server := httptest.NewServer(headtest.Handler(t, strings.Replace(r.Text, " 200 OK", " 202 Accepted", 1)))
		c, err := enginehttp.New(enginehttp.Options{BaseURL: server.URL})
		if err != nil {
			t.Fatal(err)
		}
		var failed *enginehttp.CallError
		if err := c.Submit(t.Context(), engine.Order{}); !errors.As(err, &failed) {
			t.Errorf("%s: error %v", r.Name, err)
		}
		c.Close()
		server.Close()
	}
}
