package router

import (
	"strconv"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/wire"
)

// timeoutOf parses the timeout header. It returns the environment's default if the
// header is empty, and at most the environment's maximum.
func timeoutOf(value string, limits config.Limits) (time.Duration, *Failure) {
	if value == "" {
		return time.Duration(limits.DefaultDeadline), nil
	}
	d, ok := parseTimeout(value)
	if !ok || d <= 0 {
		return 0, notRun(wire.CodeMalformed, "header %s: %q is no positive duration", HeaderTimeout, value)
	}
	return min(d, time.Duration(limits.MaxDeadline)), nil
}

func parseTimeout(value string) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		return time.Duration(seconds * float64(time.Second)), true
	}
	d, err := time.ParseDuration(value)
	return d, err == nil
}
