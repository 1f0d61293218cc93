package ingress

import "net/http"

// wholeResponse is a response that was buffered to its end.
type wholeResponse struct {
	status int
	header http.Header
	body   []byte
}
