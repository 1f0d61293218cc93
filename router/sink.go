package router

import "net/http"

// sink receives a response and sends it to a caller.
type sink interface {
	// Head starts the response.
	Head(status int, header http.Header)
	// Write sends a part of the body. An error means that the caller has disconnected.
	Write(data []byte) error
	// Finish ends a complete response.
	Finish() error
	// FinishUnmarked ends a response of which nothing shows whether it is complete.
	FinishUnmarked() error
	// Abort ends a response that cannot be completed, in a way that the caller cannot
	// mistake for the end of a complete one.
	Abort(f *Failure)
	// Started reports whether any part of a response has been sent to the caller.
	Started() bool
}
