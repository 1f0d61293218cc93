package router

import (
	"net/http"
	"time"

	"github.com/laureltally/laureltally/catalog"
	"github.com/laureltally/laureltally/ident"
)

// Request is a caller's request after it was read and checked.
type Request struct {
	ID          string
	Environment ident.Environment
	Caller      string
	// Target is set for models and Service for plain services.
	Target        catalog.Target
	Service       ident.Service
	Upstream      ident.Upstream
	Method        string
	Path          string
	Header        http.Header
	Body          []byte
	Priority      ident.Priority
	NonIdempotent bool
	// Key is the caller's idempotency key; it may be empty.
	Key      string
	Deadline time.Time
	// Stream asks for server-sent events.
	Stream     bool
	PrefixHash uint64
}

// IsModel tells requests to models from calls of plain services.
func (r *Request) IsModel() bool { return r.Service == "" }
