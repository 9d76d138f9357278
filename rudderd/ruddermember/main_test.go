package ruddermember

import (
	"flag"
	"os"
	"testing"
)

// Property tests use a fixed seed unless the command line sets another, as
// `make fuzz` does.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
