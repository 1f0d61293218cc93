package agent

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/internal/responsehead"
	"github.com/laureltally/laureltally/internal/responsehead/headtest"
	"github.com/laureltally/laureltally/wire"
)

// respondOdd sends a request to an upstream whose response has the given text.
func respondOdd(t *testing.T, text string, nonIdempotent bool) (admission.Result, error) {
	t.Helper()
	server := httptest.NewServer(headtest.Handler(t, text))
	defer server.Close()
	a, err := New(Options{Settings: config.AgentSettings{UpstreamURL: server.URL}})
	if err != nil {
		t.Fatal(err)
	}
	return respond(t, a, &wire.Dispatch{Attempt: "attempt-1", Method: http.MethodPost, Path: "/a", NonIdempotent: nonIdempotent})
}

// wantMalformed fails the test unless responses are refused for their heads.
func wantMalformed(t *testing.T, responses []headtest.Response) {
	t.Helper()
	for _, r := range responses {
		for _, nonIdempotent := range []bool{false, true} {
			var syntax *responsehead.SyntaxError
			if _, err := respondOdd(t, r.Text, nonIdempotent); !errors.As(err, &syntax) {
				t.Errorf("%s, sent once %v: error %v", r.Name, nonIdempotent, err)
			}
		}
	}
}

// Guards against a response with a malformed status line that the agent passes on.
func TestMalformedStatusIsNoResponse(t *testing.T) {
	wantMalformed(t, headtest.MalformedStatus())
}

// Guards against an odd head that the agent refuses though it is valid.
func TestSoundHeadIsAResponse(t *testing.T) {
	for _, r := range headtest.Sound() {
		if got, err := respondOdd(t, r.Text, true); got != admission.Succeeded || err != nil {
			t.Errorf("%s: %v, error %v", r.Name, got, err)
		}
	}
}

// Guards against a response with a malformed field that the agent passes on.
func TestMalformedFieldIsNoResponse(t *testing.T) {
	wantMalformed(t, headtest.MalformedFields())
}

// Guards against a response that the agent passes on as complete, though its fields do not tell where it
// ends, or its trailer has a malformed field.
func TestMalformedFramingIsNoResponse(t *testing.T) {
	for _, r := range slices.Concat(headtest.MalformedFraming(), headtest.MalformedTrailers()) {
		if got, err := respondOdd(t, r.Text, true); got != admission.Failed {
			t.Errorf("%s: %v, error %v", r.Name, got, err)
		}
	}
}
