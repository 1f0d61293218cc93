package membership

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// The seed is fixed unless the command line, which Run parses, sets another.
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
