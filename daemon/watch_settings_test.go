package daemon

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

func TestSIGHUPReloadsSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.hujson")
	if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	got := make(chan bool, 1)
	WatchSettings(t.Context(), path, func(_ []byte, signalled bool) { got <- signalled })
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case signalled := <-got:
		if !signalled {
			t.Error("signalled is false after SIGHUP")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no reload within 10 s")
	}
}

// A SIGHUP during shutdown must not terminate the process.
func TestSIGHUPIsIgnoredDuringShutdown(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	WatchSettings(ctx, filepath.Join(t.TempDir(), "none"), func([]byte, bool) {})
	cancel()
	for range 20 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
