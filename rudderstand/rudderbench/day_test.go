package rudderbench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderallocator"
)

// Guards against a planner that interrupts responses or drains groups within the minimum hold, over half a day
// in which a window opens and one closes. It also guards against a lower bound of stranded hosts that is too
// high, so that the planner would be below it.
func TestHalfDay(t *testing.T) {
	w := newDaySimulation(1, dayStart, dayCurrent, true)
	w.scheduleEvents()
	before, flapped := w.groupStates(), 0
	w.runUntil(dayStart.Add(12*time.Hour+10*time.Minute), func(time.Duration) {
		after := w.groupStates()
		flapped += flaps(w, before, after)
		before = after
		for _, f := range dayFirms {
			if w.missing() == 0 {
				require.GreaterOrEqual(t, w.stranded(f.region), w.minimumStranded(f.region))
			}
		}
	})
	require.Zero(t, w.interrupted, "responses interrupted by a planned change")
	require.Zero(t, flapped)
}

// Guards against a planner that does not replace a lost group although there are spare hosts.
func TestLossRecovers(t *testing.T) {
	require.Less(t, runLoss(1, dayCurrent, dayHomeSelectors[0], false).longest, 2*time.Minute)
	require.Equal(t, 3*time.Second, dayDetectionTime(rudderallocator.DefaultTiming()))
}
