package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for property tests unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
