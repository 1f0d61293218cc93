package main

import (
	"fmt"
	"syscall"
	"time"
)

// minSpan is the least processor time over which a cost is averaged.
const minSpan = 100 * time.Millisecond

// batch is how many calls are made between two looks at the clock.
const batch = 64

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("getrusage: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// cost returns the processor time of one call of f in microseconds, garbage
// collection included.
func cost(f func() error) (float64, error) {
	start, err := processorTime()
	if err != nil {
		return 0, err
	}
	for calls := 0; ; {
		for range batch {
			if err := f(); err != nil {
				return 0, err
			}
		}
		calls += batch
		now, err := processorTime()
		if err != nil {
			return 0, err
		}
		if now-start >= minSpan {
			return microseconds(now-start) / float64(calls), nil
		}
	}
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// costOf is cost for a function so slow that a fixed number of calls will do.
func costOf(calls int, f func() error) (float64, error) {
	start, err := processorTime()
	if err != nil {
		return 0, err
	}
	for range calls {
		if err := f(); err != nil {
			return 0, err
		}
	}
	end, err := processorTime()
	return microseconds(end-start) / float64(calls), err
}
