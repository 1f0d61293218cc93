package upstreamhttp

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/laureltally/laureltally/internal/headlimit"
)

const (
	// crowd is the number of responses that are open at once.
	crowd = 300
	// maxCrowdBytes is an eighth of the memory of the smallest VM that forwards requests.
	maxCrowdBytes = 284 << 20 / 8
)

// shortFields returns as many fields whose names all differ as fit into n bytes.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n-8; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Guards against a crowd of responses whose heads are within their bytes and have thousands of
// fields each, which take twenty times as much once they are parsed.
func TestHeadsOfACrowdOfResponsesTakeLittleMemory(t *testing.T) {
	long := "X-Long: " + strings.Repeat("a", 4<<10) + "\r\n"
	for name, tt := range map[string]struct {
		fields   string
		accepted bool
	}{
		"short fields":                   {shortFields(headlimit.MaxBytes - 1<<10), false},
		"long fields":                    {strings.Repeat(long, 15), true},
		"long fields, then short fields": {strings.Repeat(long, 15) + shortFields(1<<10), true},
	} {
		t.Run(name, func(t *testing.T) {
			open, held := openCrowd(t, tt.fields)
			if held > maxCrowdBytes {
				t.Errorf("%d bytes held", held)
			}
			for _, r := range open {
				if (r != nil) != tt.accepted {
					t.Fatalf("got a response: %v", r != nil)
				}
				if r != nil {
					r.Close()
				}
			}
		})
	}
}

// openCrowd sends a crowd of requests and returns the responses, all of which are open, or nil
// where the head was refused, and the bytes that they hold.
func openCrowd(t *testing.T, fields string) (open [crowd]*Response, held int64) {
	t.Helper()
	address := upstream(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if id, ok := readRequest(in); ok {
			respond(c, id, "right", fields)
			_, _ = in.ReadByte()
		}
	})
	// A crowd that connects at once waits for the stand-in's accept queue.
	c := New(Options{DialTimeout: time.Minute})
	var (
		before, after runtime.MemStats
		wait          sync.WaitGroup
	)
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range open {
		wait.Go(func() {
			var err error
			open[i], err = c.Send(t.Context(), address, &Request{Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{"X-Id": {"1"}}})
			var size *headlimit.SizeError
			if err != nil && !errors.As(err, &size) {
				t.Errorf("got error %v", err)
			}
		})
	}
	wait.Wait()
	runtime.GC()
	runtime.ReadMemStats(&after)
	held = int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d responses: allocated %d KB, held %d KB", crowd, (after.TotalAlloc-before.TotalAlloc)>>10, held>>10)
	return open, held
}

// Guards against a bound on fields that counts lines of a body.
func TestLinesOfABodyAreNotCountedAsFields(t *testing.T) {
	body := strings.Repeat("\n", 1<<20)
	address := upstream(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			id, ok := readRequest(in)
			if !ok {
				return
			}
			respond(c, id, body, strings.Repeat("X: a\r\n", 100))
		}
	})
	c := New(Options{})
	for range 3 {
		if got, err := send(t, c, address, "1"); err != nil || got != body {
			t.Fatalf("%d bytes, error %v", len(got), err)
		}
	}
}
