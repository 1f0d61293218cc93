package standin

import "github.com/laureltally/laureltally/config"

// ServiceFaults is the body of /control/faults of a plain service.
type ServiceFaults struct {
	// Delay is added to each call before it runs.
	Delay config.Duration `json:"delay"`
	// FailBefore is how many of the next calls are answered with 503 before
	// they run, and FailAfter with 500 after they ran.
	FailBefore int `json:"fail_before"`
	FailAfter  int `json:"fail_after"`
	// DropConnections is how many of the next calls run and then lose their connection.
	DropConnections int `json:"cut"`
}
