package membership

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// Sets a fixed seed unless the command line gives another.
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
