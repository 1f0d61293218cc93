package wire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func TestRoundTrip(t *testing.T) {
	want := &Dispatch{Attempt: "a1", Incarnation: 7, Method: "POST", Body: []byte("x"), Header: map[string][]string{"A": {"b"}}}
	var buf bytes.Buffer
	if err := Write(&buf, want); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&buf)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	if _, err := Read(&buf); !errors.Is(err, io.EOF) {
		t.Fatalf("got %v, want EOF", err)
	}
}

func TestUnknownFieldIsIgnored(t *testing.T) {
	body, err := cbor.Marshal(map[int]any{1: uint64(9), 99: "later"})
	if err != nil {
		t.Fatal(err)
	}
	frame := append([]byte{byte(KindPing), 0, 0, 0, byte(len(body))}, body...)
	m, err := Read(bytes.NewReader(frame))
	if err != nil {
		t.Fatal(err)
	}
	if p, ok := m.(*Ping); !ok || p.Seq != 9 {
		t.Fatalf("got %+v", m)
	}
}

func TestOversizedMessageIsRefused(t *testing.T) {
	_, err := Read(bytes.NewReader([]byte{byte(KindChunk), 0xff, 0, 0, 0}))
	var size *SizeError
	if !errors.As(err, &size) {
		t.Fatalf("got %v, want SizeError", err)
	}
}

func TestEveryKindHasAMessage(t *testing.T) {
	const retired = Kind(12)
	if m, err := newMessage(retired); err == nil {
		t.Errorf("retired kind decodes as %v", m)
	}
	for k := KindHello; k <= KindAllotmentLoan; k++ {
		if k == retired {
			continue
		}
		m, err := newMessage(k)
		if err != nil || m.Kind() != k {
			t.Fatalf("kind %d: %v %v", k, m, err)
		}
	}
}
