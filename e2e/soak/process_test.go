package soak

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// exitGrace is how long a process may take to exit: its configured 8 s, and a
// second for a busy machine.
const exitGrace = 9 * time.Second

// process is a program that the test starts, and restarts after it has exited.
type process struct {
	t                       *testing.T
	name, program, settings string
	// env is added to the environment.
	env []string
	log *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan error
	// ending is set once the process has been sent a signal to exit.
	ending bool
	starts int
	// down and paused are the spans in which calls may fail or wait.
	down, paused []span
}

// span is a period of time. A zero end means that it has not ended.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

func newProcess(t *testing.T, dir, name, program, settings string) *process {
	t.Helper()
	file := filepath.Join(dir, name+".hujson")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	return &process{t: t, name: name, program: filepath.Join(bin, program), settings: file, log: log}
}

func (p *process) start() {
	if p.run() {
		p.awaitStart()
	}
}

func (p *process) run() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.program, p.settings)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	// The process is killed if the test crashes.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		p.t.Errorf("start %s: %v", p.name, err)
		return false
	}
	cmd, done := p.cmd, make(chan error, 1)
	p.done, p.ending = done, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if p.cmd == cmd && !p.ending {
			p.t.Errorf("%s exited unexpectedly: %v", p.name, err)
		}
		p.mu.Unlock()
		done <- err
	}()
	return true
}

// startTimeout bounds the start of a process.
const startTimeout = 10 * time.Second

// awaitStart waits for the line that a process logs once it listens. Before that
// it does not handle signals yet.
func (p *process) awaitStart() {
	p.starts++
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		text, err := os.ReadFile(p.log.Name())
		if err == nil && bytes.Count(text, []byte(`"message":"started"`)) >= p.starts {
			return
		}
	}
	p.t.Errorf("%s did not start within %v", p.name, startTimeout)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("signal %s: %v", p.name, err)
	}
}

// kill kills the process and starts it again after a delay.
func (p *process) kill(downtime time.Duration) {
	p.openSpan(&p.down)
	p.signal(syscall.SIGKILL)
	<-p.done
	time.Sleep(downtime)
	p.start()
}

// terminate stops the process gracefully and starts it again.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		if err != nil {
			p.t.Errorf("%s exited with %v", p.name, err)
		}
	case <-time.After(exitGrace):
		p.t.Errorf("%s did not exit within %v", p.name, exitGrace)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	p.openSpan(&p.down)
	p.start()
}

// pause suspends the process for d.
func (p *process) pause(d time.Duration) {
	p.openSpan(&p.paused)
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	p.closeSpan(&p.paused)
}

// end kills the process at the end of a seed.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	p.log.Close()
}

func (p *process) openSpan(spans *[]span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*spans = append(*spans, span{from: time.Now()})
}

func (p *process) closeSpan(spans *[]span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(*spans); n > 0 && (*spans)[n-1].to.IsZero() {
		(*spans)[n-1].to = time.Now()
	}
}

// within returns the total length of the spans that overlap a period, and whether
// any do.
func (p *process) within(spans *[]span, from, to time.Time) (sum time.Duration, any bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range *spans {
		if s.overlaps(from, to) {
			any = true
			end := s.to
			if end.IsZero() {
				end = time.Now()
			}
			sum += end.Sub(s.from)
		}
	}
	return sum, any
}

func ipOf(worker, n int) string { return fmt.Sprintf("127.0.%d.%d", worker+10, n) }
