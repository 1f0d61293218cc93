package httpclient_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/laureltally/laureltally/internal/httpclient"
	"github.com/laureltally/laureltally/internal/responsehead"
	"github.com/laureltally/laureltally/internal/responsehead/headtest"
)

// oddServer returns a server that writes a text in place of the response to /odd, and a client of it.
func oddServer(t *testing.T, start func(http.Handler) *httptest.Server, text string) (*httptest.Server, *http.Client) {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/odd", headtest.Handler(t, text))
	s := start(mux)
	t.Cleanup(s.Close)
	base := &http.Transport{}
	if s.TLS != nil {
		base.TLSClientConfig = s.Client().Transport.(*http.Transport).TLSClientConfig
	}
	c := &http.Client{Transport: httpclient.NewTransport(base)}
	t.Cleanup(c.CloseIdleConnections)
	return s, c
}

// checkMalformed fails the test unless responses are refused for their heads, on new and on reused
// connections.
func checkMalformed(t *testing.T, start func(http.Handler) *httptest.Server, responses []headtest.Response) {
	t.Helper()
	for _, r := range responses {
		for _, reused := range []bool{false, true} {
			s, c := oddServer(t, start, r.Text)
			if reused {
				resp, err := c.Get(s.URL + "/")
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
			}
			resp, err := c.Post(s.URL+"/odd", "", nil)
			var syntax *responsehead.SyntaxError
			if !errors.As(err, &syntax) {
				t.Errorf("%s, reused %v: error %v", r.Name, reused, err)
			}
			if err == nil {
				resp.Body.Close()
			}
		}
	}
}

// Guards against a response with a malformed status line that any client of the control plane takes for
// one.
func TestMalformedStatusIsNoResponse(t *testing.T) {
	checkMalformed(t, httptest.NewServer, headtest.MalformedStatus())
	var parsed []headtest.Response
	for _, r := range headtest.MalformedStatus() {
		if strings.HasPrefix(r.Name, "status 0") || strings.HasPrefix(r.Name, "status 101") {
			parsed = append(parsed, r)
		}
	}
	checkMalformed(t, httptest.NewTLSServer, parsed)
}

// Guards against a response with a malformed field that any client of the control plane takes for one.
func TestMalformedFieldIsNoResponse(t *testing.T) {
	checkMalformed(t, httptest.NewServer, headtest.MalformedFields())
	var parsed []headtest.Response
	for _, r := range headtest.MalformedFields() {
		// net/http passes these on with the blank in the name.
		if strings.HasPrefix(r.Name, "blank") && !strings.Contains(r.Name, "of an informational") {
			parsed = append(parsed, r)
		}
	}
	checkMalformed(t, httptest.NewTLSServer, parsed)
}
