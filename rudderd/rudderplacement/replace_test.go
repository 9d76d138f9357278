package rudderplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// A follower leaves as planned at peak load, in a domain whose spares have other weights or none. Guards
// against ending the group before a spare can replace the follower: in the run scale-1 of vl-cabines-grown two
// groups closed after 1.2 s and were down for a load of 12 s, although their members stayed for ten seconds
// more.
func TestGroupServesUntilASpareCanReplaceALeavingFollower(t *testing.T) {
	const load, stays = 12 * time.Second, 9 * time.Second
	for _, test := range []struct {
		name   string
		staged []string // of the domain's spares
		down   time.Duration
	}{
		{"spares without weights", nil, load - stays + 2*time.Second},
		{"spares with the weights", []string{"large"}, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, large())
			f.addMany("d", 8)
			f.run(5 * time.Second)
			f.traffic, f.loadTime = true, load
			leaving := f.follower(f.leader("large"))
			for _, x := range f.targets {
				if x.Membership.Group == "" {
					x.Staged, x.Model = test.staged, ""
					delete(f.state.staging, x.Name)
				}
			}
			f.state.orders = map[string]*sentOrder{}
			leaving.State = rudderhost.StateLeaving
			begin, down := f.now, time.Duration(0)
			for f.now < begin+30*time.Second {
				if f.now >= begin+stays && !f.dead[leaving.Name] {
					f.dead[leaving.Name] = true
					f.removeRecord(leaving)
				}
				f.step()
				if f.open()["large"] == 0 {
					down += 100 * time.Millisecond
				}
			}
			require.LessOrEqual(t, down, test.down)
			require.Equal(t, 1, f.open()["large"])
		})
	}
}

// Guards against a group that keeps taking requests while its leader leaves because no spare can replace it.
func TestGroupOfALeavingLeaderIsClosed(t *testing.T) {
	f := newFleet(t, large())
	f.addMany("d", 6)
	f.run(5 * time.Second)
	f.traffic = true
	f.leader("large").State = rudderhost.StateLeaving
	f.run(3 * time.Second)
	require.Zero(t, f.open()["large"])
}

// All entry hosts lose power while the key-value service is down, and the new planner starts before all records
// are back. Guards against ending groups because a member has no record yet.
func TestNewPlannerWaitsForRecordsThatComeBack(t *testing.T) {
	f := newFleet(t, large())
	f.addMany("d", 8)
	f.run(5 * time.Second)
	f.traffic, f.state, f.withinStartupGrace = true, NewState(), true
	before := f.plans["d"]
	leader := f.leader("large")
	for _, x := range []*rudderview.Target{leader, f.follower(leader)} {
		f.hidden[x.Name] = x
		delete(f.targets, x.Name)
	}
	f.run(time.Second)
	require.Equal(t, before, f.plans["d"])
	for name, x := range f.hidden {
		f.targets[name] = x
		delete(f.hidden, name)
	}
	f.run(time.Second)
	f.withinStartupGrace = false
	f.run(time.Second)
	require.Equal(t, before, f.plans["d"])
	require.Equal(t, 1, f.open()["large"])
}

// The planner alone does not reach the leader of a group that serves, and a follower leaves. Guards against members that join
// another group before the leader must have broken: the time counted from the begin of the retirement, not from when the
// followers left.
func TestMembersOfAnUnreachableLeaderWaitFromWhenTheyLeft(t *testing.T) {
	f := newFleet(t, large(), small())
	f.addMany("d", 8)
	f.run(5 * time.Second)
	f.traffic = true
	leader := f.leader("large")
	leaving := f.follower(leader)
	f.silent[leader.Name] = true
	leaving.State = rudderhost.StateLeaving
	epoch, joined := leader.Membership.Epoch, false
	for end := f.now + 25*time.Second; f.now < end; {
		f.step() // checkJoin checks each join
		for _, x := range f.targets {
			joined = joined || x != leader && x.Membership.Epoch > epoch && f.left[x.Name].Epoch == epoch
		}
	}
	require.Equal(t, ruddertarget.GroupBroken, leader.Membership.Phase)
	require.True(t, joined, "a member joins another group")
}

// A new planner does not know an open leader without a record and continues its group with other targets; then
// the record of a former member comes back first. Guards against that member joining another group before the
// unknown leader must have broken; the target was then a member of two groups (found on umuvumu-tap-now-grown
// hunt-ec6b-3).
func TestMemberOfAnUnknownLeaderWaitsUntilItMustHaveBroken(t *testing.T) {
	for _, test := range []struct {
		name    string
		returns time.Duration // of the leader's record
	}{
		{"the leader's record comes back", 2 * time.Second},
		{"it does not return", time.Hour},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, large())
			f.addMany("d", 8)
			f.run(5 * time.Second)
			f.traffic, f.state = true, NewState()
			leader := f.leader("large")
			member := f.follower(leader)
			for _, x := range []*rudderview.Target{leader, member} {
				f.hidden[x.Name] = x
				delete(f.targets, x.Name)
			}
			for i := range 5 { // one more makes room for another group
				f.add("d", fmt.Sprint("new-", i))
			}
			f.run(time.Second)
			f.targets[member.Name] = member
			delete(f.hidden, member.Name)
			begin := f.now
			joined := false
			for f.now < begin+20*time.Second {
				if f.now-begin >= test.returns && f.hidden[leader.Name] != nil {
					f.targets[leader.Name] = leader
					delete(f.hidden, leader.Name)
				}
				f.step() // checkJoin checks each join
				joined = joined || member.Membership.Group != "" && member.Membership.Epoch > 1 && f.left[member.Name].Group != ""
			}
			require.True(t, joined, "the member joins another group")
		})
	}
}

// Guards against groups that cannot form after a restore of the key-value service has lost the plans: targets refuse epochs
// below those that they have seen.
func TestEpochsRiseAcrossARestore(t *testing.T) {
	start := rudderstore.EraStart(rudderstore.JoinRevision(2, 7))
	for _, test := range []struct{ revision, start, want int64 }{{0, 0, 1}, {90, 0, 91}, {0, start, start + 1}, {90, start, start + 1}, {start + 7, start, start + 8}} {
		in := &Input{EraStart: test.start}
		require.Equal(t, test.want, in.nextEpoch(&domain{stored: StoredPlan{Revision: test.revision}}))
	}
}

// A new planner finds a leader whose group is broken and ends the group, but the plan without it is not stored. Guards against
// forming the same epoch again: its end, which the leader has confirmed, would later free the members of a group that serves.
func TestEndedGroupDoesNotFormAgain(t *testing.T) {
	f := newFleet(t, large())
	f.addMany("d", 6)
	f.run(5 * time.Second)
	leader := f.leader("large")
	ended := leader.Membership
	f.state, f.sent, f.storeFails = NewState(), nil, true
	leader.Membership.Phase = ruddertarget.GroupBroken
	f.run(2 * time.Second)
	require.True(t, f.leaves(leader))
	for _, o := range f.sent {
		require.False(t, o.Order.Kind == ruddertarget.OrderJoin && o.Order.Group == ended.Group && o.Order.Epoch == ended.Epoch, "%s joins", o.Target)
	}
	f.storeFails = false
	f.run(5 * time.Second)
	require.Equal(t, ruddertarget.GroupOpen, f.leader("large").Membership.Phase)
}
