package endless

import (
	"runtime"
	"testing"
)

// Cost is what a call that got an answer without end has cost, in bytes.
type Cost struct {
	// Sent is what the server could send, with what the sockets buffer.
	Sent int64
	// Allocated is what the process has allocated meanwhile.
	Allocated uint64
}

// Bounds of the cost of a head, which are those of internal/headlimit with ample room for what
// the sockets buffer and for the call itself.
const (
	MaxHeadSent      = 1 << 20
	MaxHeadAllocated = 1 << 20
)

// Measure makes a call to a server that gives the answer.
func Measure(t testing.TB, a Answer, call func(address string)) Cost {
	t.Helper()
	s := Start(t, a)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call(s.Address)
	runtime.ReadMemStats(&after)
	c := Cost{Sent: s.Sent(), Allocated: after.TotalAlloc - before.TotalAlloc}
	t.Logf("sent %d KB, allocated %d KB", c.Sent>>10, c.Allocated>>10)
	return c
}

// CheckHead fails the test if a head cost more than its bounds.
func (c Cost) CheckHead(t testing.TB) {
	t.Helper()
	c.Check(t, MaxHeadSent, MaxHeadAllocated)
}

// Check fails the test if the cost exceeds the bounds.
func (c Cost) Check(t testing.TB, maxSent int64, maxAllocated uint64) {
	t.Helper()
	if c.Sent > maxSent {
		t.Errorf("the server could send %d bytes", c.Sent)
	}
	if c.Allocated > maxAllocated {
		t.Errorf("the client allocated %d bytes", c.Allocated)
	}
}
