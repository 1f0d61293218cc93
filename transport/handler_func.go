package transport

import (
	"context"

	"github.com/laureltally/laureltally/wire"
)

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(ctx context.Context, peer wire.Hello, first wire.Message, s *Stream)

// HandleStream implements Handler.
func (f HandlerFunc) HandleStream(ctx context.Context, peer wire.Hello, first wire.Message, s *Stream) {
	f(ctx, peer, first, s)
}
