package response

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/wire"
)

func TestAssemblerRejectsInvalidFrames(t *testing.T) {
	head := &wire.Head{Attempt: "a", Status: 200}
	body := &wire.Chunk{Attempt: "a", Data: []byte("hello")}
	end := &wire.End{Attempt: "a", Length: 5}
	tests := []struct {
		name   string
		before []wire.Message
		frame  wire.Message
		target any
	}{
		{"another attempt's head", nil, &wire.Head{Attempt: "b"}, new(*WrongAttemptError)},
		{"another attempt's chunk", []wire.Message{head}, &wire.Chunk{Attempt: "b", Data: []byte("x")}, new(*WrongAttemptError)},
		{"another attempt's end", []wire.Message{head}, &wire.End{Attempt: "b"}, new(*WrongAttemptError)},
		{"another attempt's abort", []wire.Message{head}, &wire.Abort{Attempt: "b"}, new(*WrongAttemptError)},
		{"another attempt's refusal", nil, &wire.Refusal{Attempt: "b"}, new(*WrongAttemptError)},
		{"gap", []wire.Message{head, body}, &wire.Chunk{Attempt: "a", Offset: 6, Data: []byte("x")}, new(*GapError)},
		{"negative offset", []wire.Message{head, body}, &wire.Chunk{Attempt: "a", Offset: -1, Data: []byte("0123456789")}, new(*GapError)},
		{"end too early", []wire.Message{head, body}, &wire.End{Attempt: "a", Length: 6}, new(*LengthError)},
		{"end of less", []wire.Message{head, body}, &wire.End{Attempt: "a", Length: 4}, new(*LengthError)},
		{"chunk before head", nil, body, new(*OrderError)},
		{"end before head", nil, &wire.End{Attempt: "a"}, new(*OrderError)},
		{"refusal after head", []wire.Message{head}, &wire.Refusal{Attempt: "a"}, new(*OrderError)},
		{"another status", []wire.Message{head}, &wire.Head{Attempt: "a", Status: 500}, new(*OrderError)},
		{"chunk after end", []wire.Message{head, body, end}, &wire.Chunk{Attempt: "a", Offset: 5, Data: []byte("x")}, new(*OrderError)},
		{"end after abort", []wire.Message{head, body, &wire.Abort{Attempt: "a"}}, end, new(*OrderError)},
		{"message of another kind", nil, &wire.Ping{}, new(*wire.KindError)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := NewAssembler("a")
			for _, m := range test.before {
				if _, err := a.Accept(m); err != nil {
					t.Fatal(err)
				}
			}
			was := *a
			part, err := a.Accept(test.frame)
			if err == nil || !errors.As(err, test.target) {
				t.Fatalf("Accept error = %v", err)
			}
			if part.Data != nil || part.Head != nil || part.Complete || *a != was {
				t.Fatalf("rejected frame changed the assembler: %+v", part)
			}
		})
	}
}

// TestAssemblerReturnsEachByteOnceInOrder feeds the frames of a response in any
// order, repeated and overlapping, mixed with those of another attempt.
func TestAssemblerReturnsEachByteOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "body")
		a := NewAssembler("a")
		var got []byte
		for range rapid.IntRange(0, 60).Draw(t, "frames") {
			part, _ := a.Accept(drawFrame(t, want))
			got = append(got, part.Data...)
			if a.Offset() != int64(len(got)) || !bytes.HasPrefix(want, got) {
				t.Fatalf("offset %d, got %q of %q", a.Offset(), got, want)
			}
			if a.Complete() && !bytes.Equal(got, want) {
				t.Fatalf("complete with %q of %q", got, want)
			}
		}
	})
}

func drawFrame(t *rapid.T, body []byte) wire.Message {
	name := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "attempt")
	if name == "b" {
		body = bytes.Repeat([]byte{'!'}, len(body)+1)
	}
	attempt := attemptName(name)
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return &wire.Head{Attempt: attempt, Status: 200}
	case 1:
		return &wire.End{Attempt: attempt, Length: int64(len(body))}
	default:
		from := rapid.IntRange(0, len(body)).Draw(t, "from")
		to := rapid.IntRange(from, len(body)).Draw(t, "to")
		return &wire.Chunk{Attempt: attempt, Offset: int64(from), Data: body[from:to]}
	}
}
