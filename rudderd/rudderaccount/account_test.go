package rudderaccount

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against parts that together exceed a machine, so that connections of callers leave too few descriptors for targets, or bodies
// too little memory for the state of the fleet.
func TestPartsFitIntoTheMachine(t *testing.T) {
	for _, machine := range []struct{ megabytes, descriptors, callers, bodiesMB int }{
		{136, 2870, 1004, 40}, {184, 4100, 1413, 55}, {206, 4100, 1435, 61}, {512, 8192, 2867, 243}, {64, 400, 140, 19},
	} {
		t.Run(fmt.Sprint(machine.megabytes, " MB"), func(t *testing.T) {
			a := New(int64(machine.megabytes)<<20, machine.descriptors)
			require.Equal(t, machine.callers, a.CallerConnections)
			require.Equal(t, machine.bodiesMB, int(a.Budgets.Bodies.Limit()>>20))
			files := machine.descriptors * 7 / 100
			toTargets := a.CallerConnections + a.IdleConnections
			others := machine.descriptors - files - a.CallerConnections - 3*a.SmallConnections - toTargets
			require.Greater(t, others, machine.descriptors/20) // other entry hosts and the key-value service
		})
	}
}
