package rudderplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
)

// fabric returns a fleet of domains of one size with two models, whose targets register within 3 s.
func fabric(t *testing.T, domains, size, largeSize, smallSize int, share float64) *fleet {
	f := newFleet(t, rudderroute.Model{Name: "large", Size: largeSize, Share: share, TimeFactor: 1, LoadTime: 14 * time.Second, StagedLoadTime: 1600 * time.Millisecond},
		rudderroute.Model{Name: "small", Size: smallSize, Share: 1 - share, TimeFactor: 0.6, LoadTime: 12 * time.Second, StagedLoadTime: 1100 * time.Millisecond})
	f.service.Engine.FormTime = 300 * time.Millisecond
	f.service.Engine.LoadsPerSecond, f.service.Engine.LoadsAtOnce, f.loadTime = 14, 28, 1400*time.Millisecond
	f.unsettled = true
	for i := range domains * size {
		if i%max(domains*size/30, 1) == 0 {
			f.step()
		}
		f.add(fmt.Sprint("d", i%domains), fmt.Sprintf("d%d-%02d", i%domains, i/domains))
	}
	f.unsettled = false
	return f
}

// idle counts the targets that are in no group.
func (f *fleet) idle() int {
	n := 0
	for _, t := range f.targets {
		if t.Membership.Group == "" {
			n++
		}
	}
	return n
}

// Guards against targets that serve nobody from start to end although a group would fit.
func TestDomainsAreFilledBeforeTheFirstRequest(t *testing.T) {
	for _, test := range []struct {
		domains, size, largeSize, smallSize int
		share                               float64
		idle                                int
	}{
		{6, 37, 16, 4, 0.50, 6}, {6, 37, 16, 4, 0.67, 6}, {3, 11, 6, 3, 0.67, 6}, {8, 19, 8, 4, 0.67, 24}, {8, 8, 4, 2, 0.67, 16}, {8, 27, 12, 6, 0.67, 24},
	} {
		t.Run(fmt.Sprintf("%d domains of %d", test.domains, test.size), func(t *testing.T) {
			f := fabric(t, test.domains, test.size, test.largeSize, test.smallSize, test.share)
			f.run(8 * time.Second)
			require.LessOrEqual(t, f.idle(), test.idle)
		})
	}
}

// Guards against five of 37 targets that wait with the weights of a model of 16, which needs eleven more.
func TestSparesOfAModelOutOfReachServeAnother(t *testing.T) {
	f := fabric(t, 1, 32, 16, 4, 0.67)
	f.run(8 * time.Second)
	require.Equal(t, map[string]int{"large": 1, "small": 3}, f.open())
	f.traffic = true
	for i := range 2 {
		name := fmt.Sprint("new-", i)
		f.add("d0", name)
		f.targets[name].Staged = []string{"large"}
	}
	for _, x := range f.targets {
		if x.Membership.Group == "" {
			x.Staged, x.Model = []string{"large"}, ""
		}
	}
	f.run(20 * time.Second)
	require.Equal(t, map[string]int{"large": 1, "small": 4}, f.open())
}
