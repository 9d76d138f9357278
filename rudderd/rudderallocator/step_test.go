package rudderallocator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// domain is a simulated fabric domain. Its targets carry out orders at once.
type domain struct {
	in      Input
	targets map[string]*ruddertarget.Status
	silent  map[string]bool
	last    Result
	orders  []Order
	formed  map[string]ruddergroup.Group // every group that was ever planned, by ID
}

func newDomain(hosts int, selectors ...rudderconfig.Selector) *domain {
	d := &domain{targets: map[string]*ruddertarget.Status{}, silent: map[string]bool{}, formed: map[string]ruddergroup.Group{}}
	d.in = Input{Now: start, Domain: "d1", Fencing: 7, Planner: "entry-1", Timing: DefaultTiming(), Observed: map[string]Observation{},
		Config: &rudderconfig.Document{Version: 3, Selectors: selectors,
			Models: []rudderconfig.Model{{Name: "m", Version: "1", WeightBytes: 1e9, SlotsPerGroup: 4}, {Name: "n", Version: "1", WeightBytes: 1e9}}}}
	for i := range hosts {
		h := rudderhost.Host{Name: fmt.Sprintf("h%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Kind: rudderhost.KindEngine,
			FabricDomain: "d1", State: rudderhost.StateLive}
		d.in.Hosts = append(d.in.Hosts, h)
		d.targets[h.Name] = &ruddertarget.Status{Host: h.Name, Incarnation: "1", Phase: ruddertarget.PhaseIdle}
	}
	return d
}

// tick simulates one second and applies the orders.
func (d *domain) tick() Result {
	d.decide()
	for _, o := range d.orders {
		d.apply(o)
	}
	return d.last
}

// decide simulates one second up to the orders: it polls, allocates and steps.
func (d *domain) decide() {
	d.in.Now = d.in.Now.Add(time.Second)
	down := map[string]bool{}
	for name, s := range d.targets {
		o := d.in.Observed[name]
		o.Age += time.Second
		if d.silent[name] {
			o.Missed++
		} else {
			s.Load.At = d.in.Now
			o = Observation{Status: *s, Known: true}
		}
		d.in.Observed[name], down[name] = o, o.Dead(d.in.Timing)
	}
	allocation := AllocationInput{Now: d.in.Now, Config: d.in.Config, Hosts: d.in.Hosts, Down: down}
	d.in.Want = Allocate(allocation).Domain("d1")
	d.in.Upcoming = Upcoming(allocation, d.in.Timing)["d1"]
	d.last = Step(d.in)
	d.in.Plan, d.orders = d.last.Plan, d.last.Orders
}

func (d *domain) apply(o Order) {
	s := d.targets[o.Host]
	if d.silent[o.Host] || s.Role.Group != o.Order.ExpectGroup {
		return
	}
	weights := weightsName(o.Order.Role.Model, o.Order.Role.ModelVersion)
	switch o.Order.Kind {
	case ruddertarget.OrderAssign:
		s.Role, s.Phase = o.Order.Role, ruddertarget.PhaseReady
	case ruddertarget.OrderRelease:
		s.Role, s.Phase = ruddertarget.Role{}, ruddertarget.PhaseIdle
		return
	}
	if !slices.Contains(s.Weights, weights) {
		s.Weights = append(s.Weights, weights)
	}
}

func (d *domain) ticks(n int) {
	for range n {
		d.tick()
	}
}

func (d *domain) states() []ruddergroup.State {
	var out []ruddergroup.State
	for _, g := range d.in.Plan.Groups {
		out = append(out, g.State)
	}
	return out
}

func (d *domain) hostsOf(i int) []string {
	var out []string
	for _, m := range d.in.Plan.Groups[i].Members {
		out = append(out, m.Host)
	}
	return out
}

func model(name string, size, wanted, priority int) rudderconfig.Selector {
	return rudderconfig.Selector{Name: name, Firm: "umuvumu", Model: "m", GroupSize: size, WantedGroups: wanted, Priority: priority}
}

// Guards against a group that serves before every member has reported ready.
func TestFormThenServe(t *testing.T) {
	d := newDomain(5, model("a", 2, 0, 0))
	d.tick()
	require.Equal(t, []ruddergroup.State{ruddergroup.StateLoading, ruddergroup.StateLoading}, d.states())
	require.Len(t, d.orders, 4)
	require.Equal(t, "d1.f7.s1.0", d.in.Plan.Groups[0].ID)
	d.targets["h01"].Phase = ruddertarget.PhaseLoading
	d.tick()
	require.Equal(t, []ruddergroup.State{ruddergroup.StateLoading, ruddergroup.StateServing}, d.states())
	d.targets["h01"].Phase = ruddertarget.PhaseReady
	d.tick()
	require.Equal(t, []ruddergroup.State{ruddergroup.StateServing, ruddergroup.StateServing}, d.states())
	require.False(t, d.tick().Changed, "a domain at its allocation does not change")
	require.Empty(t, d.orders)
}

// Guards against a new group with a host that is silent for a while, for which the others wait.
func TestSilentHostJoinsNoGroup(t *testing.T) {
	d := newDomain(5)
	d.tick()
	d.silent["h00"], d.silent["h01"] = true, true
	d.in.Config.Selectors = []rudderconfig.Selector{model("a", 2, 2, 0)}
	d.tick()
	require.Equal(t, []string{"h02", "h03"}, d.hostsOf(0))
	require.Len(t, d.in.Plan.Groups, 1)
	clear(d.silent)
	d.ticks(2)
	require.Equal(t, []ruddergroup.State{ruddergroup.StateServing, ruddergroup.StateServing}, d.states())
}

// Guards against reacting to a single missed poll, and against a replacement host that has to fetch weights
// although a spare host has them.
func TestDeadMemberIsReplaced(t *testing.T) {
	d := newDomain(6, model("a", 2, 2, 0))
	d.targets["h05"].Weights = []string{"m@1"}
	d.targets["h00"].Weights, d.targets["h01"].Weights = []string{"m@1"}, []string{"m@1"}
	d.targets["h02"].Weights = []string{"m@1"}
	d.ticks(3)
	used := append(d.hostsOf(0), d.hostsOf(1)...)
	require.Equal(t, []string{"h00", "h01", "h02", "h05"}, used)
	d.targets["h04"].Weights = []string{"m@1"}
	d.silent["h01"] = true
	d.ticks(2)
	require.False(t, d.last.Changed)
	d.tick()
	require.Equal(t, CodeMemberDead, d.last.Reasons[0].Code)
	require.Equal(t, []string{"h00", "h04"}, d.hostsOf(1), "the surviving member and the spare host with the weights")
	d.ticks(2)
	require.Equal(t, []ruddergroup.State{ruddergroup.StateServing, ruddergroup.StateServing}, d.states())
	d.silent["h01"] = false // it comes back with its old role
	d.ticks(2)
	require.Empty(t, d.targets["h01"].Role.Group)
}

// Guards against a planned stop that cuts a long request, and against a release while requests can still arrive
// at a draining group.
func TestLeavingHostDrains(t *testing.T) {
	d := newDomain(4, model("a", 2, 0, 0))
	d.ticks(3)
	leader := d.targets[d.hostsOf(0)[0]]
	leader.Load.Running = 1
	d.in.Hosts[1].State = rudderhost.StateLeaving
	d.ticks(60)
	require.Equal(t, ruddergroup.StateDraining, d.in.Plan.Groups[0].State, "a running request keeps the group draining")
	require.Equal(t, "host is leaving", d.in.Plan.Groups[0].Reason)
	leader.Load.Running = 0
	d.in.InFlight = map[string]int{d.in.Plan.Groups[0].ID: 1}
	d.ticks(5)
	require.NotEmpty(t, leader.Role.Group, "a shard owner counts a request that the load report lacks")
	d.in.InFlight = nil
	d.ticks(3)
	require.Empty(t, leader.Role.Group)
	require.Len(t, d.in.Plan.Groups, 1)
}

// Guards against releasing a group on the basis of a load report from before it was drained.
func TestDrainNeedsNewLoadReport(t *testing.T) {
	d := newDomain(2, model("a", 2, 0, 0))
	d.ticks(3)
	g := d.in.Plan.Groups[0]
	g.State, g.SinceUnixMS = ruddergroup.StateDraining, d.in.Now.Add(-time.Minute).UnixMilli()
	require.True(t, drained(d.in, g))
	o := d.in.Observed["h00"]
	o.Status.Load.At = d.in.Now.Add(-56 * time.Second)
	d.in.Observed["h00"] = o
	require.False(t, drained(d.in, g))
}

// Guards against a loading group that waits forever for a member that died, restarted or hangs.
func TestMemberFailsDuringLoad(t *testing.T) {
	for _, fault := range []string{"dead", "restarted", "hangs"} {
		d := newDomain(3, model("a", 2, 1, 0))
		d.tick()
		s := d.targets[d.hostsOf(0)[1]]
		switch fault {
		case "dead":
			d.silent[s.Host] = true
		case "restarted":
			*s = ruddertarget.Status{Host: s.Host, Incarnation: "2", Phase: ruddertarget.PhaseIdle}
		case "hangs":
			s.Phase, s.Weights = ruddertarget.PhaseLoading, nil
		}
		d.ticks(300)
		require.Equal(t, []ruddergroup.State{ruddergroup.StateServing}, d.states(), fault)
		if fault != "restarted" {
			require.NotContains(t, d.hostsOf(0), s.Host, fault)
		}
	}
}

// One firm's window opens when another firm's closes. Guards against hosts that idle while they fetch the
// second firm's weights, against groups that overlap at the change, and against loads for a window that closes
// within MinimumHold.
func TestAdjacentWindows(t *testing.T) {
	a, b := model("a", 2, 0, 0), model("b", 4, 0, 0)
	b.Model = "n"
	a.Windows = []rudderconfig.Window{{From: "08:00", To: "10:05", TimeZone: "UTC"}}
	b.Windows = []rudderconfig.Window{{From: "10:05", To: "20:00", TimeZone: "UTC"}}
	d := newDomain(4, a, b)
	d.ticks(250)
	require.Empty(t, d.targets["h00"].Weights[1:], "no fetch before the lead time of 40 s")
	d.targets["h00"].Load.Running = 1
	d.ticks(45)
	require.Contains(t, d.targets["h03"].Weights, "n@1")
	require.Len(t, d.in.Plan.Groups, 2)
	d.ticks(30)
	require.Equal(t, []ruddergroup.State{ruddergroup.StateDraining}, d.states(), "one group still has a request")
	d.targets["h00"].Load.Running = 0
	d.ticks(6)
	require.Equal(t, []ruddergroup.State{ruddergroup.StateServing}, d.states())
	require.Equal(t, "b", d.in.Plan.Groups[0].Selector)

	late := newDomain(4, a)
	late.in.Now = time.Date(2026, 12, 4, 10, 4, 10, 0, time.UTC)
	late.tick()
	require.Empty(t, late.in.Plan.Groups)
}

// Guards against a changed model version that takes all groups out of service at once.
func TestChangedSelectorRollsOut(t *testing.T) {
	d := newDomain(6, model("a", 2, 0, 0))
	d.ticks(3)
	d.in.Config.Models[0].Version = "2"
	for range 60 {
		d.tick()
		serving := 0
		for _, g := range d.in.Plan.Groups {
			if g.State == ruddergroup.StateServing {
				serving++
			}
		}
		require.GreaterOrEqual(t, serving, 2)
	}
	for _, g := range d.in.Plan.Groups {
		require.Equal(t, "2", g.ModelVersion)
	}
}

// Guards against draining a group that moves to another domain before its successor serves.
func TestSurplusWaitsForSuccessor(t *testing.T) {
	d := newDomain(4, model("a", 2, 2, 0))
	d.ticks(70)
	d.in.Config.Selectors[0].WantedGroups = 1
	d.in.WantTotal, d.in.ServingTotal = map[string]int{"a": 2}, map[string]int{"a": 2}
	d.ticks(5)
	require.Equal(t, []ruddergroup.State{ruddergroup.StateServing, ruddergroup.StateServing}, d.states())
	d.in.ServingTotal["a"] = 3
	d.tick()
	require.Contains(t, d.states(), ruddergroup.StateDraining)
}

// Guards against orders to hosts of plain services, which take none, and against waiting for them to load.
func TestServiceGroups(t *testing.T) {
	s := rudderconfig.Selector{Name: "s", Firm: "umuvumu", Service: "ledger", GroupSize: 1}
	d := newDomain(3, s, model("a", 3, 0, 9))
	d.in.Hosts[2].Kind = rudderhost.KindService
	d.tick()
	require.Equal(t, []ruddergroup.State{ruddergroup.StateServing}, d.states())
	require.Equal(t, []string{"h02"}, d.hostsOf(0))
	require.Empty(t, d.orders)
	d.targets["h02"].Incarnation = "2"
	d.tick()
	require.Equal(t, "d1.f7.s2.0", d.in.Plan.Groups[0].ID, "a restarted service is a new group")
}

// Guards against explanations that name the wrong reason.
func TestExplain(t *testing.T) {
	closed := model("night", 2, 0, 0)
	closed.Windows = []rudderconfig.Window{{From: "22:00", To: "23:00", TimeZone: "UTC"}}
	d := newDomain(6, model("a", 2, 2, 1), closed)
	d.in.Hosts[4].State = rudderhost.StateLeaving
	d.ticks(3)
	d.targets["h00"].Incarnation, d.in.Hosts[3].Kind = "2", rudderhost.KindService
	d.tick()
	s := Snapshot{Now: d.in.Now, Config: d.in.Config, Hosts: d.in.Hosts, Plans: []ruddergroup.Plan{d.in.Plan}, Observed: d.in.Observed, Timing: d.in.Timing}
	tests := []struct {
		host  string
		codes []Code
	}{
		{"h00", []Code{CodeLoading}}, {"h03", []Code{CodeDraining}}, {"h04", []Code{CodeLeaving, CodeEnough, CodeWindowClosed}},
		{"h05", []Code{CodeEnough, CodeWindowClosed}}, {"h09", []Code{CodeUnknownHost}},
	}
	for _, tt := range tests {
		var codes []Code
		for _, r := range s.WhyNot(tt.host) {
			require.NotEmpty(t, r.Text)
			codes = append(codes, r.Code)
		}
		require.Equal(t, tt.codes, codes, tt.host)
	}
	e, ok := s.Explain("night")
	require.True(t, ok)
	require.Equal(t, CodeWindowClosed, e.Reasons[0].Code)
	e, _ = s.Explain("a")
	require.Equal(t, DomainShare{Domain: "d1", Matching: 5, Usable: 4, Share: 2, Loading: 1, Draining: 1}, e.Domains[0])
}
