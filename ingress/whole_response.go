package ingress

import (
	"net/http"

	"github.com/laureltally/laureltally/upstreamhttp"
)

// wholeResponse is a response that was buffered to its end.
type wholeResponse struct {
	status  int
	header  http.Header
	framing upstreamhttp.Framing
	body    []byte
}
