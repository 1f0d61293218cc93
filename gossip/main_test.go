package gossip

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// A fixed seed unless the command line sets another.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}
