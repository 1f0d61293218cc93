package earlyanswer

import (
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"
)

// Guards against tests that show nothing, as the sockets take the whole body of a request at once.
func TestUploadBlocks(t *testing.T) {
	read := make(chan struct{})
	address := Start(t, "HTTP/1.1 200 OK\r\n\r\n", func(*net.TCPConn) { <-read })
	defer close(read)
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", UploadBytes); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Write(make([]byte, UploadBytes)); !errors.Is(err, os.ErrDeadlineExceeded) || n > UploadBytes/2 {
		t.Errorf("%d bytes are taken, error %v", n, err)
	}
}
