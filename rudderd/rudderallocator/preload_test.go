package rudderallocator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
)

// Guards against weights that are preloaded on hosts whose groups stay beyond the window's opening, while the
// hosts that get the new groups start to load only after it.
func TestPreloadsGoToFreeHosts(t *testing.T) {
	now := time.Date(2026, 3, 3, 4, 59, 30, 0, time.UTC) // a Tuesday
	borrowed := rudderconfig.Selector{Name: "b", Firm: "umuvumu", Model: "n", GroupSize: 2, WantedGroups: 1, Windows: []rudderconfig.Window{
		{Days: []string{"tue"}, From: "07:00", To: "14:00", TimeZone: "Africa/Kigali"},
	}}
	home := rudderconfig.Selector{Name: "a", Firm: "vercheres-lanoue", Model: "m", GroupSize: 2, WantedGroups: 1, Priority: 1}
	in := Input{
		Now: now, Domain: "d", Timing: DefaultTiming(), Observed: map[string]Observation{},
		Config:   &rudderconfig.Document{Selectors: []rudderconfig.Selector{home, borrowed}},
		Upcoming: []UpcomingWindow{{Selector: "b", Groups: 1, At: now.Add(30 * time.Second)}},
		Plan: ruddergroup.Plan{Domain: "d", Groups: []ruddergroup.Group{
			{ID: "g", Selector: "a", State: ruddergroup.StateServing, Members: []ruddergroup.Member{{Host: "h0"}, {Host: "h1"}}},
		}},
	}
	for _, name := range []string{"h0", "h1", "h2", "h3"} {
		in.Hosts = append(in.Hosts, rudderhost.Host{Name: name, Kind: rudderhost.KindEngine, FabricDomain: "d", State: rudderhost.StateLive})
		in.Observed[name] = Observation{Known: true}
	}
	var hosts []string
	for _, p := range preloads(in, newHostIndex(in.Config, in.Hosts)) {
		hosts = append(hosts, p.host.Name)
	}
	require.Equal(t, []string{"h2", "h3"}, hosts)
}
