package harness

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one program that the harness has started.
type Process struct {
	Name    string
	args    []string
	path    string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error

	mu     sync.Mutex
	killed bool
}

// exitTimeout is how long a process may take to exit after SIGTERM before it is
// killed.
const exitTimeout = 30 * time.Second

// start starts the program, with its standard error appended to a log file. If
// readyLine is set, it waits for the line "ready ADDRESS" and returns the address.
func (p *Process) start(readyLine bool) (string, error) {
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return "", fmt.Errorf("open log: %w", err)
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stderr = logFile
	out, err := cmd.StdoutPipe()
	if err != nil {
		return "", fmt.Errorf("pipe: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return "", fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	address := ""
	in := bufio.NewReader(out)
	if readyLine {
		line, err := in.ReadString('\n')
		if err != nil {
			_ = cmd.Process.Kill()
			return "", fmt.Errorf("%s is not ready: %w", p.Name, err)
		}
		address = strings.TrimPrefix(strings.TrimSpace(line), "ready ")
	}
	done := p.done
	go func() {
		_, _ = io.Copy(io.Discard, in)
		p.err = cmd.Wait()
		_ = logFile.Close()
		close(done)
	}()
	return address, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate sends SIGTERM to the process and returns the error it exited with. A
// process that does not exit within exitTimeout is killed and gives a *HangError.
func (p *Process) Terminate() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("terminate %s: %w", p.Name, err)
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(exitTimeout):
		p.Kill()
		return &HangError{Process: p.Name, After: exitTimeout}
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// killed reports whether Kill was ever called on the process.
func (c *Cluster) killed(p *Process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

func (c *Cluster) process(name, program string, args ...string) *Process {
	return &Process{
		Name:    name,
		path:    filepath.Join(c.o.Bin, program),
		args:    args,
		logPath: filepath.Join(c.dir, name+".log"),
	}
}
