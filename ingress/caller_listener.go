package ingress

import "net"

// callerListener accepts connections of callers whose bytes are counted. In a burst of
// callers that don't read, it accepts no faster than their connections can be ended.
type callerListener struct {
	net.Listener
	held *heldBytes
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.held.awaitDisconnected()
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		// It fails if the caller has disconnected, or if there is no room for it.
		if c, err := newCallerConn(tcp, l.held); err == nil {
			return c, nil
		}
		_ = tcp.Close()
	}
}
