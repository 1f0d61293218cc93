package orderbook

// Answer is what came back for a submitted order.
type Answer int

// The answers to a submission. After AnswerLost the order may run or not.
const (
	AnswerAccepted Answer = iota + 1
	AnswerRefused
	AnswerLost
)
