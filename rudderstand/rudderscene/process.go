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

// Addresses holds the listen addresses that a rudderd process writes to its log at start.
type Addresses struct {
	Caller string `json:"caller_address"`
	Admin  string `json:"admin_address"`
	Peer   string `json:"peer_address"`
}

// AddressesFromLog reads the listen addresses from the log file of a rudderd process. ok is false as long as
// the file does not contain them.
func AddressesFromLog(path string) (addresses Addresses, ok bool) {
	text, err := os.ReadFile(path) //nolint:gosec // a log file that this program created
	if err != nil {
		return addresses, false
	}
	for line := range bytes.Lines(text) {
		if json.Unmarshal(line, &addresses) == nil && addresses.Caller != "" && addresses.Admin != "" {
			return addresses, true
		}
	}
	return Addresses{}, false
}

// BuildRudderd compiles rudderd into a directory and returns the path of the binary.
func BuildRudderd(ctx context.Context, directory string) (string, error) {
	binary := filepath.Join(directory, "rudderd")
	output, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "comfreyrudder.example/rudderd").CombinedOutput() //nolint:gosec // fixed arguments
	return binary, errors.Wrapf(err, "building rudderd: %s", output)
}

// Sleep waits for the duration or until the context is done. It returns false if the context ended first.
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
