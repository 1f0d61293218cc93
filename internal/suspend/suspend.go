// Package suspend measures the time in which the machine was suspended.
package suspend

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures how long the machine has been suspended since the Clock was made. The steady
// clock, on which time.Now measures durations, does not count that time.
type Clock struct{ base time.Duration }

// NewClock returns a Clock that starts at zero.
func NewClock() (*Clock, error) {
	base, err := difference()
	return &Clock{base}, err
}

// unknown stands for the time if the clocks can't be read: longer than what anybody waits for.
const unknown = 24 * time.Hour

// Suspended returns the time since NewClock in which the machine was suspended.
func (c *Clock) Suspended() time.Duration {
	d, err := difference()
	if err != nil {
		return unknown
	}
	return max(0, d-c.base)
}

// difference returns by how much the clock that counts suspended time is ahead of the steady one.
func difference() (time.Duration, error) {
	// Read first, the steady clock is never too far ahead: a pause between the readings makes
	// the difference larger.
	steady, err := read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0, err
	}
	boot, err := read(unix.CLOCK_BOOTTIME)
	return boot - steady, err
}

func read(clock int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, fmt.Errorf("read clock %d: %w", clock, err)
	}
	return time.Duration(t.Nano()), nil
}
