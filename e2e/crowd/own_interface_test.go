package crowd

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"unsafe"

	"github.com/laureltally/laureltally/internal/harness"
)

// ownMemoryMB is the memory of the VM of a router of the own interface.
const ownMemoryMB = 284

// startOwnRouter starts a router of the own interface with a model engine and a service.
func startOwnRouter(t *testing.T, descriptors int) *vm {
	t.Helper()
	c := harness.New(harness.Options{Bin: bin, Routers: 1, Engines: 1})
	t.Cleanup(c.Close)
	if err := c.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	settings := filepath.Join(c.Dir(), "router-0.json")
	v := &vm{
		process:  &process{name: "laureltally-router", pid: pidOf(t, settings), log: filepath.Join(c.Dir(), "router-0.log"), lives: c.Routers[0].Running, descriptors: descriptors},
		memoryMB: ownMemoryMB,
		callers:  strings.TrimPrefix(c.RouterURLs[0], "http://"),
		metrics:  strings.TrimPrefix(c.AdminURLs[0], "http://"),
	}
	limitDescriptors(t, v.pid, descriptors)
	v.questions = []question{
		{address: v.callers, path: ownOrders, authorization: "Bearer " + harness.Key, body: `{"id":"ordinary"}`, status: http.StatusCreated},
		{address: v.callers, path: "/readyz"},
		{address: v.metrics, path: "/metrics"},
	}
	v.awaitServed(t)
	return v
}

// pidOf returns the id of the process that was started with a settings file.
func pidOf(t *testing.T, settings string) int {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		// A process that has ended since the list was read has no command line.
		if text, err := os.ReadFile(f); err == nil && bytes.HasSuffix(text, []byte(settings+"\x00")) {
			pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(f)))
			return pid
		}
	}
	t.Fatalf("no process has the settings %s", settings)
	return 0
}

// limitDescriptors limits the open descriptors of a process that the test has started.
func limitDescriptors(t *testing.T, pid, n int) {
	t.Helper()
	limit := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0); errno != 0 {
		t.Fatalf("limit the descriptors of %d: %v", pid, errno)
	}
}

// ownOrders is the path of a service.
const ownOrders = "/services/" + string(harness.Environment) + "/portal/orders"

// postOwn begins a request at the own interface with a key.
var postOwn = request("POST", host, "/v1/chat/completions") + "Authorization: Bearer " + harness.Key + "\r\nContent-Type: application/json\r\n"

// Guards against headers at the own interface that take a multiple of their bytes.
func TestOwnInterfaceHeadersOfShortFields(t *testing.T) {
	fields := shortFields(hugeHeader)
	endure(t, startOwnRouter(t, manyDescriptors), callersPort, 60, &clients{send: func(c net.Conn, _ int) { write(c, postOwn+fields+shortOfBody) }, reads: true})
}

// Guards against bodies at the own interface that never end and are kept.
func TestOwnInterfaceBodiesShortOfTheirEnd(t *testing.T) {
	body := strings.Repeat("x", 1<<20-1000)
	endure(t, startOwnRouter(t, manyDescriptors), callersPort, 600, &clients{send: func(c net.Conn, n int) {
		bodyShortOfEnd(c, postOwn, body, n%2 == 0)
	}, reads: true})
}

// Guards against bodies at the own interface that are over the limit and read on.
func TestOwnInterfaceBodiesOverTheLimit(t *testing.T) {
	endure(t, startOwnRouter(t, manyDescriptors), callersPort, 200, &clients{send: func(c net.Conn, n int) { overLimit(c, postOwn, n) }, reads: true})
}

// Guards against connections at the own interface that use up the descriptors.
func TestOwnInterfaceIdleConnections(t *testing.T) {
	ready := request("GET", host, "/readyz")
	endure(t, startOwnRouter(t, fewDescriptors), callersPort, 1500, &clients{send: func(c net.Conn, n int) {
		write(c, []string{"", ready + "\r\n", ready, postOwn + shortOfBody}[n%4])
	}, reads: true})
}

// Guards against headers at the own interface's port of metrics that take a multiple of their
// bytes.
func TestOwnInterfaceMetricsHeadersOfShortFields(t *testing.T) {
	headersAtMetrics(t, startOwnRouter(t, manyDescriptors))
}

// Guards against connections at the own interface's port of metrics that use up the
// descriptors.
func TestOwnInterfaceMetricsIdleConnections(t *testing.T) {
	idleAtMetrics(t, startOwnRouter(t, fewDescriptors))
}

// Guards against a bound for crowds that refuses a single legal request at the own interface.
func TestCalmOwnInterface(t *testing.T) {
	v := startOwnRouter(t, fewDescriptors)
	q := v.questions[0]
	q.body = fmt.Sprintf(`{"id":%q}`, strings.Repeat("x", 1<<20-1000))
	if err := q.ask(); err != nil {
		t.Errorf("body near the limit: %v", err)
	}
	c := newCalm(t, v.callers)
	write(c.c, request("GET", host, "/readyz")+shortFields(largeHeaderBytes)+"\r\n")
	c.want("header of short fields", http.StatusOK, false)
}
