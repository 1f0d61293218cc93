package wire

// Kind is the type byte of a message.
type Kind uint8

// The kinds of messages. Numbers are never reused.
const (
	KindHello    Kind = 1
	KindDispatch Kind = 2
	KindResume   Kind = 3
	KindHead     Kind = 4
	KindChunk    Kind = 5
	KindEnd      Kind = 6
	KindAbort    Kind = 7
	KindRefusal  Kind = 8
	KindInquire  Kind = 9
	KindVerdict  Kind = 10
	KindPing     Kind = 11
	// 12 was an answer to Ping.
	KindSubscribe     Kind = 13
	KindReport        Kind = 14
	KindDigestRequest Kind = 15
	KindDigestReply   Kind = 16
	KindCancel        Kind = 17
	KindTicketRequest Kind = 18
	KindTicket        Kind = 19
	KindWake          Kind = 20
	KindReserve       Kind = 21
	KindReserved      Kind = 22
	KindSettle        Kind = 23
	KindQueued        Kind = 24
)
