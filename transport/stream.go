package transport

import (
	"bufio"
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/laureltally/laureltally/wire"
)

// streamBufferBytes is the size of a stream's read buffer.
const streamBufferBytes = 4 << 10

// Stream carries the messages of one exchange. Send and Recv may be called
// concurrently with each other, but neither concurrently with itself.
type Stream struct {
	raw *quic.Stream
	in  *bufio.Reader
}

func newStream(raw *quic.Stream) *Stream {
	return &Stream{raw: raw, in: bufio.NewReaderSize(raw, streamBufferBytes)}
}

// Send writes one message.
func (s *Stream) Send(m wire.Message) error { return wire.Write(s.raw, m) }

// Recv reads one message; io.EOF means that the peer has closed its side.
func (s *Stream) Recv() (wire.Message, error) { return wire.Read(s.in) }

// CloseSend closes this side; the peer reads io.EOF after the last message.
func (s *Stream) CloseSend() error { return s.raw.Close() }

// Reset aborts both directions immediately.
func (s *Stream) Reset() {
	s.raw.CancelRead(codeStreamReset)
	s.raw.CancelWrite(codeStreamReset)
}

// SetDeadline sets the deadline of all later calls of Send and Recv.
func (s *Stream) SetDeadline(t time.Time) error { return s.raw.SetDeadline(t) }

// Context ends when this side of the stream is closed, the peer stops reading it or
// the connection is lost.
func (s *Stream) Context() context.Context { return s.raw.Context() }

const codeStreamReset quic.StreamErrorCode = 1

// CloseRecv stops reading; data that the peer still sends is discarded.
func (s *Stream) CloseRecv() { s.raw.CancelRead(codeStreamReset) }
