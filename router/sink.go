package router

import "net/http"

// sink receives an answer and passes it to a caller.
type sink interface {
	// Head starts the answer.
	Head(status int, header http.Header)
	// Write passes on a part of the body. An error means the caller is gone.
	Write(data []byte) error
	// Finish ends a whole answer.
	Finish() error
	// Cut ends an answer that cannot be completed, so that the caller cannot
	// take it for whole.
	Cut(f *Failure)
	// Started tells whether the caller has been sent any part of an answer.
	Started() bool
}
