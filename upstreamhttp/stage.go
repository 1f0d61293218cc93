package upstreamhttp

// Stage is the stage of an exchange at which it failed.
type Stage string

// The stages of an exchange.
const (
	StageRequest Stage = "sending the request"
	StageHeader  Stage = "waiting for the response"
	StageBody    Stage = "reading the response"
)
