package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Case is one run of a case: its record, its temporary folder and the processes of the system
// that it has started.
type Case struct {
	// Trouble is false for the same run without the disruption.
	Trouble bool
	Store   *Store

	begun  time.Time
	dir    string
	root   string
	subnet string
	ips    int

	mu        sync.Mutex
	record    *os.File
	processes []*Process
	atEnd     []func()
}

// NewCase begins a run. Path is that of the record, record.txt in the case's folder.
func NewCase(path string) (*Case, error) {
	path, err := filepath.Abs(path)
	if err != nil {
		return nil, err
	}
	folder := filepath.Dir(path)
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	c := &Case{
		Trouble: os.Getenv("TROUBLE") != "0", Store: NewStore(), begun: time.Now(), dir: dir, record: record,
		root:   filepath.Dir(filepath.Dir(folder)),
		subnet: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)),
	}
	c.Record("case %s, disruption: %t", filepath.Base(folder), c.Trouble)
	return c, nil
}

// IP returns a loopback address that no other part of the case has.
func (c *Case) IP() string {
	c.ips++
	return fmt.Sprintf("%s.%d", c.subnet, c.ips)
}

// Since returns the seconds from the begin of the case.
func (c *Case) Since(t time.Time) float64 { return t.Sub(c.begun).Seconds() }

// Record writes a line to record.txt.
func (c *Case) Record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to record.txt and to standard output.
func (c *Case) Say(format string, args ...any) {
	c.Record(format, args...)
	fmt.Printf(format+"\n", args...)
}

// AtEnd registers what End calls.
func (c *Case) AtEnd(f func()) { c.atEnd = append(c.atEnd, f) }

// End ends all that the case has started and removes the temporary folder.
func (c *Case) End() {
	for _, p := range c.processes {
		p.End()
	}
	for _, f := range c.atEnd {
		f()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
	_ = c.record.Close()
}

// FreePort returns a port that is free on an IP address for TCP and UDP.
func FreePort(ip string) (int, error) {
	for range 20 {
		ln, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return 0, err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		pc, err := net.ListenPacket("udp4", net.JoinHostPort(ip, fmt.Sprint(port)))
		_ = ln.Close()
		if err == nil {
			_ = pc.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port on %s", ip)
}

// Process is one process of the system.
type Process struct {
	Name    string
	c       *Case
	program string
	file    string
	log     *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	ending bool
	ended  chan struct{}
	// Ends holds when the process ended by itself.
	ends []time.Time
}

// restartDelay is the delay after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// Start starts a program of the deploy file with settings, as its template fills them in. The
// process is started again when it ends, as the platform does.
func (c *Case) Start(name, program string, settings map[string]any) (*Process, error) {
	text, err := json.MarshalIndent(settings, "", "\t")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, c: c, program: filepath.Join("target", program), file: file, log: log, ended: make(chan struct{})}
	if err := p.run(); err != nil {
		return nil, err
	}
	c.processes = append(c.processes, p)
	return p, nil
}

func (p *Process) run() error {
	cmd := exec.Command(filepath.Join(p.c.root, p.program), p.file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.c.root, p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ending {
		close(p.ended)
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	go p.await(cmd)
	return nil
}

func (p *Process) await(cmd *exec.Cmd) {
	err := cmd.Wait()
	p.mu.Lock()
	ending := p.ending
	if !ending {
		p.ends = append(p.ends, time.Now())
	}
	p.mu.Unlock()
	if ending {
		close(p.ended)
		return
	}
	p.c.Record("%s ended by itself: %v%s", p.Name, err, p.panicLine())
	time.Sleep(restartDelay)
	if err := p.run(); err != nil {
		p.c.Record("%s not started again: %v", p.Name, err)
	}
}

// panicLine returns the newest panic in the log, if there is one.
func (p *Process) panicLine() string {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return ""
	}
	i := bytes.LastIndex(text, []byte("panic: "))
	if i < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(text[i:], []byte("\n"))
	return ": " + string(line)
}

// Ends returns when the process ended by itself.
func (p *Process) Ends() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.ends...)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// End kills the process for good.
func (p *Process) End() {
	p.mu.Lock()
	p.ending = true
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
	}
	p.mu.Unlock()
	select {
	case <-p.ended:
	case <-time.After(5 * time.Second):
	}
}
