package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
)

// Ports are below the ephemeral range, so that the kernel assigns none of them to
// another socket between the check and the use.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(lastPort - firstPort)) }

// freePort returns a loopback address whose port is free.
func freePort(network string) (string, error) { return FreeAddress(network, "127.0.0.1") }

// FreeAddress returns the address of a free port at ip. Ports are assigned in turn,
// so that none is reused soon.
func FreeAddress(network, ip string) (string, error) {
	var err error
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("%s:%d", ip, port)
		if err = checkFree(network, address); err == nil {
			return address, nil
		}
	}
	return "", fmt.Errorf("find a free port: %w", err)
}

// checkFree fails if it can't listen on address.
func checkFree(network, address string) error {
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
