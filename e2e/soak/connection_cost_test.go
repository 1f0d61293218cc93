package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

// TestCostOfAConnection logs the router's resident memory for an idle connection of a
// caller that has been served, and for one whose request is being served.
func TestCostOfAConnection(t *testing.T) {
	if os.Getenv("SOAK_COST") == "" {
		t.Log("set SOAK_COST to measure; the figures depend on the machine")
		return
	}
	for _, active := range []bool{false, true} {
		t.Run(fmt.Sprintf("active %v", active), func(t *testing.T) { costOfAConnection(t, active) })
	}
}

func costOfAConnection(t *testing.T, active bool) {
	const connections = 400
	in := newInstallation(t, 201, size{routers: 1, plainUpstreams: 2, direct: true, memoryMB: 1600})
	defer in.close()
	pid := in.routers[0].cmd.Process.Pid
	resident := func() float64 { return counters(t, fmt.Sprintf("/proc/%d/status", pid))["VmRSS"] }
	if active {
		for _, u := range in.upstreams {
			u.set(platformtest.Behavior{Hang: true})
		}
	}
	before := resident()
	for i := range connections {
		c, err := net.Dial("tcp4", in.routerAddress(0))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := fmt.Fprintf(c, "GET /read/a HTTP/1.1\r\nHost: %s\r\nX-Request-Id: c-%d\r\n\r\n", host, i); err != nil {
			t.Fatal(err)
		}
		if active {
			continue
		}
		if _, err := io.ReadAtLeast(c, make([]byte, 4<<10), 12); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(300 * time.Millisecond)
	running := 0
	for _, u := range in.upstreams {
		running += u.InFlight()
	}
	t.Logf("%d connections, %d requests running: %.1f KB resident each", connections, running, (resident()-before)/connections)
}
