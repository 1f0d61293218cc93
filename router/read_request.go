package router

import (
	"net/http"

	"github.com/laureltally/laureltally/ident"
)

// maxKeyBytes limits the length of an idempotency key.
const maxKeyBytes = 255

// readRequest authenticates a request, applies the rate limits and reads its body and
// the headers common to all routes.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, named ident.Environment) (*Request, *environment, *Failure) {
	arrived := s.o.Now()
	env, caller, failure := s.authenticate(r, named)
	if failure != nil {
		return nil, nil, failure
	}
	limits := env.catalog.Load().Document().Limits
	timeout, failure := timeoutOf(r.Header.Get(HeaderTimeout), limits)
	if failure != nil {
		return nil, nil, failure
	}
	key, failure := idempotencyKey(r)
	if failure != nil {
		return nil, nil, failure
	}
	if failure := env.admit(arrived, caller); failure != nil {
		return nil, nil, failure
	}
	body, failure := s.readBody(w, r, limits.MaxBodyBytes)
	if failure != nil {
		return nil, nil, failure
	}
	return &Request{
		ID:          requestID(r),
		Environment: env.name,
		Caller:      caller.Name,
		Method:      r.Method,
		Header:      forwardHeader(r.Header),
		Body:        body,
		Key:         key,
		Deadline:    arrived.Add(timeout),
	}, env, nil
}
