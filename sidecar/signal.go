package sidecar

// signal wakes all goroutines that wait for a change. The caller of its methods holds the
// mutex that guards it.
type signal struct{ next chan struct{} }

func newSignal() *signal { return &signal{next: make(chan struct{})} }

// broadcast wakes the waiting goroutines.
func (s *signal) broadcast() {
	close(s.next)
	s.next = make(chan struct{})
}

// wait returns a channel that is closed by the next broadcast.
func (s *signal) wait() <-chan struct{} { return s.next }
