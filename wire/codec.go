package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// headerBytes is the size of a frame header: the type byte and the length.
const headerBytes = 5

// Write sends one message in a single call of w.Write. It returns a *SizeError for
// a message whose body exceeds MaxMessageBytes.
func Write(w io.Writer, m Message) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode message of kind %d: %w", m.Kind(), err)
	}
	if len(body) > MaxMessageBytes {
		return &SizeError{Kind: m.Kind(), Bytes: len(body)}
	}
	frame := make([]byte, headerBytes+len(body))
	frame[0] = byte(m.Kind())
	binary.BigEndian.PutUint32(frame[1:headerBytes], uint32(len(body)))
	copy(frame[headerBytes:], body)
	_, err = w.Write(frame)
	return err
}

// Read reads one message. It returns io.EOF only between two messages, a
// *SizeError for an oversized message and a *KindError for an unknown kind.
func Read(r io.Reader) (Message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	kind := Kind(header[0])
	size := binary.BigEndian.Uint32(header[1:])
	if size > MaxMessageBytes {
		return nil, &SizeError{Kind: kind, Bytes: int(size)}
	}
	m, err := newMessage(kind)
	if err != nil {
		return nil, err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("read message of kind %d: %w", kind, err)
	}
	if err := cbor.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode message of kind %d: %w", kind, err)
	}
	return m, nil
}

func newMessage(kind Kind) (Message, error) {
	switch kind {
	case KindHello:
		return new(Hello), nil
	case KindDispatch:
		return new(Dispatch), nil
	case KindResume:
		return new(Resume), nil
	case KindHead:
		return new(Head), nil
	case KindChunk:
		return new(Chunk), nil
	case KindEnd:
		return new(End), nil
	case KindAbort:
		return new(Abort), nil
	case KindRefusal:
		return new(Refusal), nil
	case KindAttemptStatusRequest:
		return new(AttemptStatusRequest), nil
	case KindAttemptStatus:
		return new(AttemptStatus), nil
	case KindPing:
		return new(Ping), nil
	case KindSubscribe:
		return new(Subscribe), nil
	case KindReport:
		return new(Report), nil
	case KindGossipRequest:
		return new(GossipRequest), nil
	case KindGossipReply:
		return new(GossipReply), nil
	case KindCancel:
		return new(Cancel), nil
	case KindLoadPermitRequest:
		return new(LoadPermitRequest), nil
	case KindPrewarm:
		return new(Prewarm), nil
	case KindLoadPermit:
		return new(LoadPermit), nil
	case KindLoadOutcome:
		return new(LoadOutcome), nil
	case KindStreamBegun:
		return new(StreamBegun), nil
	case KindStreamOriginQuery:
		return new(StreamOriginQuery), nil
	case KindStreamOrigin:
		return new(StreamOrigin), nil
	case KindCrashFindings:
		return new(CrashFindings), nil
	case KindServerLimits:
		return new(ServerLimits), nil
	case KindAllotmentRequest:
		return new(AllotmentRequest), nil
	case KindAllotmentLoan:
		return new(AllotmentLoan), nil
	case KindReserve:
		return new(Reserve), nil
	case KindReserved:
		return new(Reserved), nil
	case KindReservationOutcome:
		return new(ReservationOutcome), nil
	case KindQueued:
		return new(Queued), nil
	default:
		return nil, &KindError{Kind: kind}
	}
}
