package rudderview

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against requests to an evacuated data centre: after the request for the evacuation, beside a second one, on a host that starts
// meanwhile and after a restore of the service from an older copy, and against targets that stay without requests afterwards.
func TestEvacuatedDataCentresGetNoRequests(t *testing.T) {
	in := func(dataCentre string, x Target) Target {
		x.DataCentre, x.State = dataCentre, rudderhost.StateLive
		return x
	}
	leader := func(dataCentre string) Target {
		x := in(dataCentre, target("llm"))
		x.Born, x.Membership = 1, ruddertarget.Membership{Group: "g-" + dataCentre, Epoch: 1, Phase: ruddertarget.GroupOpen}
		return x
	}
	plan := func(dataCentre string) rudderroster.Plan {
		return rudderroster.Plan{Service: "llm", Domain: dataCentre, Groups: []rudderroster.Group{
			{Name: "g-" + dataCentre, Epoch: 1, Model: "m", Members: []rudderroster.Member{{Target: "e-" + dataCentre, Born: 1}}},
		}}
	}
	records := []rudderstore.Entry{
		at(1, 1, "routing", rudderroute.Document{Version: 1, Services: []rudderroute.Service{
			{Name: "plain"}, {Name: "llm", Engine: &rudderroute.Engine{Slots: 1, Models: []rudderroute.Model{{Name: "m", Size: 1}}}},
		}}),
		at(1, 2, "targets/p-a", in("a", target("plain"))), at(1, 3, "targets/p-b", in("b", target("plain"))),
		at(1, 4, "targets/e-a", leader("a")), at(1, 5, "targets/e-b", leader("b")), at(1, 6, PlanPrefix+"llm/a", plan("a")), at(1, 7, PlanPrefix+"llm/b", plan("b")),
	}
	evacuate := func(era, revision int64, dataCentre string) rudderstore.Entry {
		return at(era, revision, "op/evacuate/"+dataCentre, struct{}{})
	}
	write := func(v *View, e rudderstore.Entry) {
		v.applyChanges(rudderstore.WatchResult{Revision: e.Revision, Events: []rudderstore.Event{{Entry: e}}})
	}
	serving := func(v *View) (list []string) {
		for _, service := range []string{"plain", "llm"} {
			for _, g := range v.Snapshot().Groups(service, "") {
				list = append(list, g.Leader.DataCentre)
			}
		}
		return list
	}
	for _, test := range []struct {
		name   string
		change func(v *View, now *time.Duration)
		want   []string // data centres of the plain targets and of the groups
	}{
		{"one", func(v *View, _ *time.Duration) { write(v, evacuate(1, 8, "a")) }, []string{"b", "b"}},
		{"two", func(v *View, _ *time.Duration) { write(v, evacuate(1, 8, "a")); write(v, evacuate(1, 9, "b")) }, nil},
		{"ended", func(v *View, _ *time.Duration) {
			write(v, evacuate(1, 8, "a"))
			v.applyChanges(rudderstore.WatchResult{Revision: rudderstore.JoinRevision(1, 9), Events: []rudderstore.Event{removed("op/evacuate/a")}})
		}, []string{"a", "b", "a", "b"}},
		{"host starts meanwhile", func(v *View, _ *time.Duration) {
			v.replace(append(records[:len(records):len(records)], evacuate(1, 8, "a")), rudderstore.JoinRevision(1, 8))
		}, []string{"b", "b"}},
		{"lost by a restore", func(v *View, _ *time.Duration) {
			write(v, evacuate(1, 8, "a"))
			v.replace(records, rudderstore.JoinRevision(2, 7))
		}, []string{"b", "b"}},
		{"not written again after a restore", func(v *View, now *time.Duration) {
			write(v, evacuate(1, 8, "a"))
			v.replace(records, rudderstore.JoinRevision(2, 7))
			*now += v.ReturnGrace
			v.dropExpired()
		}, []string{"a", "b", "a", "b"}},
		{"not supported", func(v *View, _ *time.Duration) { v.Keys.EvacuationPrefix = ""; write(v, evacuate(1, 8, "a")) }, []string{"a", "b", "a", "b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Minute
			v := newView(&now)
			v.Keys.EvacuationPrefix = "op/evacuate/"
			v.replace(records, rudderstore.JoinRevision(1, 7))
			require.Equal(t, []string{"a", "b", "a", "b"}, serving(v))
			test.change(v, &now)
			require.Equal(t, test.want, serving(v))
		})
	}
}

// Guards against a flood of targets that are cold after the end of an evacuation, before their records say so, and against a limit for
// those whose records say that they are not.
func TestTargetsAreColdAfterAnEvacuation(t *testing.T) {
	const coldStart = 3 * time.Second
	record := func(coldFor time.Duration) Target {
		x := target("plain")
		x.DataCentre, x.State, x.ColdFor = "a", rudderhost.StateLive, coldFor
		return x
	}
	for _, test := range []struct {
		name          string
		before, since []rudderstore.Entry // records of the target before the end of the evacuation and after it
		want          time.Duration       // after the end
	}{
		{"no record since", []rudderstore.Entry{at(1, 2, "targets/x", record(0))}, nil, coldStart},
		{"says that it is not cold", []rudderstore.Entry{at(1, 2, "targets/x", record(0))}, []rudderstore.Entry{at(1, 9, "targets/x", record(0))}, 0},
		{"says for how long", nil, []rudderstore.Entry{at(1, 9, "targets/x", record(time.Second))}, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Minute
			v := newView(&now)
			v.Keys.EvacuationPrefix = "op/evacuate/"
			v.replace(append(test.before, at(1, 5, "op/evacuate/a", struct{}{})), rudderstore.JoinRevision(1, 5))
			end := removed("op/evacuate/a")
			end.Revision = rudderstore.JoinRevision(1, 6)
			v.applyChanges(rudderstore.WatchResult{Revision: end.Revision, Events: []rudderstore.Event{end}})
			for _, e := range test.since {
				v.applyChanges(rudderstore.WatchResult{Revision: e.Revision, Events: []rudderstore.Event{{Entry: e}}})
			}
			s := v.Snapshot()
			require.Equal(t, test.want, max(s.ColdUntil(s.Targets["x"], coldStart)-now, 0))
		})
	}
}
