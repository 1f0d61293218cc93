package harness

import (
	"bytes"
	"os"
	"path/filepath"
)

// LogTail returns the last maxBytes bytes of each process's log, by file name.
func (c *Cluster) LogTail(maxBytes int) map[string]string {
	tails := make(map[string]string)
	paths, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil || len(b) == 0 {
			continue
		}
		tail := b[max(0, len(b)-maxBytes):]
		tails[filepath.Base(path)] = string(bytes.TrimSpace(tail))
	}
	return tails
}
