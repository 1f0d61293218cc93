package router

import (
	"net/http"

	"github.com/laureltally/laureltally/wire"
)

// idempotencyKey returns the request's idempotency key, or "" if there is none.
func idempotencyKey(r *http.Request) (string, *Failure) {
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return "", notRun(wire.CodeMalformed, "header %s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	return key, nil
}
