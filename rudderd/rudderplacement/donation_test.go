package rudderplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/ruddertarget"
)

// lose ends a target for good, silently.
func (f *fleet) lose(name string) {
	f.dead[name], f.silent[name] = true, true
}

// A large group loses members faster than new targets register, at the rate of days with trouble. Guards against 15 targets that
// wait for one while small groups of the same domain serve.
func TestSmallGroupReplacesLostMembersOfALargeOne(t *testing.T) {
	for _, test := range []struct {
		name     string
		takeOver bool // another planner continues as soon as the small group is retiring
		fails    bool // the key-value service refuses the plan for a while
		leader   bool // the large group loses its leader
		down     time.Duration
	}{
		{"follower", false, false, false, 1500 * time.Millisecond},
		{"leader", false, false, true, 1500 * time.Millisecond},
		{"another planner takes over", true, false, false, 1500 * time.Millisecond},
		{"the plan is not stored for 3 s", false, true, false, 4500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := fabric(t, 1, 37, 16, 4, 0.5)
			f.run(8 * time.Second)
			require.Equal(t, map[string]int{"large": 1, "small": 5}, f.open())
			f.traffic, f.loadTime = true, 14*time.Second
			f.demand(0.7, 0, 0)
			f.run(20 * time.Second)
			f.lose(f.follower(f.leader("large")).Name) // the spare takes its place
			f.run(2 * time.Second)
			lost := f.leader("large")
			if !test.leader {
				lost = f.follower(lost)
			}
			f.lose(lost.Name)
			f.storeFails = test.fails
			begin, down := f.now, time.Duration(0)
			for f.now < begin+8*time.Second {
				f.storeFails = f.storeFails && f.now < begin+3*time.Second
				f.step()
				serving := f.open()["large"]
				if test.leader && lost.Membership.Phase == ruddertarget.GroupOpen {
					serving-- // as its last record says
				}
				if serving == 0 {
					down += 100 * time.Millisecond
				}
				if test.takeOver && f.retiring() > 0 {
					f.state, test.takeOver = NewState(), false
				}
			}
			require.LessOrEqual(t, down, test.down)
			require.Equal(t, 4, f.open()["small"])
			f.add("d0", "new-1", "new-2") // with the three targets left over, they form a group again
			f.run(20 * time.Second)
			require.Equal(t, 5, f.open()["small"])
		})
	}
}

// retiring counts the groups that the stored plans show as retiring.
func (f *fleet) retiring() int {
	n := 0
	for _, stored := range f.plans {
		for _, g := range stored.Plan.Groups {
			if g.Retiring {
				n++
			}
		}
	}
	return n
}

// demand sets the parts of the work and what of it is refused.
func (f *fleet) demand(large, refusedLarge, refusedSmall float64) {
	f.shares = map[string]float64{"large": large, "small": 1 - large}
	f.refused = map[string]float64{"large": refusedLarge, "small": refusedSmall}
}

// One model refuses work while the other one has room, at the rates of a quiet day. Guards against a division that stays as it was,
// and against moves that the demand does not call for.
func TestGroupsMoveToTheModelThatRefusesWork(t *testing.T) {
	for _, test := range []struct {
		name                 string
		share, large         float64
		refusedL, refusedS   float64
		wantLarge, wantSmall int
		takeOver, fails      bool
	}{
		{"the large model refuses", 0.5, 0.45, 0.2, 0, 9, 18, false, false},
		{"the small model refuses", 0.67, 0.12, 0, 0.2, 5, 34, false, false},
		{"both refuse", 0.5, 0.45, 0.2, 0.1, 6, 30, false, false},
		{"little more work for each large group", 0.5, 0.21, 0.2, 0, 7, 26, false, false},
		{"another planner takes over during the move", 0.5, 0.45, 0.2, 0, 9, 18, true, false},
		{"plans are not stored for some seconds", 0.5, 0.45, 0.2, 0, 9, 18, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := fabric(t, 6, 37, 16, 4, test.share)
			f.run(8 * time.Second)
			f.traffic, f.loadTime = true, 14*time.Second
			f.run(20 * time.Second)
			f.demand(test.large, test.refusedL, test.refusedS)
			for end := f.now + 80*time.Second; f.now < end; {
				f.storeFails = test.fails && f.now > end-60*time.Second && f.now < end-50*time.Second
				f.step()
				if test.takeOver && f.retiring() > 0 {
					f.state, test.takeOver = NewState(), false
				}
				if o := f.open(); o["large"] >= test.wantLarge && test.wantLarge > 7 || o["small"] >= test.wantSmall && test.wantSmall > 30 {
					f.demand(test.large, 0, 0) // served now
				}
			}
			require.Equal(t, map[string]int{"large": test.wantLarge, "small": test.wantSmall}, f.open())
		})
	}
}

// Refusals alternate between the models, as in bursts of a few seconds. Guards against groups that end for a demand which has
// passed before others could form.
func TestShortBurstsMoveNothing(t *testing.T) {
	f := fabric(t, 6, 37, 16, 4, 0.5)
	f.run(8 * time.Second)
	f.traffic, f.loadTime = true, 14*time.Second
	f.run(20 * time.Second)
	for i := range 20 {
		if f.demand(0.45, 0.2, 0); i%2 == 0 {
			f.demand(0.1, 0, 0.2)
		}
		f.run(5 * time.Second)
		require.Zero(t, f.retiring())
	}
}

// Guards against streams that a move breaks: the groups that give their targets finish their requests first.
func TestMovedGroupsFinishTheirRequests(t *testing.T) {
	f := fabric(t, 1, 37, 16, 4, 0.5)
	f.run(8 * time.Second)
	f.traffic, f.loadTime = true, 14*time.Second
	f.run(20 * time.Second)
	var leaders []string
	for name, x := range f.targets {
		if x.Membership.Rank == 0 && x.Membership.Group != "" && x.Model == "small" {
			f.busy[name] = true
			leaders = append(leaders, name)
		}
	}
	f.demand(0.6, 0.2, 0)
	for f.retiring() == 0 && f.now < 5*time.Minute {
		f.step()
	}
	f.sent = nil
	f.run(8 * time.Second)
	for _, name := range leaders {
		require.False(t, f.leaves(f.targets[name]))
	}
	f.run(4 * time.Second) // the requests that still run then are broken
	require.Equal(t, map[string]int{"large": 2, "small": 1}, f.open())
}
