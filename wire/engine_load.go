package wire

import "time"

// EngineLoad is the load of an agent's engine at the time of a reply. It keeps routers
// informed about the engines that they use, between the agent's reports.
type EngineLoad struct {
	Running     int `cbor:"1,keyasint,omitempty"`
	Waiting     int `cbor:"2,keyasint,omitempty"`
	Concurrency int `cbor:"3,keyasint,omitempty"`
	// SwapWait and RemoteLoadWait are as in a Report.
	SwapWait       time.Duration `cbor:"4,keyasint,omitempty"`
	RemoteLoadWait time.Duration `cbor:"5,keyasint,omitempty"`
}
