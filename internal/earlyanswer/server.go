package earlyanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Start starts a server on 127.0.0.1 that ends with the test, and returns its address. It reads
// the head of one request on each connection, writes the answer and calls end, after which it closes
// the connection.
func Start(t testing.TB, answer string, end func(*net.TCPConn)) (address string) {
	t.Helper()
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { serve(c.(*net.TCPConn), answer, end) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		conns.Wait()
	})
	return ln.Addr().String()
}

func serve(c *net.TCPConn, answer string, end func(*net.TCPConn)) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := io.WriteString(c, answer); err != nil {
		return
	}
	end(c)
}

// Reset makes the following close of a connection a reset.
func Reset(c *net.TCPConn) {
	// It fails only on a closed connection.
	_ = c.SetLinger(0)
}
