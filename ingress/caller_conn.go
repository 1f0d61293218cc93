package ingress

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/heldbytes"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/sockopt"
)

const (
	// idleConnectionBytes and activeRequestBytes are the allowances for a caller's
	// connection and for a request on it: goroutines, buffers of net/http, the connection
	// to the upstream. TestCostOfAConnection measured 22 to 27 KB of resident memory for an
	// idle one and 31 KB with a request, without the buffers below, which are a part.
	idleConnectionBytes = 24 << 10
	activeRequestBytes  = 16 << 10
	// freeHeaderBytes, freeHeaderFields, freePendingBytes and freeEventBytes need no
	// reservation.
	freeHeaderBytes  = 4 << 10
	freeHeaderFields = 24
	freePendingBytes = 4 << 10
	freeEventBytes   = 4 << 10

	// streamBufferBytes is how much of a stream is buffered for a caller that does not
	// read. It holds most streams of tokens whole, so that the upstream can finish.
	streamBufferBytes = 32 << 10
	// wholeBufferBytes is the same for a response that was received to its end, with its
	// header.
	wholeBufferBytes = maxWholeBytes + 128<<10
	// reserveStep is the step in which buffers are reserved as they grow.
	reserveStep = 4 << 10

	// headerFieldBytes is the memory of one field of a parsed header, with the copy for the
	// attempt, beside its bytes. TestHeaderFieldsAreCountedAsHeld measures the dearest ones.
	headerFieldBytes = 256
	// headerReadAhead is how much net/http may read beyond a header.
	headerReadAhead = 4 << 10

	// callerReceiveBuffer is the kernel's receive buffer for callers, also before they are
	// accepted: of many that send at once, little is received that is not read yet.
	// bodyReceiveBuffer is the one while a body is read that does not fit into it. A body of 4 MB
	// then takes 4 s over a round trip of 60 ms.
	callerReceiveBuffer = 8 << 10
	bodyReceiveBuffer   = 64 << 10
	// callerSegment is the largest TCP segment of callers, the one of Ethernet. With the 64 KB
	// of a loopback interface, a body of 64 KB took 0.7 s.
	callerSegment = 1448
	// callerSendBuffer is the kernel's send buffer for callers, streamSendBuffer the one
	// for streams, which consist of small events.
	callerSendBuffer = 32 << 10
	streamSendBuffer = 16 << 10
	// upstreamReceiveBuffer is the kernel's receive buffer for upstreams. It limits what
	// piles up when a caller's stream is no longer read from the upstream.
	upstreamReceiveBuffer = 32 << 10
	// kernelOverhead is the kernel's memory for a socket buffer as a multiple of its size.
	kernelOverhead = 2

	// progressTimeout is how long a caller may leave a response unread before it is
	// disconnected while the budget is not used up.
	progressTimeout = time.Minute
	// lastBytesGrace is how long a slow caller may take for the end of a response that only the
	// kernel still holds, which shows no progress.
	lastBytesGrace = 10 * time.Second
	// lastBytesTimeout is how long the kernel keeps what a disconnected idle caller has not
	// taken.
	lastBytesTimeout = 2 * time.Second
)

