package router

import (
	"net/http"
	"time"

	"github.com/laureltally/laureltally/catalog"
	"github.com/laureltally/laureltally/ident"
)

// Request is a caller's request after validation.
type Request struct {
	ID          string
	Environment ident.Environment
	Caller      string
	// Target is set for requests to models, Service for requests to plain services.
	Target        catalog.Target
	Service       ident.Service
	Upstream      ident.Upstream
	Method        string
	Path          string
	Header        http.Header
	Body          []byte
	Priority      ident.Priority
	NonIdempotent bool
	// Key is the idempotency key. It may be empty.
	Key      string
	Deadline time.Time
	// Stream asks for server-sent events.
	Stream     bool
	PrefixHash uint64
}

// IsModel reports whether the request is for a model rather than a plain service.
func (r *Request) IsModel() bool { return r.Service == "" }
