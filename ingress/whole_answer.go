package ingress

import "net/http"

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}
