package upstreamhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/laureltally/laureltally/internal/headlimit"
)

// maxEndlessBytes is more than a client may read of bytes without end before it closes the
// connection, with what the sockets buffer.
const maxEndlessBytes = 16 << 20

// endless returns a server that answers with a beginning and then repeats a text until the
// client closes, and a channel with the number of bytes that it could write.
func endless(t *testing.T, begin, repeat string) (address string, written <-chan int) {
	count := make(chan int, 1)
	address = upstream(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); !ok {
			return
		}
		n, text := 0, []byte(strings.Repeat(repeat, 1+4096/len(repeat)))
		_, err := io.WriteString(c, begin)
		for err == nil && n < 4*maxEndlessBytes {
			var w int
			w, err = c.Write(text)
			n += w
		}
		count <- n
	})
	return address, count
}

// A server in trouble sends bytes that are no answer until the client closes.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, tt := range map[string]struct{ begin, repeat string }{
		"no HTTP":             {"", "\x00\xff garbage "},
		"one line":            {"HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		"lines":               {"HTTP/1.1 200 OK\r\n", "X-Line: b\r\n"},
		"empty lines":         {"", "\r\n"},
		"informational":       {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"continuation of one": {"HTTP/1.1 200 OK\r\nX: a\r\n", " more\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, written := endless(t, tt.begin, tt.repeat)
			begun := time.Now()
			_, err := send(t, New(Options{}), address, "1")
			var failed *ConnectionError
			if !errors.As(err, &failed) || failed.Stage != StageHeader {
				t.Errorf("got %v", err)
			}
			if took := time.Since(begun); took > 2*time.Second {
				t.Errorf("given up after %v", took)
			}
			if n := <-written; n > maxEndlessBytes {
				t.Errorf("the server could write %d bytes", n)
			}
		})
	}
}

// A late answer to an earlier request has a body without end.
func TestBodyWithoutEndOfAnotherRequestIsGivenUp(t *testing.T) {
	for name, begin := range map[string]string{
		"fast":    "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 99999999999\r\n\r\n",
		"chunked": "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, written := endless(t, begin, "1\r\na\r\n")
			if _, err := send(t, New(Options{}), address, "1"); err == nil {
				t.Error("a response")
			}
			if n := <-written; n > maxEndlessBytes {
				t.Errorf("the server could write %d bytes", n)
			}
		})
	}
}

// The body of such an answer comes byte by byte.
func TestSlowBodyOfAnotherRequestIsGivenUp(t *testing.T) {
	t.Parallel()
	address := upstream(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); !ok {
			return
		}
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1000000\r\n\r\n")
		for err == nil {
			time.Sleep(20 * time.Millisecond)
			_, err = c.Write([]byte("a"))
		}
	})
	begun := time.Now()
	if _, err := send(t, New(Options{}), address, "1"); err == nil {
		t.Error("a response")
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("given up after %v", took)
	}
}

// The limit counts for each header and not for bodies.
func TestLongBodiesAreReadWhole(t *testing.T) {
	long := strings.Repeat("b", 3*headlimit.MaxBytes)
	address := upstream(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			id, ok := readRequest(in)
			if !ok {
				return
			}
			respond(c, id, long, "X-More: "+strings.Repeat("c", headlimit.MaxBytes/2)+"\r\n")
		}
	})
	c := New(Options{})
	for _, id := range []string{"1", "2", "3"} {
		if body, err := send(t, c, address, id); err != nil || body != long {
			t.Fatalf("%d bytes, error %v", len(body), err)
		}
	}
}
