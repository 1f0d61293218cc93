package config

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed makes property tests reproducible; -rapid.seed overrides it.
const rapidSeed = "20261203"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
