package rudderallocator

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
