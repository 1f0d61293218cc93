package response

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Assembler checks that the frames of one attempt make one whole answer, over
// any number of streams. It is a pure state machine.
//
// Invariant: the bytes given out through Part.Data are exactly the answer's
// bytes [0, Offset), each once and in order. It holds because a chunk is only
// taken from the current offset on, and a chunk that starts beyond it is
// refused. A frame that is refused with an error changes nothing, so that the
// caller can resume at Offset on another stream.
type Assembler struct {
	attempt ident.Attempt
	head    *wire.Head
	offset  int64
	ended   bool
	whole   bool
}

// NewAssembler waits for the answer of attempt.
func NewAssembler(attempt ident.Attempt) *Assembler { return &Assembler{attempt: attempt} }

// Accept takes the next frame and returns what it adds. A frame that was
// received before adds nothing. Errors are *WrongAttemptError, *GapError,
// *LengthError, *OrderError and *wire.KindError.
func (a *Assembler) Accept(m wire.Message) (Part, error) {
	switch m := m.(type) {
	case *wire.Head:
		return a.acceptHead(m)
	case *wire.Chunk:
		return a.acceptChunk(m)
	case *wire.End:
		return a.acceptEnd(m)
	case *wire.Abort:
		return a.acceptAbort(m)
	case *wire.Refusal:
		return a.acceptRefusal(m)
	default:
		return Part{}, &wire.KindError{Kind: m.Kind()}
	}
}

// Offset is the number of bytes received in order, and so the offset at which
// to resume.
func (a *Assembler) Offset() int64 { return a.offset }

// Whole tells whether the answer is complete.
func (a *Assembler) Whole() bool { return a.whole }

// Ended tells whether the attempt has ended, whole or not.
func (a *Assembler) Ended() bool { return a.ended }

// Begun tells whether the Head has been received.
func (a *Assembler) Begun() bool { return a.head != nil }

func (a *Assembler) check(attempt ident.Attempt, kind wire.Kind) error {
	if attempt != a.attempt {
		return &WrongAttemptError{Want: a.attempt, Got: attempt}
	}
	if a.ended {
		return &OrderError{Attempt: a.attempt, Kind: kind}
	}
	return nil
}

func (a *Assembler) acceptHead(m *wire.Head) (Part, error) {
	if err := a.check(m.Attempt, m.Kind()); err != nil {
		return Part{}, err
	}
	if a.head != nil {
		if a.head.Status != m.Status {
			return Part{}, &OrderError{Attempt: a.attempt, Kind: m.Kind()}
		}
		return Part{}, nil
	}
	a.head = m
	return Part{Head: m}, nil
}

func (a *Assembler) acceptChunk(m *wire.Chunk) (Part, error) {
	if err := a.check(m.Attempt, m.Kind()); err != nil {
		return Part{}, err
	}
	if a.head == nil {
		return Part{}, &OrderError{Attempt: a.attempt, Kind: m.Kind()}
	}
	if m.Offset < 0 || m.Offset > a.offset {
		return Part{}, &GapError{Attempt: a.attempt, Want: a.offset, Got: m.Offset}
	}
	known := a.offset - m.Offset
	if known >= int64(len(m.Data)) {
		return Part{}, nil
	}
	fresh := m.Data[known:]
	a.offset += int64(len(fresh))
	return Part{Data: fresh}, nil
}

func (a *Assembler) acceptEnd(m *wire.End) (Part, error) {
	if err := a.check(m.Attempt, m.Kind()); err != nil {
		return Part{}, err
	}
	if a.head == nil {
		return Part{}, &OrderError{Attempt: a.attempt, Kind: m.Kind()}
	}
	if m.Length != a.offset {
		return Part{}, &LengthError{Attempt: a.attempt, Received: a.offset, Length: m.Length}
	}
	a.ended, a.whole = true, true
	return Part{Complete: true}, nil
}

func (a *Assembler) acceptAbort(m *wire.Abort) (Part, error) {
	if err := a.check(m.Attempt, m.Kind()); err != nil {
		return Part{}, err
	}
	a.ended = true
	return Part{Abort: m}, nil
}

func (a *Assembler) acceptRefusal(m *wire.Refusal) (Part, error) {
	if err := a.check(m.Attempt, m.Kind()); err != nil {
		return Part{}, err
	}
	if a.head != nil {
		return Part{}, &OrderError{Attempt: a.attempt, Kind: m.Kind()}
	}
	a.ended = true
	return Part{Refusal: m}, nil
}
