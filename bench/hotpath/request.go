package hotpath

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// request is one call of a client, over all its attempts.
type request struct {
	id         int
	region     int
	class      *Class
	asked      time.Duration
	deadline   time.Duration
	prefix     uint64
	idempotent bool
	// work is the run time at full speed.
	work     time.Duration
	attempts int
	// open counts the attempts that have not ended.
	open    int
	exclude ident.VM
	// comebacks counts how often the client came back.
	comebacks int
	done      bool
}

// attempt is one dispatch of a request.
type attempt struct {
	id     ident.Attempt
	req    *request
	router *router
	vm     *upstream
	sent   time.Duration
	ended  bool
	// running is set from the start at the upstream to its end.
	running bool
	begun   time.Duration
}

// outcome is how an attempt ended.
type outcome struct {
	ok         bool
	run        wire.RunState
	code       wire.Code
	retryAfter time.Duration
}
