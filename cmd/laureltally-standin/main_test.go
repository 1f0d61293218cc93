package main

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/laureltally/laureltally/daemon"
)

func TestExitCodes(t *testing.T) {
	tests := []struct {
		args   []string
		code   int
		stdout string
	}{
		{[]string{"--help"}, daemon.ExitOK, "Commands:"},
		{[]string{"engine", "--help"}, daemon.ExitOK, "--checks-fences"},
		{[]string{"--version"}, daemon.ExitOK, "laureltally " + daemon.Version},
		{nil, daemon.ExitUsage, ""},
		{[]string{"bogus"}, daemon.ExitUsage, ""},
		{[]string{"engine", "--memory-mb", "much"}, daemon.ExitUsage, ""},
		{[]string{"service", "--listen", "nowhere"}, daemon.ExitFailed, ""},
		{[]string{"platform", "--vms", "missing.json"}, daemon.ExitFailed, ""},
	}
	for _, tt := range tests {
		var stdout, stderr bytes.Buffer
		if code := run(t.Context(), tt.args, &stdout, &stderr); code != tt.code {
			t.Errorf("%v: exit code %d, want %d: %s", tt.args, code, tt.code, &stderr)
		}
		if !strings.Contains(stdout.String(), tt.stdout) || (tt.code != daemon.ExitOK) != (stderr.Len() > 0) {
			t.Errorf("%v: printed %q and %q", tt.args, &stdout, &stderr)
		}
	}
}

func TestSubcommandsServeUntilCanceled(t *testing.T) {
	paths := map[string]string{"platform": "/vms", "engine": "/v1/models", "service": "/archive/1", "weights": "/control/counters"}
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			out, in := io.Pipe()
			code := make(chan int, 1)
			go func() { code <- run(ctx, []string{name, "--listen", "127.0.0.1:0"}, in, io.Discard) }()
			line, err := bufio.NewReader(out).ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			addr, ok := strings.CutPrefix(strings.TrimSpace(line), "ready ")
			if !ok {
				t.Fatalf("printed %q", line)
			}
			resp, err := http.Get("http://" + addr + path)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("status %d", resp.StatusCode)
			}
			stop()
			if c := <-code; c != daemon.ExitOK {
				t.Errorf("exit code %d", c)
			}
		})
	}
}
