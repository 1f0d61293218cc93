package response

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Assembler reassembles the response of one attempt from frames that may arrive
// over several streams. It is a pure state machine.
//
// Invariant: the bytes returned in Part.Data are exactly the response's bytes
// [0, Offset), each once and in order. A chunk is only taken from the current
// offset on, and a chunk that starts beyond it is rejected. A rejected frame
// changes nothing, so the caller can resume at Offset on another stream.
type Assembler struct {
	attempt  ident.Attempt
	head     *wire.Head
	offset   int64
	ended    bool
	complete bool
}

// NewAssembler returns an Assembler for the response of attempt.
func NewAssembler(attempt ident.Attempt) *Assembler { return &Assembler{attempt: attempt} }

// Accept takes the next frame and returns what it adds. A frame received before
// adds nothing. Errors are *WrongAttemptError, *GapError, *LengthError,
// *OrderError and *wire.KindError.
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

// Offset returns the number of bytes received in order, which is the offset at
// which to resume.
func (a *Assembler) Offset() int64 { return a.offset }

// Complete reports whether the whole response was received.
func (a *Assembler) Complete() bool { return a.complete }

// Ended reports whether the attempt has ended, with or without a complete
// response.
func (a *Assembler) Ended() bool { return a.ended }

// Begun reports whether the Head was received.
func (a *Assembler) Begun() bool { return a.head != nil }

func (a *Assembler) checkFrame(attempt ident.Attempt, kind wire.Kind) error {
	if attempt != a.attempt {
		return &WrongAttemptError{Want: a.attempt, Got: attempt}
	}
	if a.ended {
		return &OrderError{Attempt: a.attempt, Kind: kind}
	}
	return nil
}

func (a *Assembler) acceptHead(m *wire.Head) (Part, error) {
	if err := a.checkFrame(m.Attempt, m.Kind()); err != nil {
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
	if err := a.checkFrame(m.Attempt, m.Kind()); err != nil {
		return Part{}, err
	}
	if a.head == nil {
		return Part{}, &OrderError{Attempt: a.attempt, Kind: m.Kind()}
	}
	if m.Offset < 0 || m.Offset > a.offset {
		return Part{}, &GapError{Attempt: a.attempt, Want: a.offset, Got: m.Offset}
	}
	received := a.offset - m.Offset
	if received >= int64(len(m.Data)) {
		return Part{}, nil
	}
	fresh := m.Data[received:]
	a.offset += int64(len(fresh))
	return Part{Data: fresh}, nil
}

func (a *Assembler) acceptEnd(m *wire.End) (Part, error) {
	if err := a.checkFrame(m.Attempt, m.Kind()); err != nil {
		return Part{}, err
	}
	if a.head == nil {
		return Part{}, &OrderError{Attempt: a.attempt, Kind: m.Kind()}
	}
	if m.Length != a.offset {
		return Part{}, &LengthError{Attempt: a.attempt, Received: a.offset, Length: m.Length}
	}
	a.ended, a.complete = true, true
	return Part{Complete: true, Unmarked: m.Unmarked}, nil
}

func (a *Assembler) acceptAbort(m *wire.Abort) (Part, error) {
	if err := a.checkFrame(m.Attempt, m.Kind()); err != nil {
		return Part{}, err
	}
	a.ended = true
	return Part{Abort: m}, nil
}

func (a *Assembler) acceptRefusal(m *wire.Refusal) (Part, error) {
	if err := a.checkFrame(m.Attempt, m.Kind()); err != nil {
		return Part{}, err
	}
	if a.head != nil {
		return Part{}, &OrderError{Attempt: a.attempt, Kind: m.Kind()}
	}
	a.ended = true
	return Part{Refusal: m}, nil
}
