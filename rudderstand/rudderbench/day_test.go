package rudderbench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderallocator"
)

// Guards against a planner that cuts answers or flaps through half a day with an opening and a closing
// window, and against a lower bound of stranded hosts that the planner beats.
func TestHalfDay(t *testing.T) {
	w := newDayWorld(1, dayStart, dayNow, true)
	w.dayEvents()
	before, flapped := w.groupStates(), 0
	w.runUntil(dayStart.Add(12*time.Hour+10*time.Minute), func(time.Duration) {
		after := w.groupStates()
		flapped += flaps(w, before, after)
		before = after
		for _, f := range dayFirms {
			if w.missing() == 0 {
				require.GreaterOrEqual(t, w.stranded(f.region), w.bestStranded(f.region))
			}
		}
	})
	require.Zero(t, w.cuts, "answers cut by a planned change")
	require.Zero(t, flapped)
}

// Guards against a loss that leaves wanted groups missing although there are spares.
func TestLossRecovers(t *testing.T) {
	require.Less(t, runLoss(1, dayNow, dayHomeSelectors[0], false).longest, 2*time.Minute)
	require.Equal(t, 3*time.Second, dayDetection(rudderallocator.DefaultTiming()))
}
