package rudderchange

import (
	"flag"
	"os"
	"testing"
)

// Property tests use a fixed seed and few histories unless the command line says otherwise, as
// "make fuzz" does: 30 histories take about 10 s with the race detector on a busy machine.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "30"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
