package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// settingsInterval is the interval at which a settings file is compared with the
// text last read, since it may change without a signal.
const settingsInterval = 5 * time.Second

// WatchSettings calls changed with the text of a settings file on SIGHUP and when
// the text has changed, until ctx ends; signalled reports whether SIGHUP was
// received. A file that can't be read is skipped. After ctx ends, SIGHUP has no effect,
// so that the signal does not interrupt a graceful shutdown: the channel stays
// registered, because signal.Stop and signal.Ignore restore the default action for a
// moment, which ends the process.
func WatchSettings(ctx context.Context, path string, changed func(text []byte, signalled bool)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	last, _ := os.ReadFile(path)
	go func() {
		tick := time.NewTicker(settingsInterval)
		defer tick.Stop()
		for {
			signalled := false
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				signalled = true
			case <-tick.C:
			}
			text, err := os.ReadFile(path)
			if err != nil || !signalled && bytes.Equal(text, last) {
				continue
			}
			last = text
			changed(text, signalled)
		}
	}()
}
