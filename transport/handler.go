package transport

import (
	"context"

	"github.com/laureltally/laureltally/wire"
)

// Handler serves the streams that peers open. first is the first message of the
// stream. The stream is closed when HandleStream returns; ctx ends with the
// connection.
type Handler interface {
	HandleStream(ctx context.Context, peer wire.Hello, first wire.Message, s *Stream)
}
