package rudderapp

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderplanner"
	"comfreyrudder.example/rudderd/ruddersettings"
)

// Guards against a poll that takes longer than a short poll interval: one silent target then aged the
// confirmations of all other targets. The defaults must stay as they are.
func TestPlannerTimesFollowTheSettings(t *testing.T) {
	defaults := rudderplanner.DefaultTimes()
	s := ruddersettings.Settings{PollInterval: defaults.PollInterval, LeaseTTL: defaults.LeaseTTL, OrderTTL: defaults.OrderTTL}
	require.Equal(t, defaults, plannerTimes(s))
	s.PollInterval, s.LeaseTTL = 100*time.Millisecond, 600*time.Millisecond
	short := plannerTimes(s)
	require.Less(t, short.PollTimeout, s.PollInterval)
	require.Less(t, short.StoreTimeout, s.PollInterval)
	require.Less(t, short.CandidateDelay, s.LeaseTTL)
}
