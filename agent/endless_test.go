package agent

import (
	"errors"
	"net/http"
	"net/url"
	"testing"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/internal/endless"
	"github.com/laureltally/laureltally/wire"
)

// Guards against an upstream whose head does not end and fills the memory of the VM that forwarded
// the request.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, once := range map[string]bool{"kept connection": false, "own connection": true} {
		for _, answer := range endless.Heads() {
			t.Run(name+"/"+answer.Name, func(t *testing.T) {
				endless.Measure(t, answer, func(address string) {
					a := &Agent{o: Options{Settings: config.AgentSettings{UpstreamURL: "http://" + address}}.withDefaults()}
					resp, err := a.send(t.Context(), &wire.Dispatch{Method: http.MethodPost, Path: "/a", NonIdempotent: once})
					var failed *url.Error
					if !errors.As(err, &failed) {
						t.Errorf("got error %v", err)
					}
					if err == nil {
						resp.Body.Close()
					}
				}).CheckHead(t)
			})
		}
	}
}
