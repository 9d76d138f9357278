package rudderplan

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

// domain is a simulated fabric domain: its targets take orders at once.
type domain struct {
	in      Input
	targets map[string]*ruddertarget.Status
	silent  map[string]bool
	last    Result
	orders  []Order
}

func newDomain(hosts int, selectors ...rudderconfig.Selector) *domain {
	d := &domain{targets: map[string]*ruddertarget.Status{}, silent: map[string]bool{}}
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

// tick lets a second pass: polls, allocates, steps and applies the orders.
func (d *domain) tick() Result {
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
	for _, o := range d.orders {
		d.apply(o)
	}
	return d.last
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

// Guards against a group that serves before every member said that it is ready.
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
	require.False(t, d.tick().Changed, "a settled domain does not change")
	require.Empty(t, d.orders)
}

// Guards against reacting to one missed poll, and against a replacement that has to fetch weights
// although a spare with them is there.
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
	require.Equal(t, []string{"h00", "h04"}, d.hostsOf(1), "the survivor and the spare with the weights")
	d.ticks(2)
	require.Equal(t, []ruddergroup.State{ruddergroup.StateServing, ruddergroup.StateServing}, d.states())
	d.silent["h01"] = false // it returns with its old role
	d.ticks(2)
	require.Empty(t, d.targets["h01"].Role.Group)
}
