package rudderplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// A follower that leaves as planned stops listening while its group's leader still has requests. Guards against ending the
// group at once, which broke all its streams; those that no other group could resume were cut.
func TestLeaderFinishesItsRequestsAfterAFollowerHasLeft(t *testing.T) {
	for _, test := range []struct {
		name     string
		leave    func(f *fleet, x *rudderview.Target)
		finishes bool
	}{
		{"removes its record", func(f *fleet, x *rudderview.Target) {
			f.removeRecord(x)
			f.reports[x.Name] = ruddertarget.GroupReport{Membership: x.Membership}
		}, true},
		{"crashes", func(*fleet, *rudderview.Target) {}, false},
		{"crashes after it has announced its leave", func(_ *fleet, x *rudderview.Target) { x.State = rudderhost.StateLeaving }, false},
		{"crashes and loses its record", func(f *fleet, x *rudderview.Target) { f.removeRecord(x) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, large())
			f.addMany("d", 6)
			f.run(5 * time.Second)
			f.traffic = true
			leader := f.leader("large")
			f.busy[leader.Name] = true
			follower := f.follower(leader)
			test.leave(f, follower)
			f.run(500 * time.Millisecond)
			f.dead[follower.Name] = true
			f.sent = nil
			f.run(6 * time.Second)
			require.Equal(t, !test.finishes, f.leaves(leader))
			require.NotEqual(t, ruddertarget.GroupOpen, leader.Membership.Phase)
			if test.finishes {
				leader.Membership.Phase = ruddertarget.GroupReady
				f.run(time.Second)
				require.True(t, f.leaves(leader))
			}
		})
	}
}

// A member announces that it leaves. Guards against breaking the streams of its group after 1.2 s, although the member stays
// until they end; each used up one of the few attempts of its route.
func TestGroupWithALeavingMemberFinishesItsRequests(t *testing.T) {
	f := newFleet(t, large())
	f.addMany("d", 7)
	f.run(5 * time.Second)
	f.traffic = true
	leader := f.leader("large")
	f.busy[leader.Name] = true
	f.follower(leader).State = rudderhost.StateLeaving
	f.run(6 * time.Second)
	require.Equal(t, ruddertarget.GroupClosing, leader.Membership.Phase)
	require.False(t, f.leaves(leader))
	f.run(4 * time.Second) // the member is about to end
	require.True(t, f.leaves(leader))
}

// leaves reports whether a target was ordered to leave its group.
func (f *fleet) leaves(t *rudderview.Target) bool {
	for _, o := range f.sent {
		if o.Target == t.Name && o.Order.Kind == ruddertarget.OrderLeave {
			return true
		}
	}
	return false
}