// callerConn is the connection of a caller. While the caller reads in time, writes go to
// the socket directly. If the socket is full, what remains is buffered up to a limit and
// written by a goroutine that exists only until the buffer is empty; beyond the limit,
// Write waits, and the upstream is not read meanwhile.
//
// The write deadline bounds the wait for room in the buffer. What has been buffered is
// written however long that takes, as long as the caller reads some of it within each
// progressTimeout, also after Close.
//
// The methods called by a delivery do nothing on a nil *callerConn, which stands for a
// process without a budget.
type callerConn struct {
	net.Conn
	tcp    *net.TCPConn
	raw    syscall.RawConn
	held   *heldBytes
	finish func() error
	// direct and drain write to the socket within raw.Write.
	direct, drain func(fd uintptr) (done bool)

	// holder is guarded by held.mu.
	holder heldbytes.Holder
	// requestBytes is what is held for the current request, and responseBytes the part of it
	// that is reserved for a whole response; requestFiles is the same in descriptors. They are
	// used by the goroutine that serves the connection.
	requestBytes, responseBytes, requestFiles int
	// awaitsBody is set while the body of a request is being read, but has not been read from
	// the socket yet. Most bodies arrive with their header.
	awaitsBody atomic.Bool

	mu   sync.Mutex
	room sync.Cond
	// request and tenant are those of the newest request, for the log.
	request string
	tenant  ident.Tenant
	// active is set while a request is being served. header counts what has been received
	// of the next one before, headerLines the line ends in it, and headerReserved what was
	// reserved for it.
	active                              bool
	header, headerLines, headerReserved int
	// owing is set while the rest of a body is read from the socket, until readBy.
	owing  bool
	readBy time.Time
	// large is set while a body is read that does not fit into callerReceiveBuffer, and raised
	// while the kernel's buffer has bodyReceiveBuffer bytes, which are reserved.
	large, raised bool
	// ahead is set while the allowance for a caller is held that has sent a request before the
	// response to the one before.
	ahead bool
	// body is the body of a response that was received to its end. It does not change any
	// more, so that pending can be a part of it.
	body []byte
	// pending is what the socket does not take; it begins at offset. It is limited to
	// pendingLimit bytes, of which pendingReserved are reserved. Whole is set if it holds
	// a response that was received to its end, which is buffered in any case.
	pending                               []byte
	offset, pendingLimit, pendingReserved int
	whole                                 bool
	// flushing is set while a goroutine writes pending. wakeAt is the number of pending
	// bytes at which a waiting Write continues; -1 if none waits.
	flushing bool
	wakeAt   int
	// backpressure is set once a Write of the current request has waited.
	backpressure  bool
	writeDeadline time.Time
	closing       bool
	err           error
	// resets is set if the connection ends with a reset unless its response was written to its
	// end, given is set once all of that has been given to Write, and cut if a Write failed.
	resets, given, cut bool
	// written and writeErr are the result of direct or drain, and toWrite the argument of
	// direct.
	toWrite  []byte
	written  int
	writeErr error
}

func newCallerConn(tcp *net.TCPConn, held *heldBytes) (*callerConn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	if err := tcp.SetWriteBuffer(callerSendBuffer); err != nil {
		return nil, err
	}
	c := &callerConn{Conn: tcp, tcp: tcp, raw: raw, held: held, pendingLimit: streamBufferBytes, wakeAt: -1}
	c.room.L = &c.mu
	c.direct, c.drain = c.writeDirect, c.writePending
	c.finish = sync.OnceValue(func() error {
		held.closed(c)
		return tcp.Close()
	})
	if !held.opened(c) {
		return nil, &NoRoomError{Bytes: idleConnectionBytes}
	}
	return c, nil
}

// SetWriteDeadline implements net.Conn.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return nil
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite is called by net/http before it closes a connection whose request body it has
// not read.
func (c *callerConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flushing {
		return nil
	}
	return c.tcp.CloseWrite()
}

// resetUnlessWritten makes the connection end with a reset, also by the end of this process, unless
// the response that begins is written to its end, and the kernel has taken all of it.
func (c *callerConn) resetUnlessWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = true
	// It fails only on a closed connection.
	_ = c.tcp.SetLinger(0)
}

// responseGiven records that the response has been given to Write to its end.
func (c *callerConn) responseGiven() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.given = true
}

// endWritten lets the connection end without a reset if nothing of the response is missing. The
// caller holds mu, and nothing is pending.
func (c *callerConn) endWritten() {
	if c.resets && c.given && !c.cut && c.err == nil {
		_ = c.tcp.SetLinger(-1)
	}
}

// Close implements net.Conn. What is pending is written before the connection is closed.
func (c *callerConn) Close() error {
	c.mu.Lock()
	if c.flushing && c.err == nil {
		c.closing = true
		_ = c.tcp.SetReadDeadline(time.Unix(1, 0))
		c.mu.Unlock()
		return nil
	}
	c.endWritten()
	c.mu.Unlock()
	return c.finish()
}

// disconnect ends the connection at once. The kernel discards what it has not sent, so
// that its buffer is free as well, unless the caller is idle: the end of its last response may
// still be on its way. A waiting Write ends with flush.
func (c *callerConn) disconnect(reason string, f log.Fields, idle bool) {
	c.mu.Lock()
	if c.err == nil {
		c.err = net.ErrClosed
		c.logDisconnected(reason, f)
	}
	c.mu.Unlock()
	if idle {
		_ = sockopt.UserTimeout(lastBytesTimeout)("", "", c.raw)
	} else {
		_ = c.tcp.SetLinger(0)
	}
	_ = c.tcp.Close()
}

// logDisconnected logs why a caller is disconnected. The caller holds mu.
func (c *callerConn) logDisconnected(reason string, f log.Fields) {
	l := c.held.logger.WithFields(f).WithField("request", c.request)
	if c.tenant != "" {
		l = l.WithField("tenant", c.tenant)
	}
	l.Info(reason)
}
