package rudderchange

import (
	"flag"
	"os"
	"testing"
)

// Property tests use a fixed seed and few histories unless the command line says otherwise, as
// `make fuzz` does.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
