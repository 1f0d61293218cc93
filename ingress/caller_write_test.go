package ingress

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"
)

// pausingReader reads from a caller's end in parts of random size with random pauses.
type pausingReader struct {
	conn io.Reader
	rand *rand.Rand
	// most is the size of the largest part, in bytes, and pause the longest pause.
	most  int
	pause time.Duration
}

// Read implements io.Reader.
func (r *pausingReader) Read(p []byte) (int, error) {
	if r.pause > 0 && r.rand.IntN(4) == 0 {
		time.Sleep(rand.N(r.pause))
	}
	return r.conn.Read(p[:min(len(p), 1+r.rand.IntN(r.most))])
}

// Rule MIXED: guards against bytes that reach a caller out of order, twice or not at all after it has
// paused, and against a Write that never ends: the buffer was flushed while a Write waited for room,
// and the rest of it was buffered with nobody to write it.
func TestPausingCallerGetsEveryByteInOrder(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 0))
			// From 4 to 256 KB; the smallest let some 100 KB a second through.
			receiveBuffer := 4 << 10 << (2 * (seed % 4))
			c, caller, _ := callerPairWithBuffer(t, receiveBuffer)
			if !c.begin("a") {
				t.Fatal("the connection does not work")
			}
			sent := make([]byte, 100<<10+r.IntN(10*receiveBuffer))
			for i := range sent {
				sent[i] = byte(r.Uint32())
			}
			mostWritten := []int{400, 20 << 10, 200 << 10, len(sent)}[r.IntN(4)]
			written := make(chan error, 1)
			go func() {
				w := rand.New(rand.NewPCG(seed, 1))
				for rest := sent; len(rest) > 0; {
					n := min(len(rest), 1+w.IntN(mostWritten))
					if m, err := c.Write(rest[:n]); err != nil || m != n {
						written <- fmt.Errorf("wrote %d of %d bytes: %w", m, n, err)
						return
					}
					rest = rest[n:]
				}
				written <- nil
			}()
			reader := &pausingReader{conn: caller, rand: rand.New(rand.NewPCG(seed, 2)), most: 2<<10 + r.IntN(64<<10), pause: time.Duration(r.IntN(20)) * time.Millisecond}
			_ = caller.SetReadDeadline(time.Now().Add(20 * time.Second))
			got := make([]byte, len(sent))
			n, err := io.ReadFull(reader, got)
			if i := firstDifference(got[:n], sent); err != nil || i < n {
				t.Fatalf("caller got %d of %d bytes, different from byte %d: %v", n, len(sent), i, err)
			}
			if err := <-written; err != nil {
				t.Error(err)
			}
		})
	}
}

// firstDifference returns the index of the first byte of got that sent does not have there.
func firstDifference(got, sent []byte) int {
	if bytes.Equal(got, sent[:len(got)]) {
		return len(got)
	}
	for i := range got {
		if got[i] != sent[i] {
			return i
		}
	}
	return len(got)
}
