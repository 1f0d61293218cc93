package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
)

// process is a program that is started once. It fails the test if it ends by itself.
type process struct {
	name string
	pid  int
	log  string
	// lives reports whether the process has not ended.
	lives func() bool
	// descriptors limits the open descriptors of the process.
	descriptors int
}

// startProcess starts a program that can open a number of descriptors at most.
func startProcess(t *testing.T, program, settings string, descriptors int) *process {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, program+".hujson")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, program+".log"))
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$1"`, descriptors), filepath.Join(bin, program), file)
	cmd.Stdout, cmd.Stderr = log, log
	// The process is killed if the test crashes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	done, stopped := make(chan struct{}), atomic.Bool{}
	p := &process{name: program, pid: cmd.Process.Pid, log: log.Name(), descriptors: descriptors}
	p.lives = func() bool {
		select {
		case <-done:
			return false
		default:
			return true
		}
	}
	go func() {
		defer close(done)
		defer log.Close()
		if err := cmd.Wait(); !stopped.Load() {
			t.Errorf("%s ended by itself: %v\n%s", p.name, err, p.logEnd())
		}
	}()
	t.Cleanup(func() {
		stopped.Store(true)
		_ = cmd.Process.Kill()
		<-done
	})
	return p
}

// logEndBytes is how much of a log is shown.
const logEndBytes = 2000

func (p *process) logEnd() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logEndBytes):])
}
