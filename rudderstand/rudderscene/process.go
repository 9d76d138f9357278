package rudderscene

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// Addresses is where a rudderd process listens, as its log tells.
type Addresses struct {
	Caller string `json:"caller_address"`
	Admin  string `json:"admin_address"`
	Peer   string `json:"peer_address"`
}

// AddressesFromLog finds the addresses in a process's log; ok is false before it has started.
func AddressesFromLog(log string) (at Addresses, ok bool) {
	text, err := os.ReadFile(log) //nolint:gosec // a log that this program writes
	if err != nil {
		return at, false
	}
	for line := range bytes.Lines(text) {
		if json.Unmarshal(line, &at) == nil && at.Caller != "" && at.Admin != "" {
			return at, true
		}
	}
	return Addresses{}, false
}

// BuildRudderd builds the program into a directory and returns its path.
func BuildRudderd(ctx context.Context, directory string) (string, error) {
	binary := filepath.Join(directory, "rudderd")
	output, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "comfreyrudder.example/rudderd").CombinedOutput() //nolint:gosec // fixed arguments
	return binary, errors.Wrapf(err, "building rudderd: %s", output)
}

// Sleep waits, and reports whether the context still holds.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
