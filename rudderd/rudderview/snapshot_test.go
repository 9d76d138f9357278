package rudderview

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

func groupFixture() (Snapshot, rudderroster.Group) {
	s := Snapshot{Targets: map[string]*Target{}, Removed: map[string]*Target{}, Plans: map[string]PlanRecord{}, Suspicions: map[string]Suspicion{}}
	s.Table = rudderroute.NewTable(rudderroute.Document{Services: []rudderroute.Service{{
		Name: "llm", Engine: &rudderroute.Engine{Slots: 4, Models: []rudderroute.Model{{Name: "m", Size: 2}}},
	}}})
	g := rudderroster.Group{Name: "g", Epoch: 7, Model: "m"}
	for rank, name := range []string{"a", "b"} {
		x := target("llm")
		x.Name, x.Model, x.FabricDomain = name, "m", "d"
		x.Membership = ruddertarget.Membership{Group: "g", Epoch: 7, Rank: rank, Phase: ruddertarget.GroupReady}
		s.Targets[name] = &x
		g.Members = append(g.Members, rudderroster.Member{Target: name, Born: 1})
	}
	s.Targets["a"].Membership.Phase = ruddertarget.GroupOpen
	s.Plans[PlanPrefix+"llm/d"] = PlanRecord{Plan: rudderroster.Plan{Service: "llm", Domain: "d", Groups: []rudderroster.Group{g}}}
	return s, g
}

// Guards against sending requests to a group that lacks a member, has formed again under another epoch, is
// not open or is not planned.
func TestGroupsThatTakeRequests(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(s *Snapshot)
		serves bool
	}{
		{"complete", func(*Snapshot) {}, true},
		{"leader only ready", func(s *Snapshot) { s.Targets["a"].Membership.Phase = ruddertarget.GroupReady }, false},
		{"leader has no record", func(s *Snapshot) { s.Removed["a"] = s.Targets["a"]; delete(s.Targets, "a") }, false},
		{"follower has no record", func(s *Snapshot) { s.Removed["b"] = s.Targets["b"]; delete(s.Targets, "b") }, true},
		{"follower is unknown", func(s *Snapshot) { delete(s.Targets, "b") }, false},
		{"follower restarted", func(s *Snapshot) { s.Targets["b"].Born = 2 }, false},
		{"follower joined another group", func(s *Snapshot) { s.Targets["b"].Membership.Group = "h" }, false},
		{"follower has another epoch", func(s *Snapshot) { s.Targets["b"].Membership.Epoch = 8 }, false},
		{"follower is suspected", func(s *Snapshot) { s.Suspicions["x"] = Suspicion{Target: "b", Born: 1, Confirmed: true} }, false},
		{"follower is suspected by one entry host", func(s *Snapshot) { s.Suspicions["x"] = Suspicion{Target: "b", Born: 1} }, true},
		{"leader leaves", func(s *Snapshot) { s.Targets["a"].State = rudderhost.StateLeaving }, false},
		{"follower leaves", func(s *Snapshot) { s.Targets["b"].State = rudderhost.StateLeaving }, true},
		{"not planned", func(s *Snapshot) { s.Plans = map[string]PlanRecord{} }, false},
		{"planned to end", func(s *Snapshot) {
			record := s.Plans[PlanPrefix+"llm/d"]
			record.Plan.Groups[0].Retiring = true
		}, false},
		{"planned to end, unconfirmed", func(s *Snapshot) {
			record := s.Plans[PlanPrefix+"llm/d"]
			record.Plan.Groups[0].Retiring, record.Plan.Groups[0].Unconfirmed = true, true
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, _ := groupFixture()
			test.change(&s)
			s.index()
			require.Equal(t, test.serves, len(s.Groups("llm", "m")) == 1)
		})
	}
}

// Guards against streams that keep waiting for a group that has ended, and against streams that are cut off
// because a record is late.
func TestGroupsThatEnd(t *testing.T) {
	s, _ := groupFixture()
	s.index()
	g := s.Groups("llm", "m")[0]
	require.False(t, s.Ended(g))
	planned := &s.Plans[PlanPrefix+"llm/d"].Plan.Groups[0]
	planned.Retiring, planned.Unconfirmed = true, true
	require.False(t, s.Ended(g))
	planned.Unconfirmed = false
	require.True(t, s.Ended(g))
	planned.Retiring = false
	s.Removed["b"] = s.Targets["b"]
	delete(s.Targets, "b")
	require.False(t, s.Ended(g))
	restarted := *s.Removed["b"]
	restarted.Born = 2
	s.Targets["b"] = &restarted
	require.True(t, s.Ended(g))
}

// Guards against a new planner that counts a retirement from before any member was ordered to leave: it would let members join other groups
// before their leader must have broken.
func TestRetirementCountsOnceConfirmed(t *testing.T) {
	uptime := time.Minute
	v := &View{Uptime: func() time.Duration { return uptime }}
	g := rudderroster.Group{Name: "g", Epoch: 7, Retiring: true, Unconfirmed: true}
	plan := func() rudderroster.Plan { return rudderroster.Plan{Groups: []rudderroster.Group{g}} }
	record := v.planRecord(PlanRecord{}, plan(), 1)
	require.Empty(t, record.RetiringSince)
	uptime += 2 * time.Second
	g.Unconfirmed = false
	record = v.planRecord(record, plan(), 2)
	uptime += time.Second
	require.Equal(t, map[string]time.Duration{"g@7": uptime - time.Second}, v.planRecord(record, plan(), 3).RetiringSince)
}

// Guards against sending a request for a model that has no group to groups of another model, which cannot
// answer it. It must be refused at once.
func TestGroupsOfAModel(t *testing.T) {
	s, _ := groupFixture()
	s.Table = rudderroute.NewTable(rudderroute.Document{Services: []rudderroute.Service{
		{Name: "llm", Engine: &rudderroute.Engine{Slots: 4, Models: []rudderroute.Model{{Name: "m", Size: 2}, {Name: "lost", Size: 2}}}},
		{Name: "plain"},
	}})
	plain := target("plain")
	plain.Name = "p"
	s.Targets["p"] = &plain
	s.index()
	for _, test := range []struct {
		service, model string
		groups         int
	}{
		{"llm", "m", 1},
		{"llm", "", 1},
		{"llm", "lost", 0},
		{"llm", "unheard-of", 1}, // the target decides how to answer
		{"plain", "m", 1},
		{"plain", "", 1},
		{"none", "m", 0},
	} {
		require.Len(t, s.Groups(test.service, test.model), test.groups, "%s %s", test.service, test.model)
	}
}
