package router

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/wire"
)

// Bodies must not be held beyond the budget, those of ordinary requests must be read all the
// same, and what is held must be given back.
func TestBodiesStayWithinTheirBudget(t *testing.T) {
	const large = 1 << 20
	budget := &bodyBudget{limit: 2 * large}
	read := func(size int) (*heldBodies, *Failure) {
		h := &heldBodies{budget: budget}
		_, fits, err := readWithin(strings.NewReader(strings.Repeat("a", size)), int64(size), h)
		if err != nil {
			t.Fatal(err)
		}
		if !fits {
			return h, noRoom()
		}
		return h, nil
	}
	first, f := read(large)
	if f != nil {
		t.Fatal(f)
	}
	second, f := read(large)
	if f != nil {
		t.Fatal(f)
	}
	third, f := read(large)
	if f == nil || f.Code != wire.CodeOverloaded || f.Run != wire.RunStateNotRun || f.RetryAfter <= 0 || f.Status() != http.StatusServiceUnavailable {
		t.Fatalf("%+v", f)
	}
	third.release()
	small, f := read(freeBodyBytes - 1)
	if f != nil {
		t.Fatal(f)
	}
	if budget.held > budget.limit {
		t.Fatalf("%d bytes are held", budget.held)
	}
	for _, h := range []*heldBodies{first, second, small} {
		h.release()
	}
	if budget.held != 0 {
		t.Fatalf("%d bytes are still held", budget.held)
	}
}

// A caller that states a large body and sends little of it must not hold the memory of a
// large one.
func TestStatedLengthIsNotHeld(t *testing.T) {
	h := &heldBodies{budget: &bodyBudget{}}
	r := io.MultiReader(strings.NewReader("a"), iotest.ErrReader(io.ErrUnexpectedEOF))
	if _, _, err := readWithin(r, 1<<20, h); err == nil {
		t.Fatal("no error")
	}
	if h.bytes > firstBodyBytes {
		t.Fatalf("%d bytes", h.bytes)
	}
}

// A body must be read whole however it arrives and whether its length is known, in no more
// than twice its size.
func TestBodyIsReadWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Byte(), 0, 20<<10).Draw(t, "body")
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "split") {
			r = iotest.HalfReader(r)
		}
		if rapid.Bool().Draw(t, "with the end") {
			r = iotest.DataErrReader(r)
		}
		length := int64(-1)
		if rapid.Bool().Draw(t, "known") {
			length = int64(len(want))
		}
		h := &heldBodies{budget: &bodyBudget{}}
		got, fits, err := readWithin(r, length, h)
		if err != nil || !fits || !bytes.Equal(got, want) {
			t.Fatalf("%d of %d bytes, %v, %v", len(got), len(want), fits, err)
		}
		if limit := max(2*len(want), unknownBodyBytes); length >= 0 && cap(got) > len(want)+1 || cap(got) > limit && length < 0 {
			t.Fatalf("%d bytes are held for %d", cap(got), len(want))
		}
		if h.bytes != int64(cap(got)) {
			t.Fatalf("%d bytes are counted, %d held", h.bytes, cap(got))
		}
	})
}

// A response that does not fit must be relayed as it arrives, and a buffered one be counted.
func TestBufferedResponsesCountInTheBudget(t *testing.T) {
	budget := &bodyBudget{}
	relayed := newBufferedSink(httptest.NewRecorder())
	relayed.held = &heldBodies{budget: budget}
	relayed.Head(http.StatusOK, http.Header{})
	if err := relayed.Write(make([]byte, freeBodyBytes)); err != nil {
		t.Fatal(err)
	}
	if !relayed.Started() {
		t.Fatal("buffered without room")
	}
	budget.limit = 2 * freeBodyBytes
	buffered := newBufferedSink(httptest.NewRecorder())
	buffered.held = &heldBodies{budget: budget}
	for range 2 { // A second attempt begins anew.
		buffered.Head(http.StatusOK, http.Header{})
		if err := buffered.Write(make([]byte, freeBodyBytes)); err != nil {
			t.Fatal(err)
		}
	}
	if buffered.Started() || budget.held != freeBodyBytes {
		t.Fatalf("started %v, %d bytes", buffered.Started(), budget.held)
	}
}
