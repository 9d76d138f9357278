package rudderplan

import (
	"flag"
	"os"
	"testing"
)

// Property tests use a fixed seed unless the command line names another one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
