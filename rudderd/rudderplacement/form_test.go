package rudderplacement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against small groups that leave no room for large ones, and against spare targets without weights.
func TestDomainsAreDividedBetweenModels(t *testing.T) {
	for _, test := range []struct {
		name         string
		domains      []int
		large, small int
	}{
		{"three domains of 11 targets", []int{11, 11, 11}, 3, 3},
		{"a domain that fits one large group only", []int{6}, 1, 0},
		{"a domain too small for a large group", []int{4, 11}, 1, 2},
		{"two large groups in one domain", []int{19}, 2, 2},
		{"nothing fits", []int{2, 2}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, large(), small())
			for i, n := range test.domains {
				f.addMany(fmt.Sprint("d", i), n)
			}
			f.run(5 * time.Second)
			require.Equal(t, test.large, f.open()["large"])
			require.Equal(t, test.small, f.open()["small"])
			for _, x := range f.targets {
				require.Equal(t, test.large+test.small > 0, len(x.Staged) > 0, "weights of %s", x.Name)
			}
		})
	}
}

// Guards against a slow repair: a warm spare replaces a lost member with one write of the plan and no load.
func TestLostMemberIsReplacedByAWarmSpare(t *testing.T) {
	f := newFleet(t, large(), small())
	f.addMany("d", 11)
	f.run(5 * time.Second)
	f.traffic = true
	leader := f.leader("large")
	f.dead[f.follower(leader).Name] = true
	revision := f.revision
	f.run(time.Second)
	require.Equal(t, 1, f.open()["large"])
	require.Equal(t, revision+1, f.revision)
}

// Guards against members that join another group while their leader, which does not answer, may only be cut off
// and still open. There are too few spares for their own group to continue.
func TestMembersOfDeadLeaderWaitUntilItMustHaveBroken(t *testing.T) {
	f := newFleet(t, large(), small())
	f.addMany("d", 8)
	f.run(5 * time.Second)
	f.traffic = true
	leader := f.leader("large")
	f.dead[leader.Name], f.silent[leader.Name] = true, true
	for range 3 { // too few survivors for the next epoch
		lost := f.follower(leader)
		delete(f.targets, lost.Name)
	}
	f.breaksAt[leader.Name] = f.now + stall
	f.run(stall - time.Second)
	require.Zero(t, f.open()["small"])
	f.run(4 * time.Second)
	require.Equal(t, ruddertarget.GroupBroken, leader.Membership.Phase)
	require.Equal(t, 1, f.open()["small"])
}

// Guards against members that idle until their dead leader must have broken although a spare lets their group
// continue. On the soak run quiet-1 of Verchères-Lanoue five of ten lost targets were leaders.
func TestGroupContinuesWithoutItsLeader(t *testing.T) {
	f := newFleet(t, large(), small())
	f.addMany("d", 11)
	f.run(5 * time.Second)
	f.traffic = true
	leader := f.leader("large")
	old := leader.Membership
	f.dead[leader.Name], f.silent[leader.Name] = true, true
	f.run(time.Second)
	require.Equal(t, 2, f.open()["large"], "the next epoch, and the old leader, which still reports open")
	for name, x := range f.targets {
		if x.Membership.Group == old.Group && name != leader.Name {
			require.Greater(t, x.Membership.Epoch, old.Epoch)
		}
	}
	// The old leader was only cut off. It is closed before it joins another group.
	f.dead[leader.Name], f.silent[leader.Name] = false, false
	f.run(5 * time.Second)
	require.Equal(t, 1, f.open()["large"])
}

// A leader that no planner could reach comes back open after its group was removed from the plan. Guards
// against making it join another group before it is closed; the target was then a member of two groups (found on
// vl-cabines mix --seed 703651355031).
func TestReturningLeaderIsClosedBeforeItJoins(t *testing.T) {
	f := newFleet(t, small())
	f.addMany("d", 3)
	f.run(5 * time.Second)
	f.traffic = true
	members := f.all()
	for _, x := range members {
		f.removeRecord(x)
		f.dead[x.Name], f.silent[x.Name] = true, true
	}
	f.run(30 * time.Second)
	require.Empty(t, f.plans["d"].Plan.Groups)
	for _, x := range members {
		f.targets[x.Name] = x
		delete(f.removed, x.Name)
		f.dead[x.Name], f.silent[x.Name] = false, false
	}
	f.run(5 * time.Second) // checkJoin fails the test on a join while a leader is open
	require.Equal(t, 1, f.open()["small"])
}

// Guards against losing whole groups when targets are cut off only from the key-value service: the run scale-1
// of Umuvumu lost six groups at once, trouble-1 of Verchères-Lanoue four.
func TestGroupsKeepServingWithoutARecord(t *testing.T) {
	for _, test := range []struct {
		name    string
		targets int
		leader  bool
		// newEpoch is set if the group continues in a new epoch with another leader.
		newEpoch bool
	}{
		{"a follower's record is gone", 11, false, false},
		{"a leader's record is gone and a spare is free", 11, true, true},
		{"a leader's record is gone and no spare is free", 6, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, large(), small())
			f.addMany("d", test.targets)
			f.run(5 * time.Second)
			f.traffic = true
			leader := f.leader("large")
			old := leader.Membership
			lost := f.follower(leader)
			if test.leader {
				lost = leader
			}
			f.removeRecord(lost)
			f.run(2 * time.Second)
			require.Equal(t, 1, f.open()["large"])
			now := f.leader("large").Membership
			require.Equal(t, old.Group, now.Group)
			require.Equal(t, test.newEpoch, now.Epoch > old.Epoch)
		})
	}
}

// Guards against a member that leaves while its group has requests, and against a group that is not formed
// again.
func TestLeavingMemberEndsItsGroupGracefully(t *testing.T) {
	f := newFleet(t, large(), small())
	f.addMany("d", 11)
	f.run(5 * time.Second)
	f.traffic = true
	leader := f.leader("large")
	leaving := f.follower(leader)
	leaving.State = rudderhost.StateLeaving
	f.sent = nil
	f.run(3 * time.Second)
	var toLeader []string
	for _, o := range f.sent {
		if o.Target == leader.Name {
			toLeader = append(toLeader, string(o.Order.Kind))
		}
	}
	require.Equal(t, "close,leave", strings.Join(toLeader[:2], ","))
	require.Equal(t, 1, f.open()["large"])
	require.NotEqual(t, leader.Membership.Epoch, leaving.Membership.Epoch)
}

// Guards against orders that are not sent again when they get no answer, and against harm by a second copy.
func TestUnansweredOrdersAreSentAgain(t *testing.T) {
	f := newFleet(t, small())
	f.addMany("d", 3)
	f.silent["d-01"] = true
	f.run(3 * time.Second)
	require.Zero(t, f.open()["small"])
	f.silent["d-01"] = false
	f.run(2 * time.Second)
	require.Equal(t, 1, f.open()["small"])
}

// Guards against more loads than the weight store allows, in any five seconds.
func TestLoadsStayBelowTheLimit(t *testing.T) {
	f := newFleet(t, small())
	f.traffic = true
	f.addMany("a", 30)
	f.addMany("b", 30)
	f.run(30 * time.Second)
	loads := f.loads
	require.Greater(t, len(loads), 50)
	const window = 5 * time.Second
	limit := int(5*window.Seconds()*1.1) + 3
	for i := range loads {
		n := 0
		for _, at := range loads[i:] {
			if at-loads[i] < window {
				n++
			}
		}
		require.LessOrEqual(t, n, limit)
	}
}
