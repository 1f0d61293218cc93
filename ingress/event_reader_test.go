package ingress

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestEventReader(t *testing.T) {
	text := "id: 1\ndata: a\n\nx-weights: 3\nid: 2\ndata: b\r\n\r\n: comment\n\n"
	r := newEventReader(iotest.OneByteReader(strings.NewReader(text)))
	var all string
	for _, id := range []string{"1", "2", ""} {
		e, err := r.next()
		if err != nil || e.id != id {
			t.Fatalf("got %q %v, want id %q", e.id, err, id)
		}
		all += string(e.text)
	}
	if _, err := r.next(); !errors.Is(err, io.EOF) || all != text {
		t.Errorf("got %v after %q", err, all)
	}
}

func TestEventReaderReportsTruncatedEvent(t *testing.T) {
	for _, text := range []string{"id: 1", "id: 1\n", "id: 1\ndata: a\n"} {
		if _, err := newEventReader(strings.NewReader(text)).next(); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: got %v", text, err)
		}
	}
	var size *EventSizeError
	if _, err := newEventReader(strings.NewReader(strings.Repeat("x", maxEventBytes+1))).next(); !errors.As(err, &size) {
		t.Errorf("got %v", err)
	}
}
