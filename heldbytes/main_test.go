package heldbytes

import (
	"flag"
	"os"
	"testing"
)

// ciSeed makes the property tests reproducible; the flag -rapid.seed overrides
// it.
const ciSeed = "1"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", ciSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
