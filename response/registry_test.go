package response

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func attemptName(s string) ident.Attempt { return ident.Attempt(s) }

const (
	tailBytes = 4096
	stall     = 10 * time.Second
)

func newTestRegistry() *Registry {
	return New(Options{TailBytes: tailBytes, TotalBytes: 3 * tailBytes, Retention: time.Minute, Stall: stall})
}

func pattern(n int) []byte {
	p := make([]byte, n)
	for i := range p {
		p[i] = byte(i * 7)
	}
	return p
}

func attach(t *testing.T, r *Registry, a ident.Attempt, offset int64) *Reader {
	t.Helper()
	reader, err := r.Attach(a, offset)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reader.Close)
	return reader
}

// readAll reads and assembles a response.
func readAll(ctx context.Context, reader *Reader, asm *Assembler) ([]byte, error) {
	var body []byte
	for {
		m, err := reader.Next(ctx)
		if err != nil {
			return body, err
		}
		part, err := asm.Accept(m)
		if err != nil {
			return body, err
		}
		body = append(body, part.Data...)
	}
}

func TestAllReadersGetTheCompleteResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, want := newTestRegistry(), pattern(10*tailBytes)
		w, err := r.Begin("a")
		if err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for i := range 3 {
			reader := attach(t, r, "a", 0)
			wg.Go(func() {
				asm := NewAssembler("a")
				time.Sleep(time.Duration(i) * time.Second)
				got, err := readAll(t.Context(), reader, asm)
				if !errors.Is(err, io.EOF) || !asm.Complete() || !bytes.Equal(got, want) {
					t.Errorf("reader %d: %d bytes, %v", i, len(got), err)
				}
			})
		}
		write(t, w, want)
		wg.Wait()
	})
}

func write(t *testing.T, w *Writer, body []byte) {
	t.Helper()
	err := w.Head(200, nil)
	if err == nil {
		_, err = w.Write(t.Context(), body)
	}
	if err == nil {
		err = w.End()
	}
	if err != nil {
		t.Error(err)
	}
}

// TestResumeAfterLostConnections replaces the reader at random points, as a
// router does when a connection is lost with bytes in flight.
func TestResumeAfterLostConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const inFlight = 4
		random := rand.New(rand.NewPCG(1, 2))
		r, want := newTestRegistry(), pattern(20*tailBytes)
		w, _ := r.Begin("a")
		go write(t, w, want)
		asm := NewAssembler("a")
		var got []byte
		for !asm.Complete() {
			reader := attach(t, r, "a", asm.Offset())
			for range random.IntN(6) {
				m, err := reader.Next(t.Context())
				if err != nil {
					break
				}
				part, err := asm.Accept(m)
				if err != nil {
					t.Fatal(err)
				}
				got = append(got, part.Data...)
			}
			for range random.IntN(inFlight) {
				// These messages are lost with the connection.
				if asm.Complete() || !asm.Begun() {
					break
				}
				if _, err := reader.Next(t.Context()); err != nil {
					break
				}
			}
			reader.Close()
		}
		if !bytes.Equal(got, want) {
			t.Fatalf("assembled %d bytes, not the bytes written", len(got))
		}
	})
}

func TestWriterWaitsForTheSlowestReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry()
		w, _ := r.Begin("a")
		slow, quick := attach(t, r, "a", 0), attach(t, r, "a", 0)
		_ = w.Head(200, nil)
		done := make(chan error, 1)
		go func() {
			_, err := w.Write(t.Context(), pattern(3*tailBytes))
			done <- err
		}()
		go func() { _, _ = readAll(t.Context(), quick, NewAssembler("a")) }()
		synctest.Wait()
		if got := r.Bytes(); got != tailBytes {
			t.Fatalf("%d bytes retained for the slow reader", got)
		}
		select {
		case err := <-done:
			t.Fatalf("writer did not wait: %v", err)
		default:
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		_, err := slow.Next(t.Context())
		var tooSlow *SlowReaderError
		if !errors.As(err, &tooSlow) {
			t.Fatalf("slow reader: Next error = %v, want a *SlowReaderError", err)
		}
		_ = w.Abort(wire.CodeCanceled, "")
	})
}

func TestWriterWithoutReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry()
		w, _ := r.Begin("a")
		n, err := w.Write(t.Context(), pattern(2*tailBytes))
		var noReader *NoReaderError
		if n != tailBytes || !errors.As(err, &noReader) {
			t.Fatalf("wrote %d bytes, error = %v, want a *NoReaderError", n, err)
		}
		retained, _ := r.BeginRetained("b", time.Hour)
		write(t, retained, pattern(2*tailBytes))
		_, err = r.Attach("b", 0)
		var dropped *DroppedError
		if !errors.As(err, &dropped) || dropped.Oldest != tailBytes {
			t.Fatalf("Attach error = %v, want a *DroppedError", err)
		}
		got, err := readAll(t.Context(), attach(t, r, "b", dropped.Oldest), &Assembler{attempt: "b", head: &wire.Head{}, offset: dropped.Oldest})
		if !errors.Is(err, io.EOF) || !bytes.Equal(got, pattern(2 * tailBytes)[tailBytes:]) {
			t.Fatalf("read %d bytes from the oldest offset, error %v", len(got), err)
		}
	})
}

func TestReattachedReaderUnblocksTheWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, want := newTestRegistry(), pattern(2*tailBytes)
		w, _ := r.Begin("a")
		go func() {
			time.Sleep(stall / 2)
			asm := NewAssembler("a")
			if _, err := readAll(t.Context(), attach(t, r, "a", 0), asm); !errors.Is(err, io.EOF) || !asm.Complete() {
				t.Errorf("reattached reader: error = %v", err)
			}
		}()
		write(t, w, want)
		synctest.Wait()
	})
}

func TestAttachErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry()
		var notFound *NotFoundError
		if _, err := r.Attach("a", 0); !errors.As(err, &notFound) {
			t.Fatalf("Attach error = %v, want a *NotFoundError", err)
		}
		w, _ := r.Begin("a")
		write(t, w, []byte("hello"))
		var offset *OffsetError
		for _, n := range []int64{-1, 6} {
			if _, err := r.Attach("a", n); !errors.As(err, &offset) {
				t.Fatalf("offset %d: Attach error = %v, want a *OffsetError", n, err)
			}
		}
		time.Sleep(time.Minute)
		if _, err := r.Attach("a", 0); !errors.As(err, &notFound) || r.Bytes() != 0 {
			t.Fatalf("after the retention: %v, %d bytes", err, r.Bytes())
		}
	})
}

func TestTotalIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry()
		for _, name := range []string{"kept", "old", "new"} {
			w, _ := r.Begin(attemptName(name))
			if name == "kept" {
				w, _ = r.BeginRetained("k", time.Hour)
			}
			write(t, w, pattern(tailBytes))
			time.Sleep(time.Second)
		}
		w, _ := r.Begin("last")
		if _, err := w.Write(t.Context(), pattern(tailBytes)); err != nil {
			t.Fatal(err)
		}
		for name, want := range map[string]bool{"k": true, "old": false, "new": true} {
			if _, err := r.Attach(attemptName(name), 0); (err == nil) != want {
				t.Errorf("attach to %s: %v", name, err)
			}
		}
		if r.Bytes() > 3*tailBytes {
			t.Fatalf("%d bytes retained", r.Bytes())
		}
	})
}

func TestWriteOverTotalLimitFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Options{TailBytes: tailBytes, TotalBytes: tailBytes, Stall: stall})
		first, _ := r.Begin("a")
		if _, err := first.Write(t.Context(), pattern(tailBytes)); err != nil {
			t.Fatal(err)
		}
		second, _ := r.Begin("b")
		_, err := second.Write(t.Context(), []byte("x"))
		var full *CapacityError
		if !errors.As(err, &full) {
			t.Fatalf("Write error = %v, want a *CapacityError", err)
		}
	})
}

func TestResponseEndsOnce(t *testing.T) {
	r := newTestRegistry()
	w, _ := r.Begin("a")
	write(t, w, nil)
	_, again := r.Begin("a")
	_, late := w.Write(t.Context(), []byte("x"))
	for i, err := range []error{again, late, w.End(), w.Abort(wire.CodeInternal, ""), w.Refuse(wire.Refusal{}), w.Head(200, nil)} {
		var ended *EndedError
		if !errors.As(err, &ended) {
			t.Errorf("call %d: error = %v, want a *EndedError", i, err)
		}
	}
}

func TestNextReturnsContextError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry()
		_, _ = r.Begin("a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := attach(t, r, "a", 0).Next(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("Next error = %v, want context.DeadlineExceeded", err)
		}
	})
}
