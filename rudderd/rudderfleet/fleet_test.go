package rudderfleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

var now = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func fixture() *Fleet {
	f := &Fleet{}
	f.ObservePlan(ruddergroup.Plan{Domain: "d1", Seq: 4, Fencing: 2, Groups: []ruddergroup.Group{
		{ID: "g1", Selector: "a", Firm: "umuvumu", Model: "m", State: ruddergroup.StateServing,
			Members: []ruddergroup.Member{{Host: "h0", Incarnation: "1"}, {Host: "h1", Incarnation: "1"}}},
		{ID: "s1", Selector: "ledger", Firm: "umuvumu", Service: "ledger", State: ruddergroup.StateServing,
			Members: []ruddergroup.Member{{Host: "h2", Incarnation: "1"}}}}})
	f.ObserveStatus(report("h0", 0, now))
	f.ObserveStatus(report("h1", 1, now))
	f.ObserveStatus(Confirmation{Domain: "d1", Host: "h2", At: now, Status: ruddertarget.Status{Incarnation: "1"}})
	return f
}

func report(host string, rank int, at time.Time) Confirmation {
	return Confirmation{Domain: "d1", Host: host, At: at, Status: ruddertarget.Status{Incarnation: "1", Phase: ruddertarget.PhaseReady,
		Role: ruddertarget.Role{Group: "g1", Rank: rank}}}
}

// Guards against serving through a group that is not confirmed by recent reports of all its members.
func TestServingNeedsConfirmationFromEveryMember(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *Confirmation)
		reason Reason
	}{
		{"agrees", func(*Confirmation) {}, ""},
		{"other rank", func(c *Confirmation) { c.Status.Role.Rank = 0 }, ReasonOtherRole},
		{"no role", func(c *Confirmation) { c.Status.Role = ruddertarget.Role{} }, ReasonOtherRole},
		{"restarted", func(c *Confirmation) { c.Status.Incarnation = "2" }, ReasonRestarted},
		{"loading", func(c *Confirmation) { c.Status.Phase = ruddertarget.PhaseLoading }, ReasonNotReady},
		{"leaving", func(c *Confirmation) { c.Status.Leaving = true }, ReasonLeaving},
	}
	for _, tt := range tests {
		f := fixture()
		c := report("h1", 1, now.Add(time.Second))
		tt.change(&c)
		require.True(t, f.ObserveStatus(c))
		require.Equal(t, tt.reason, f.Groups(now.Add(time.Second))[0].NotServingReason, tt.name)
		require.Equal(t, tt.reason == "", len(f.Serving(now.Add(time.Second), Filter{Model: "m"})) == 1, tt.name)
	}
	f := fixture()
	require.Len(t, f.Serving(now.Add(2999*time.Millisecond), Filter{}), 2)
	require.Empty(t, f.Serving(now.Add(3*time.Second), Filter{}), "confirmations are too old")
	require.Len(t, f.Stranded(now, []rudderhost.Host{{Name: "h0"}, {Name: "h9"}}), 0, "hosts that serve or do not report are not stranded")
}

// Guards against an old report or plan, received late from another entry host, that replaces a newer one.
func TestObservationsNeverGoBack(t *testing.T) {
	f := fixture()
	old := report("h1", 1, now.Add(-time.Second))
	old.Status.Incarnation = "0"
	require.False(t, f.ObserveStatus(old))
	require.False(t, f.ObservePlan(ruddergroup.Plan{Domain: "d1", Seq: 3, Fencing: 9}))
	require.False(t, f.ObservePlan(ruddergroup.Plan{Domain: "d1", Seq: 4, Fencing: 2}))
	require.Len(t, f.Serving(now, Filter{}), 2)
	require.True(t, f.ObservePlan(ruddergroup.Plan{Domain: "d1", Seq: 5, Fencing: 2}))
	require.Empty(t, f.Serving(now, Filter{}))
}

