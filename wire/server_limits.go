package wire

import "time"

// ServerLimits tells what servers have said in responses of the number of requests that
// they take from all routers together. A router sends it to a sidecar, which passes it on
// to all routers whose Subscribe asks for it. There is no reply.
type ServerLimits struct {
	Servers []ServerLimit `cbor:"1,keyasint"`
}

// ServerLimit is what one server has said.
type ServerLimit struct {
	// Address and Started, in Unix milliseconds, identify one start of the server.
	Address string `cbor:"1,keyasint"`
	Started int64  `cbor:"2,keyasint"`
	// Named is set while the server names a limit, of PerSecond requests a second.
	Named     bool    `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since the response.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*ServerLimits) Kind() Kind { return KindServerLimits }
