package wire

// Kind is the type byte of a message.
type Kind uint8

// The kinds of messages. The number of a removed kind is never reused.
const (
	KindHello                Kind = 1
	KindDispatch             Kind = 2
	KindResume               Kind = 3
	KindHead                 Kind = 4
	KindChunk                Kind = 5
	KindEnd                  Kind = 6
	KindAbort                Kind = 7
	KindRefusal              Kind = 8
	KindAttemptStatusRequest Kind = 9
	KindAttemptStatus        Kind = 10
	KindPing                 Kind = 11
	// 12 was a reply to Ping.
	KindSubscribe          Kind = 13
	KindReport             Kind = 14
	KindGossipRequest      Kind = 15
	KindGossipReply        Kind = 16
	KindCancel             Kind = 17
	KindLoadPermitRequest  Kind = 18
	KindLoadPermit         Kind = 19
	KindPrewarm            Kind = 20
	KindReserve            Kind = 21
	KindReserved           Kind = 22
	KindReservationOutcome Kind = 23
	KindQueued             Kind = 24
	KindLoadOutcome        Kind = 25
	KindStreamBegun        Kind = 26
	KindStreamOriginQuery  Kind = 27
	KindStreamOrigin       Kind = 28
	KindCrashFindings      Kind = 29
	KindServerLimits       Kind = 30
	KindAllotmentRequest   Kind = 31
	KindAllotmentLoan      Kind = 32
)