// Guards against serving a workspace, class or firm that the group's selector does not allow.
func TestFilter(t *testing.T) {
	config := &rudderconfig.Document{Selectors: []rudderconfig.Selector{{Name: "a", Firm: "umuvumu", Workspaces: []string{"w1"},
		Classes: []rudderconfig.WorkClass{rudderconfig.ClassShort}}}}
	tests := []struct {
		filter Filter
		ids    int
	}{
		{Filter{Model: "m", Firm: "umuvumu", Workspace: "w1", Class: rudderconfig.ClassShort, Config: config}, 1},
		{Filter{Model: "m", Firm: "umuvumu", Workspace: "w2", Config: config}, 0},
		{Filter{Model: "m", Workspace: "w1", Class: rudderconfig.ClassLong, Config: config}, 0},
		{Filter{Model: "m", Firm: "vercheres"}, 0},
		{Filter{Service: "ledger"}, 1},
		{Filter{Service: "ledger", Config: config}, 0}, // its selector was removed
		{Filter{Domain: "d2"}, 0},
	}
	for i, tt := range tests {
		require.Len(t, fixture().Serving(now, tt.filter), tt.ids, "case %d", i)
	}
}

// Guards against downtime that starts or ends at the wrong sample, or that is counted per host instead of per
// group.
func TestDowntime(t *testing.T) {
	f := fixture()
	f.SampleDowntime(now, map[string]int{"a": 2})
	f.SampleDowntime(now.Add(2*time.Second), map[string]int{"a": 2})
	f.SampleDowntime(now.Add(4*time.Second), map[string]int{"a": 1})
	f.SampleDowntime(now.Add(5*time.Second), map[string]int{"a": 1})
	require.Equal(t, map[string]time.Duration{"a": 5 * time.Second}, f.Downtime())
}

// Guards against counting a domain whose hosts are unresponsive as serving, and against an entry host that has just
// started and takes all other domains for unreachable.
func TestUnresponsiveHosts(t *testing.T) {
	f := fixture()
	require.Empty(t, f.Unresponsive())
	require.Empty(t, (&Fleet{}).Unresponsive())
	require.Equal(t, 2*time.Second, f.OldestReport(now.Add(2*time.Second), "d1"))
	require.Equal(t, map[string]int{"a": 1, "ledger": 1}, f.ServingCounts(now))
	p, _ := f.Plan("d1")
	p.Seq, p.Unresponsive = p.Seq+1, []string{"h0", "h1", "h2"}
	f.ObservePlan(p)
	require.Equal(t, map[string]bool{"h0": true, "h1": true, "h2": true}, f.Unresponsive())
	f.SetFollowed(map[string]bool{})
	require.Empty(t, f.ServingCounts(now.Add(time.Minute)), "silent members do not serve")
}

// Guards against an entry host that does not follow a domain and serves through its groups without
// confirmations, reports them as lost, or ignores a report that contradicts the plan.
func TestUnfollowedDomain(t *testing.T) {
	f, later := fixture(), now.Add(time.Minute)
	p, _ := f.Plan("d1")
	require.Empty(t, f.ServingCounts(later), "the domain is followed and its reports are too old")
	require.False(t, f.Unconfirmed(now, "d1", p.Groups[0]))
	f.SetFollowed(map[string]bool{"d2": true})
	require.Equal(t, map[string]int{"a": 1, "ledger": 1}, f.ServingCounts(later))
	require.Empty(t, f.Serving(later, Filter{}), "new work needs a confirmation from every member")
	require.True(t, f.Unconfirmed(later, "d1", p.Groups[0]))
	f.ObserveStatus(report("h1", 0, later))
	require.False(t, f.Unconfirmed(later, "d1", p.Groups[0]), "a member reports another rank")
	require.Equal(t, map[string]int{"ledger": 1}, f.ServingCounts(later))
}

// Guards against new work for groups of an evacuated data centre, and against reports that count them as serving or their hosts as
// stranded.
func TestEvacuatedDataCentreDoesNotServe(t *testing.T) {
	f := fixture()
	plan, _ := f.Plan("d1")
	plan.Seq, plan.DataCentre = 5, "b"
	require.True(t, f.ObservePlan(plan))
	for evacuated, reason := range map[string]Reason{"a": "", "b": ReasonEvacuated} {
		f.Evacuated = func(dataCentre string) bool { return dataCentre == evacuated }
		require.Equal(t, reason, f.Groups(now)[0].NotServingReason)
		require.Equal(t, reason == "", len(f.Serving(now, Filter{})) == 2 && len(f.ServingCounts(now)) == 2)
		require.Empty(t, f.Stranded(now, []rudderhost.Host{{Name: "h0", DataCentre: "b"}}))
	}
}
