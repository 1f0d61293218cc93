package hotpath

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// request is one request of a client, with all its attempts.
type request struct {
	id         int
	region     int
	class      *Class
	sentAt     time.Duration
	deadline   time.Duration
	prefix     uint64
	idempotent bool
	// baseRunTime is the run time at full speed.
	baseRunTime time.Duration
	attempts    int
	// pending counts the attempts that have not ended.
	pending int
	exclude ident.VM
	// clientRetries counts how often the client sent the request again after a
	// Retry-After.
	clientRetries int
	done          bool
}

// attempt is one dispatch of a request.
type attempt struct {
	id     ident.Attempt
	req    *request
	router *router
	vm     *upstream
	sent   time.Duration
	ended  bool
	// running is set once the upstream has started the attempt.
	running   bool
	startedAt time.Duration
}

// outcome is the result of an attempt.
type outcome struct {
	ok         bool
	run        wire.RunState
	code       wire.Code
	retryAfter time.Duration
}
