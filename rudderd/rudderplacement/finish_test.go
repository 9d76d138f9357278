package rudderplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against breaking the streams of a leader that has removed its record and still serves them: another leader took its
// place after 500 ms.
func TestLeaderWithoutRecordFinishesItsRequests(t *testing.T) {
	f := newFleet(t, large())
	f.addMany("d", 7)
	f.run(5 * time.Second)
	f.traffic = true
	leader := f.leader("large")
	old := leader.Membership
	f.removeRecord(leader)
	f.reports[leader.Name] = ruddertarget.GroupReport{Membership: old, Running: 3}
	f.run(6 * time.Second)
	require.Equal(t, old.Epoch, f.plans["d"].Plan.Groups[0].Epoch)
	f.reports[leader.Name] = ruddertarget.GroupReport{Membership: old}
	f.run(time.Second)
	require.Greater(t, f.leader("large").Membership.Epoch, old.Epoch)
}
