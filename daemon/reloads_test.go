package daemon

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

func TestHangupReloadsInsteadOfEnding(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.hujson")
	if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	got := make(chan bool, 1)
	Reloads(t.Context(), path, func(_ []byte, signalled bool) { got <- signalled })
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case signalled := <-got:
		if !signalled {
			t.Error("the change was not put down to the signal")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no reload")
	}
}

// A hangup that comes while the process shuts down must not end it.
func TestHangupAfterTheEndIsIgnored(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	Reloads(ctx, filepath.Join(t.TempDir(), "none"), func([]byte, bool) {})
	cancel()
	for range 20 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
