package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// sampleInterval is the time between two samples of a process. The kernel keeps the peak of
// the resident memory in between.
const sampleInterval = 20 * time.Millisecond

// usage records what a process uses at most.
type usage struct {
	t     *testing.T
	p     *process
	ports []int
	stop  chan struct{}
	ended sync.WaitGroup

	// start is the resident memory at the beginning. memory is the highest sum of resident
	// memory and unread bytes at a time, resident and unread are the highest of each, all in
	// bytes. descriptors is the highest number of open descriptors.
	start, memory, resident, unread int64
	descriptors                     int
}

// measure records the usage of a process that listens on TCP ports, until end is called.
func measure(t *testing.T, p *process, ports ...int) *usage {
	t.Helper()
	u := &usage{t: t, p: p, ports: ports, stop: make(chan struct{})}
	u.start = u.statusBytes("VmRSS:")
	u.ended.Go(func() {
		before := u.unreadBytes()
		for {
			select {
			case <-u.stop:
				return
			case <-time.After(sampleInterval):
			}
			if !p.lives() {
				return
			}
			resident, after := u.statusBytes("VmHWM:"), u.unreadBytes()
			u.resident, u.unread = max(u.resident, resident), max(u.unread, after)
			u.memory = max(u.memory, resident+max(before, after))
			u.descriptors = max(u.descriptors, u.openDescriptors())
			before = after
			u.resetPeak()
		}
	})
	return u
}

// end ends the recording.
func (u *usage) end() {
	close(u.stop)
	u.ended.Wait()
}

// resetPeak makes VmHWM begin anew with the current resident memory.
func (u *usage) resetPeak() {
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", u.p.pid), []byte("5"), 0); err != nil && u.p.lives() {
		u.t.Errorf("reset the peak of resident memory: %v", err)
	}
}

// statusBytes returns a field of the process's status.
func (u *usage) statusBytes(name string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.p.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(text, []byte(name))
	var kb int64
	_, _ = fmt.Sscan(string(rest), &kb)
	return kb << 10
}

func (u *usage) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.p.pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// tcpListen is the state of a listening socket in /proc/net/tcp, whose queue counts
// connections and not bytes.
const tcpListen = "0A"

// unreadBytes returns the bytes that the process's ports have received and that it has not
// read, of connections that it has accepted or not.
func (u *usage) unreadBytes() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		u.t.Errorf("read the receive queues: %v", err)
		return 0
	}
	defer file.Close()
	var suffixes []string
	for _, port := range u.ports {
		suffixes = append(suffixes, fmt.Sprintf(":%04X", port))
	}
	var sum int64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == tcpListen {
			continue
		}
		for _, suffix := range suffixes {
			if !strings.HasSuffix(fields[1], suffix) {
				continue
			}
			_, queue, _ := strings.Cut(fields[4], ":")
			n, _ := strconv.ParseInt(queue, 16, 64)
			sum += n
		}
	}
	return sum
}
