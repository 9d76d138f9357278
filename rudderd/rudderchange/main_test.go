package rudderchange

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and a small number of histories for property tests. Flags on the command line,
// as in `make fuzz`, override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
