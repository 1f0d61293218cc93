package router

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/wire"
)

const (
	// freeBodyBytes is what a request may hold of its bodies without the budget, so that
	// ordinary requests are served while large ones use it up.
	freeBodyBytes = 16 << 10
	// noRoomRetryAfter is the Retry-After of a request whose body does not fit.
	noRoomRetryAfter = time.Second
)

// bodyBudget bounds the bytes of all bodies that are held at the same time.
type bodyBudget struct {
	limit int64

	mu   sync.Mutex
	held int64
}

// newBodyBudget returns the budget that the settings state.
func newBodyBudget(s config.RouterSettings) *bodyBudget {
	return &bodyBudget{limit: cmp.Or(s.BodyMemoryMB, config.DefaultBodyMemoryMB) << 20}
}

// withBodyBudget counts what each request holds of its bodies until it ends.
func withBodyBudget(b *bodyBudget, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := &heldBodies{budget: b}
		defer held.release()
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), heldKey{}, held)))
	})
}

// reserve reports whether n more bytes fit, and holds them.
func (b *bodyBudget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+n > b.limit {
		return false
	}
	b.held += n
	return true
}

func (b *bodyBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// noRoom returns the failure of a request whose body does not fit.
func noRoom() *Failure {
	f := notRun(wire.CodeOverloaded, "the bodies of other requests use up the memory")
	f.RetryAfter = noRoomRetryAfter
	return f
}
