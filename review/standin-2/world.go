package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host = "forecast.example"
	zone = "zone-a"
)

// world is one small installation: the project's programs as separate processes, and stand-ins.
type world struct {
	store   *store
	root    string
	dir     string
	net     string // the first three parts of the addresses
	begun   time.Time
	trouble bool

	peerPort, adminPort, appPort, frontPort, readyPort int

	mu     sync.Mutex
	record *os.File
	procs  map[string]*process
	hosts  int
}

// process is a process that the case has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// errCannotRun ends a case that can't run.
type errCannotRun struct{ error }

func newWorld(root, record string) *world {
	f, err := os.Create(record)
	check(err)
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	w := &world{
		root: root, dir: dir, begun: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: f, procs: make(map[string]*process),
		net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	w.store, err = startStore()
	check(err)
	for _, p := range []*int{&w.peerPort, &w.adminPort, &w.appPort, &w.frontPort, &w.readyPort} {
		*p = freePort()
	}
	w.note("disruption: %v", w.trouble)
	return w
}

func check(err error) {
	if err != nil {
		panic(errCannotRun{err})
	}
}

func freePort() int {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%s (%6.2f s) %s\n", time.Now().UTC().Format("15:04:05.000"), time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// ip returns the address of the n-th machine.
func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.net, n) }

// start starts a process. What a stand-in writes goes into the record, what a program of the
// project writes into a file of the temporary folder.
func (w *world) start(name string, standin bool, argv ...string) *process {
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Dir = w.root
	if standin {
		cmd.Stdout, cmd.Stderr = w.record, w.record
	} else {
		f, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		check(err)
		defer f.Close()
		cmd.Stdout, cmd.Stderr = f, f
	}
	check(cmd.Start())
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(p.done) }()
	w.mu.Lock()
	w.procs[name] = p
	w.mu.Unlock()
	w.note("process %s started", name)
	return p
}

func (w *world) signal(name string, s os.Signal) {
	w.mu.Lock()
	p := w.procs[name]
	w.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
	w.note("process %s gets signal %v", name, s)
}

func (w *world) process(name string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.procs[name]
}

// kill ends a process as a crash does, and waits until it has ended.
func (w *world) kill(name string) {
	w.signal(name, syscall.SIGKILL)
	w.mu.Lock()
	p := w.procs[name]
	w.mu.Unlock()
	<-p.done
}

// cpu returns the processor time that a process has spent, in seconds.
func (w *world) cpu(name string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.process(name).cmd.Process.Pid))
	check(err)
	_, after, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(after)
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	const ticksPerSecond = 100
	return float64(user+system) / ticksPerSecond
}

func (w *world) running(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.procs[name].done:
		return false
	default:
		return true
	}
}

// close ends all processes that were started.
func (w *world) close() {
	w.mu.Lock()
	procs := make([]*process, 0, len(w.procs))
	for _, p := range w.procs {
		procs = append(procs, p)
	}
	w.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(w.dir, keep)
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// settings writes the settings file of a process, as the templates of deploy/ fill it in.
func (w *world) settings(name string, s map[string]any) string {
	s["region"], s["zone"] = "region-a", zone
	s["metadata_store"] = w.store.address
	s["log"] = map[string]any{"format": "json", "level": "info"}
	text, err := json.Marshal(s)
	check(err)
	path := filepath.Join(w.dir, name+".hujson")
	check(os.WriteFile(path, text, 0o644))
	return path
}

// front is the address for clients of the n-th machine.
func (w *world) front(n int) string { return net.JoinHostPort(w.ip(n), strconv.Itoa(w.frontPort)) }

func (w *world) app(n int) string { return net.JoinHostPort(w.ip(n), strconv.Itoa(w.appPort)) }

// startIngress starts laureltally-ingress on the n-th machine.
func (w *world) startIngress(n int) string {
	name := fmt.Sprintf("front-%d", n)
	path := w.settings(name, map[string]any{
		"vm": name, "zones": []map[string]any{{"zone": zone, "region": "region-a"}},
		"listen": w.front(n), "readiness_listen": net.JoinHostPort(w.ip(n), strconv.Itoa(w.readyPort)),
		"admin_listen": net.JoinHostPort(w.ip(n), strconv.Itoa(w.adminPort)), "sidecar_port": w.peerPort,
		"retry_share": 0.2, "retry_slack": 52, "retry_window": "10s", "registration_interval": "1200ms",
		"config_within": "3000ms", "leaving_within": "3000ms", "shutdown_timeout": "8s", "memory_mb": 284, "max_files": 4200,
	})
	w.start(name, false, "target/laureltally-ingress", path)
	return name
}

// startSidecar starts laureltally-sidecar on the n-th machine.
func (w *world) startSidecar(n int, service string, first bool) string {
	name := fmt.Sprintf("side-%d", n)
	path := w.settings(name, map[string]any{
		"vm": name, "service": service, "engine_address": w.app(n),
		"peer_listen":  net.JoinHostPort(w.ip(n), strconv.Itoa(w.peerPort)),
		"admin_listen": net.JoinHostPort(w.ip(n), strconv.Itoa(w.adminPort)), "first_start": first, "order_lease": "3000ms",
	})
	w.start(name, false, "target/laureltally-sidecar", path)
	return name
}

// startServer starts a stand-in of a server on the n-th machine.
func (w *world) startServer(n int, id, service string, args ...string) string {
	name := fmt.Sprintf("server-%d", n)
	argv := append([]string{os.Args[0], "server", "-id", id, "-service", service, "-address", w.app(n), "-zone", zone, "-store", w.store.address}, args...)
	w.start(name, true, argv...)
	return name
}

// awaitReady waits until an ingress says that it is ready.
func (w *world) awaitReady(n int) {
	url := "http://" + net.JoinHostPort(w.ip(n), strconv.Itoa(w.readyPort)) + "/laureltally/readiness"
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	panic(errCannotRun{fmt.Errorf("machine %d is not ready", n)})
}

var limits = map[string]any{"header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 10000}

// engineSpec describes the engines of a service in the configuration.
func engineSpec(memoryMB, modelMB float64, models ...string) map[string]any {
	list := []map[string]any{}
	for _, m := range models {
		list = append(list, map[string]any{"name": m, "weights_mb": modelMB, "load_s": 6.0, "disk_s": 1.0, "warm_s": 0.78, "adapters": 0, "adapter_mb": 40.0})
	}
	return map[string]any{"slots": 32, "kv_tokens": 124398, "weights_mb": memoryMB, "adapter_slots": 8, "loads_per_s": 11, "models": list}
}
