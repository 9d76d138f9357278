package rudderapp

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderplanner"
	"comfreyrudder.example/rudderd/ruddersettings"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
)

// Guards against a poll that takes longer than a short poll interval: one unresponsive target then let the
// confirmations of all other targets expire. With default settings the default times must not change.
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

// Guards against an entry host that cannot reach the platform and sends new work to a drained host, because
// it gets the configuration from its peers but cannot read the plan.
func TestGroupOfADrainedHostIsDrainedByTheConfiguration(t *testing.T) {
	g := ruddergroup.Group{Members: []ruddergroup.Member{{Host: "a"}, {Host: "b"}}}
	document := &rudderconfig.Document{Hosts: []rudderconfig.HostSettings{{Name: "b"}, {Name: "c", Drain: true}}}
	require.False(t, drainedByConfig(document, g))
	document.Hosts[0].Drain = true
	require.True(t, drainedByConfig(document, g))
}
