package boundedhttp

import (
	"errors"
	"net"
	"os"
	"slices"
	"testing"
	"time"
)

// takenConn is a client that takes a number of bytes of each write until its deadline.
type takenConn struct {
	net.Conn
	taken     []int
	deadlines []time.Time
}

func (c *takenConn) SetWriteDeadline(t time.Time) error {
	c.deadlines = append(c.deadlines, t)
	return nil
}

func (c *takenConn) Write(p []byte) (int, error) {
	if len(c.taken) == 0 {
		return len(p), nil
	}
	n := c.taken[0]
	c.taken = c.taken[1:]
	return n, os.ErrDeadlineExceeded
}

func writtenTo(t *testing.T, c *takenConn, whole time.Time) (int, error) {
	t.Helper()
	bounded := newConn(c, &Listener{limits: Limits{ProgressTimeout: time.Hour}, admission: newAdmission(1)})
	if err := bounded.SetWriteDeadline(whole); err != nil {
		t.Fatal(err)
	}
	return bounded.Write(make([]byte, 100))
}

// A reader that is slow but steady must get its response, one that takes nothing, or too
// long for the whole, must not be waited for.
func TestWriteLimitFollowsProgress(t *testing.T) {
	steady := &takenConn{taken: []int{1, 1, 1}}
	if n, err := writtenTo(t, steady, time.Time{}); n != 100 || err != nil {
		t.Fatal(n, err)
	}
	if len(steady.deadlines) != 4 {
		t.Fatalf("deadlines %v", steady.deadlines)
	}
	if n, err := writtenTo(t, &takenConn{taken: []int{1, 0}}, time.Time{}); n != 1 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(n, err)
	}
	past := time.Now().Add(-time.Second)
	late := &takenConn{taken: []int{1}}
	if n, err := writtenTo(t, late, past); n != 1 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(n, err)
	}
	if !slices.ContainsFunc(late.deadlines, past.Equal) {
		t.Fatalf("deadlines %v", late.deadlines)
	}
}

// The deadline must not be set anew for each write: a stream has many.
func TestFewDeadlinesForManyWrites(t *testing.T) {
	c := &takenConn{}
	bounded := newConn(c, &Listener{limits: Limits{ProgressTimeout: time.Hour}, admission: newAdmission(1)})
	for range 100 {
		if _, err := bounded.Write([]byte("a")); err != nil {
			t.Fatal(err)
		}
	}
	if len(c.deadlines) != 1 {
		t.Fatalf("%d deadlines", len(c.deadlines))
	}
}
