package soak

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

// usage holds kernel counters of a process: read and write calls, bytes read and
// written, and wake-ups.
type usage struct{ reads, writes, read, written, wakeups float64 }

// usageOf returns the counters of a process. Wake-ups are the voluntary context
// switches of its threads.
func usageOf(t testing.TB, pid int) usage {
	t.Helper()
	io := counters(t, fmt.Sprintf("/proc/%d/io", pid))
	u := usage{reads: io["syscr"], writes: io["syscw"], read: io["rchar"], written: io["wchar"]}
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, task := range tasks {
		u.wakeups += counters(t, task)["voluntary_ctxt_switches"]
	}
	return u
}

func counters(t testing.TB, file string) map[string]float64 {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	all := make(map[string]float64)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ":")
		if n, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64); err == nil {
			all[name] = n
		}
	}
	return all
}

// TestCostOfAStreamedEvent logs the router's kernel counters per event of a long
// stream, and those of an idle router over the same time.
func TestCostOfAStreamedEvent(t *testing.T) {
	if os.Getenv("SOAK_COST") == "" {
		t.Log("set SOAK_COST to measure; the figures depend on the machine")
		return
	}
	t.Run("no budget", func(t *testing.T) { costOfAStreamedEvent(t, 0) })
	t.Run("budget", func(t *testing.T) { costOfAStreamedEvent(t, 160) })
}

func costOfAStreamedEvent(t *testing.T, memoryMB int) {
	const long, pause = 2000, 2 * time.Millisecond
	n := soakSize
	n.memoryMB = memoryMB
	in := newInstallation(t, 200, n)
	defer in.close()
	client := &http.Client{}
	engine := in.upstreams[0]
	serve := func(n int) usage {
		engine.SetStream(n, pause)
		before := usageOf(t, in.routers[0].cmd.Process.Pid)
		r := platformtest.Call{ID: fmt.Sprintf("cost-%d", n), Host: host, Path: "/outlook/a", Body: "x", Model: modelNames[0], Timeout: 8 * time.Second}.Do(t.Context(), client, in.routerAddress(0))
		if !r.Complete || r.Status != http.StatusOK {
			t.Fatalf("got %d %v", r.Status, r.Err)
		}
		after := usageOf(t, in.routers[0].cmd.Process.Pid)
		return usage{after.reads - before.reads, after.writes - before.writes, after.read - before.read, after.written - before.written, after.wakeups - before.wakeups}
	}
	serve(1)
	started := time.Now()
	u := serve(long)
	elapsed := time.Since(started)
	idleBefore := usageOf(t, in.routers[0].cmd.Process.Pid)
	time.Sleep(elapsed)
	idleAfter := usageOf(t, in.routers[0].cmd.Process.Pid)
	t.Logf("an event: %.2f reads, %.2f writes, %.0f bytes in, %.0f bytes out, %.2f wake-ups; in the same %v an idle router: %.0f, %.0f, %.0f, %.0f, %.0f",
		u.reads/long, u.writes/long, u.read/long, u.written/long, u.wakeups/long, elapsed.Round(time.Millisecond),
		idleAfter.reads-idleBefore.reads, idleAfter.writes-idleBefore.writes, idleAfter.read-idleBefore.read, idleAfter.written-idleBefore.written, idleAfter.wakeups-idleBefore.wakeups)
}
