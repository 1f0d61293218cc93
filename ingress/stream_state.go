package ingress

import (
	"github.com/apex/log"

	"github.com/laureltally/laureltally/upstreamhttp"
)

// streamState records how much of a response has reached the caller.
type streamState struct {
	// begun is set once any part has been sent.
	begun bool
	// lastID is the id of the last complete event, or the one that the caller resumed
	// from.
	lastID string
	// relayed counts the events sent, and skipped those that were not sent since the caller
	// had them already.
	relayed, skipped int
	// framing is that of the latest attempt's response.
	framing upstreamhttp.Framing
}

// fields returns what the final log line of a request says of its stream.
func (s *streamState) fields(software string) log.Fields {
	if s.framing == "" {
		return nil
	}
	return log.Fields{"software": software, "last_event": s.lastID, "events": s.relayed, "events_skipped": s.skipped, "framing": s.framing}
}
