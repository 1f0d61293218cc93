package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
)

// Ports are taken from below the range that the system gives to sockets without
// a port of their own, so that nothing takes one between two uses.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(lastPort - firstPort)) }

// freePort returns a loopback address whose port is free.
func freePort(network string) (string, error) { return FreeAddress(network, "127.0.0.1") }

// FreeAddress returns an IP address with a port that is free there. Ports are given
// out in turn, so that none comes again soon.
func FreeAddress(network, ip string) (string, error) {
	var err error
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("%s:%d", ip, port)
		if err = probe(network, address); err == nil {
			return address, nil
		}
	}
	return "", fmt.Errorf("find a port: %w", err)
}

// probe listens on the address for a moment.
func probe(network, address string) error {
	if strings.HasPrefix(network, "udp") {
		conn, err := net.ListenPacket(network, address)
		if err != nil {
			return err
		}
		return conn.Close()
	}
	ln, err := net.Listen(network, address)
	if err != nil {
		return err
	}
	return ln.Close()
}
