package earlyanswer

import (
	"context"
	"net"

	"github.com/laureltally/laureltally/internal/sockopt"
)

const (
	// segmentBytes is the largest segment of clients. The kernel derives the size of their send
	// buffers from it.
	segmentBytes = 1000
	// receiveBufferBytes is the kernel's receive buffer of the server.
	receiveBufferBytes = 4 << 10
)

// UploadBytes is the size of a body whose write blocks until the server reads.
const UploadBytes = 1 << 20

// Listen listens at an address, an IP address and TCP port, and takes little of what clients send
// before it is read.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: sockopt.All(sockopt.ReceiveBuffer(receiveBufferBytes), sockopt.MaxSegment(segmentBytes))}
	return lc.Listen(context.Background(), "tcp4", address)
}
