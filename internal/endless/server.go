package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

const (
	// maxSentBytes ends an answer whose client does not close.
	maxSentBytes = 256 << 20
	// sendBufferBytes is the kernel's send buffer, part of what is sent and never read.
	sendBufferBytes = 16 << 10
	// writeBytes is the least size of a write.
	writeBytes = 4 << 10
)

// Server answers each request with the same answer.
type Server struct {
	Address string

	answer Answer
	sent   atomic.Int64
	conns  sync.WaitGroup
}

// Start starts a server on 127.0.0.1 that ends with the test.
func Start(t testing.TB, a Answer) *Server {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &Server{Address: ln.Addr().String(), answer: a}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Go(func() { s.serve(c) })
		}
	}()
	return s
}

// Sent waits until the clients have closed and returns how many bytes were sent.
func (s *Server) Sent() int64 {
	s.conns.Wait()
	return s.sent.Load()
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	_ = c.(*net.TCPConn).SetWriteBuffer(sendBufferBytes)
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	// What the test measures must not include a copy for each write.
	text := []byte(strings.Repeat(s.answer.Repeat, 1+writeBytes/len(s.answer.Repeat)))
	_, err = io.WriteString(c, s.answer.Begin)
	for err == nil && s.sent.Load() < maxSentBytes {
		var n int
		n, err = c.Write(text)
		s.sent.Add(int64(n))
	}
}
