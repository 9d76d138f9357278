package rudderplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderview"
)

// A member of a group that serves does not answer, which no other probe has confirmed. Guards against a planner, or its successor, that
// ends the group although the member answers again, and against one that never ends it.
func TestUnansweredMemberIsConfirmed(t *testing.T) {
	for _, test := range []struct {
		name               string
		leads, fails, lost bool // fails: another planner takes over meanwhile
	}{
		{"follower answers", false, false, false}, {"leader answers", true, false, false}, {"leader answers a new planner", true, true, false},
		{"follower is lost", false, false, true}, {"leader is lost", true, false, true}, {"new planner loses leader", true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, large())
			f.addMany("d", 6) // no spare could replace a member
			f.run(5 * time.Second)
			f.traffic, f.sent = true, nil
			leader := f.leader("large")
			member := leader
			if !test.leads {
				member = f.follower(leader)
			}
			f.dead[member.Name], f.unconfirmed[member.Name] = true, true
			f.run(time.Second)
			require.Empty(t, f.sent)
			g := f.plans["d"].Plan.Groups[0]
			require.Equal(t, test.leads, g.Retiring)
			require.Equal(t, test.leads, g.Unconfirmed)
			if test.fails {
				f.state = NewState()
				f.run(time.Second)
				require.Empty(t, f.sent)
			}
			if test.lost {
				delete(f.unconfirmed, member.Name)
				f.run(time.Second)
				require.True(t, f.leaves(leader))
				return
			}
			delete(f.dead, member.Name)
			f.run(time.Second)
			require.Empty(t, f.sent)
			require.False(t, f.plans["d"].Plan.Groups[0].Retiring)
			require.Empty(t, f.plans["d"].Plan.Groups[0].Reason)
			require.Equal(t, g.Epoch, f.plans["d"].Plan.Groups[0].Epoch)
		})
	}
}

// Guards against a planner that, after it has ordered a member to leave, counts on a group whose silent member answers again.
func TestGroupEndsOnceAMemberWasOrderedToLeave(t *testing.T) {
	f := newFleet(t, large())
	f.addMany("d", 6)
	f.run(5 * time.Second)
	leader := f.leader("large")
	member := f.follower(leader)
	f.silent[leader.Name], f.dead[member.Name] = true, true // the order is not answered
	f.run(200 * time.Millisecond)
	delete(f.dead, member.Name)
	require.True(t, f.leaves(leader))
	f.sent = nil
	f.run(time.Second)
	require.True(t, f.leaves(leader), "the order is sent again")
	require.NotNil(t, f.state.retirements[rudderview.GroupID(leader.Membership.Group, leader.Membership.Epoch)])
}

// A member answers again right before the first order is sent, and another one is lost. Guards against a group that never ends, because
// its orders wait for the first one.
func TestGroupEndsWhenAnotherMemberIsLost(t *testing.T) {
	f := newFleet(t, large())
	f.addMany("d", 6)
	f.run(5 * time.Second)
	leader := f.leader("large")
	member := f.follower(leader)
	f.dead[member.Name] = true
	f.now += 100 * time.Millisecond
	Step(f.input())
	orders := Orders(f.input())
	require.NotEmpty(t, orders)
	for _, o := range orders {
		f.state.MarkSent(f.now, o)
		require.Equal(t, member.Name, o.Silent.Target)
		f.state.MarkDropped(o) // it answers again
	}
	delete(f.dead, member.Name)
	f.dead[leader.Name], f.unconfirmed[leader.Name] = true, true
	f.sent = nil
	f.run(time.Second)
	require.Empty(t, f.sent, "nobody is known to be lost")
	delete(f.unconfirmed, leader.Name)
	f.now += 100 * time.Millisecond
	Step(f.input())
	orders = Orders(f.input())
	require.NotEmpty(t, orders)
	for _, o := range orders {
		require.NotEqual(t, member.Name, o.Silent.Target, "the order does not depend on a member that answers")
	}
}
