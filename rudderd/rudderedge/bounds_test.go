package rudderedge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderforward"
)

// Guards against revoked keys that are accepted beyond their bound, changes that are batched for too long, and limits
// of zero where the platform sets no bounds.
func TestSettingsWithBounds(t *testing.T) {
	tests := []struct {
		name   string
		bounds Bounds
		want   Settings
	}{
		{"no bounds", Bounds{}, Settings{
			MaxKeyStaleness: 10 * time.Second, BatchPause: 150 * time.Millisecond, ReturnGrace: 2 * time.Second, StallTimeout: 6 * time.Second,
			StopGrace: 8 * time.Second, DirectoryLifetime: 2 * time.Second, Retries: rudderforward.RetryLimits{Window: 10 * time.Second},
		}},
		{"all bounds", Bounds{
			Revoke: 5 * time.Second, Drain: 3 * time.Second, Apply: 2 * time.Second, Stop: 4 * time.Second, Stall: 7 * time.Second,
			DirectoryLifetime: time.Second, Retries: rudderforward.RetryLimits{Ratio: 0.2, Extra: 3, Window: 5 * time.Second},
		}, Settings{
			MaxKeyStaleness: 4400 * time.Millisecond, MaxStaleness: 2000 * time.Millisecond, BatchPause: 300 * time.Millisecond, ReturnGrace: 2 * time.Second, StallTimeout: 7 * time.Second,
			StopGrace: 4 * time.Second, DirectoryLifetime: time.Second, Retries: rudderforward.RetryLimits{Ratio: 0.2, Extra: 3, Window: 5 * time.Second},
		}},
		{"bound on changes longer than the time to notice an outage", Bounds{Drain: 5 * time.Second, Apply: 4 * time.Second}, Settings{
			MaxKeyStaleness: 3400 * time.Millisecond, MaxStaleness: 3400 * time.Millisecond, BatchPause: 600 * time.Millisecond, ReturnGrace: 2 * time.Second,
			StallTimeout: 6 * time.Second, StopGrace: 8 * time.Second, DirectoryLifetime: 2 * time.Second, Retries: rudderforward.RetryLimits{Window: 10 * time.Second},
		}},
		{"bound on changes close to the bound on revoked keys", Bounds{Revoke: 5 * time.Second, Drain: 4 * time.Second, Apply: 4 * time.Second}, Settings{
			MaxKeyStaleness: 3400 * time.Millisecond, MaxStaleness: 3400 * time.Millisecond, BatchPause: 600 * time.Millisecond, ReturnGrace: 2 * time.Second,
			StallTimeout: 6 * time.Second, StopGrace: 8 * time.Second, DirectoryLifetime: 2 * time.Second, Retries: rudderforward.RetryLimits{Window: 10 * time.Second},
		}},
		{"bound on revoked keys below the margin", Bounds{Revoke: 500 * time.Millisecond, DirectoryLifetime: time.Minute}, Settings{
			MaxKeyStaleness: 600 * time.Millisecond, BatchPause: 150 * time.Millisecond, ReturnGrace: 2 * time.Second, StallTimeout: 6 * time.Second,
			StopGrace: 8 * time.Second, DirectoryLifetime: 2 * time.Second, Retries: rudderforward.RetryLimits{Window: 10 * time.Second},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { require.Equal(t, test.want, Settings{}.WithBounds(test.bounds)) })
	}
}
