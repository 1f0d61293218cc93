package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// settingsInterval is how often a settings file is compared with what was read;
// it may change without a signal.
const settingsInterval = 5 * time.Second

// Reloads calls changed with the text of a settings file when SIGHUP comes and
// when the file's text has changed, until ctx ends. Later ones are ignored, so
// that a graceful shutdown is not cut short.
func Reloads(ctx context.Context, path string, changed func(text []byte, signalled bool)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	last, _ := os.ReadFile(path)
	go func() {
		defer signal.Ignore(syscall.SIGHUP)
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
