package main

import (
	"fmt"
	"syscall"
	"time"
)

// minMeasuredTime is the least CPU time over which a cost is averaged.
const minMeasuredTime = 100 * time.Millisecond

// batch is the number of calls between two reads of the CPU time.
const batch = 64

// cpuTime returns the CPU time that this process has used.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("getrusage: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// cost returns the mean CPU time of one call of f in microseconds, including
// garbage collection.
func cost(f func() error) (float64, error) {
	start, err := cpuTime()
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
		now, err := cpuTime()
		if err != nil {
			return 0, err
		}
		if now-start >= minMeasuredTime {
			return microseconds(now-start) / float64(calls), nil
		}
	}
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// costOf is like cost for a slow function, which it calls a fixed number of times.
func costOf(calls int, f func() error) (float64, error) {
	start, err := cpuTime()
	if err != nil {
		return 0, err
	}
	for range calls {
		if err := f(); err != nil {
			return 0, err
		}
	}
	end, err := cpuTime()
	return microseconds(end-start) / float64(calls), err
}
