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

// exitGrace is how long a process may take to end: its configured 8 s, and a
// second for a busy machine.
const exitGrace = 9 * time.Second

// process is a program that the soak starts, and starts again after it ended.
type process struct {
	t                       *testing.T
	name, program, settings string
	log                     *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan error
	// ending is set when the process was told to end.
	ending bool
	starts int
	// gone and paused are the spans in which callers may find nobody or wait.
	gone, paused []span
}

// span is a stretch of time; a zero end means that it goes on.
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
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	// A soak that crashes leaves no process behind.
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
			p.t.Errorf("%s ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		done <- err
	}()
	return true
}

// startTime bounds the start of a process.
const startTime = 10 * time.Second

// awaitStart waits for the line that a process logs once it listens. A signal
// before that would meet a process that cannot handle it yet.
func (p *process) awaitStart() {
	p.starts++
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		text, err := os.ReadFile(p.log.Name())
		if err == nil && bytes.Count(text, []byte(`"message":"started"`)) >= p.starts {
			return
		}
	}
	p.t.Errorf("%s has not started after %v", p.name, startTime)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("signal %s: %v", p.name, err)
	}
}

// kill ends the process without notice and starts it after a while.
func (p *process) kill(away time.Duration) {
	p.open(&p.gone)
	p.signal(syscall.SIGKILL)
	<-p.done
	time.Sleep(away)
	p.start()
}

// terminate ends the process gracefully and starts it again.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		if err != nil {
			p.t.Errorf("%s ended with %v", p.name, err)
		}
	case <-time.After(exitGrace):
		p.t.Errorf("%s has not ended after %v", p.name, exitGrace)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	p.open(&p.gone)
	p.start()
}

// pause stops the process for a while.
func (p *process) pause(d time.Duration) {
	p.open(&p.paused)
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	p.shut(&p.paused)
}

// end ends the process at the end of a seed.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	p.log.Close()
}

func (p *process) open(spans *[]span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*spans = append(*spans, span{from: time.Now()})
}

func (p *process) shut(spans *[]span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(*spans); n > 0 && (*spans)[n-1].to.IsZero() {
		(*spans)[n-1].to = time.Now()
	}
}

// within sums the spans that overlap a stretch of time, and tells whether any do.
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

func ipOf(lane, n int) string { return fmt.Sprintf("127.0.%d.%d", lane+10, n) }
