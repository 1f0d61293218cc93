package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// bin is the directory with the programs, which are built once for all tests.
var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "laureltally-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	bin = dir
	return m.Run()
}
