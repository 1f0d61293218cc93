package standin

import "github.com/laureltally/laureltally/config"

// ServiceFaults is the body of /control/faults of a plain service.
type ServiceFaults struct {
	// Delay is added to each call before it runs.
	Delay config.Duration `json:"delay"`
	// FailBefore is how many of the next calls get status 503 without a run,
	// FailAfter how many get status 500 after they ran.
	FailBefore int `json:"fail_before"`
	FailAfter  int `json:"fail_after"`
	// DropConnections is how many of the next calls run and then have their
	// connection closed without a response.
	DropConnections int `json:"cut"`
}
