package upstreamhttp

// Stage tells how far an exchange had come.
type Stage string

// The stages of an exchange.
const (
	StageRequest Stage = "sending the request"
	StageHeader  Stage = "waiting for the answer"
	StageBody    Stage = "reading the answer"
)
