package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc.
const clockTick = 10 * time.Millisecond

// Positions of the user and system times in /proc/{pid}/stat, counted from the
// field after the command name.
const (
	userField   = 11
	systemField = 12
)

// CPUTime returns the CPU time that the process has used, user and system together.
func (p *Process) CPUTime() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read CPU time of %s: %w", p.Name, err)
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	var ticks int64
	for _, i := range []int{userField, systemField} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("read CPU time of %s: %w", p.Name, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}
