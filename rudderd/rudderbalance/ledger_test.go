package rudderbalance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var speed = Speed{PromptTokensPerSecond: 50_000, Step: 10 * time.Millisecond, Slots: 4}

func groups(names ...string) []Group {
	list := make([]Group, len(names))
	for i, name := range names {
		list[i] = Group{ID: name}
	}
	return list
}

// Guards against placing short prompts behind a long one although another group is idle.
func TestShortPromptsAvoidGroupWithLongPrompt(t *testing.T) {
	l := NewLedger()
	first, _, _ := l.Pick(0, speed, groups("a", "b"), Request{ID: "1", PromptTokens: 20_000, Limit: time.Minute})
	for i := range 3 {
		next, _, _ := l.Pick(0, speed, groups("a", "b"), Request{ID: fmt.Sprint("s", i), PromptTokens: 100, Limit: time.Minute})
		require.NotEqual(t, first, next)
	}
}

// Guards against filling groups beyond their queue, and against a refusal that does not distinguish full
// groups from missing ones.
func TestFullGroups(t *testing.T) {
	l := NewLedger()
	for i := range 8 {
		id, _, full := l.Pick(0, speed, groups("a"), Request{ID: fmt.Sprint(i), PromptTokens: 1, Limit: time.Minute})
		require.Equal(t, "a", id)
		require.False(t, full)
	}
	id, _, full := l.Pick(0, speed, groups("a"), Request{ID: "9", Limit: time.Minute})
	require.Empty(t, id)
	require.True(t, full)
	id, _, full = l.Pick(0, speed, groups("a"), Request{ID: "9", Limit: time.Minute, Avoid: []string{"a"}})
	require.Empty(t, id)
	require.False(t, full)
}

// Guards against refusing requests although a draining group can still serve them.
func TestDrainingGroupServesWhereThereIsNoOther(t *testing.T) {
	l := NewLedger()
	draining := []Group{{ID: "draining", Draining: true}}
	id, wait, full := l.Pick(0, speed, draining, Request{ID: "1", PromptTokens: 1, Limit: time.Minute, Objective: 300 * time.Millisecond})
	require.Equal(t, "draining", id)
	require.Zero(t, wait)
	require.False(t, full)
	id, _, _ = l.Pick(0, speed, append(draining, Group{ID: "other"}), Request{ID: "2", PromptTokens: 1, Limit: time.Minute, Objective: 300 * time.Millisecond})
	require.Equal(t, "other", id)
}

// Guards against requests that are sent to a slow group while another one has room, and against refusing them when all are slow.
func TestSlowGroupsComeLast(t *testing.T) {
	request := func(i int) Request {
		return Request{ID: fmt.Sprint(i), PromptTokens: 1, Limit: time.Minute, Objective: 50 * time.Millisecond}
	}
	l := NewLedger()
	list := []Group{{ID: "slow", Slow: true}, {ID: "usual"}}
	for i := range speed.Slots {
		id, _, _ := l.Pick(0, speed, list, request(i))
		require.Equal(t, "usual", id)
	}
	id, _, full := l.Pick(0, speed, list, request(speed.Slots))
	require.Equal(t, "slow", id, "the other group has no slot within the objective")
	require.False(t, full)
	id, _, full = l.Pick(0, speed, list, Request{ID: "spill", PromptTokens: 1, Limit: time.Minute, Objective: 50 * time.Millisecond, Spill: true})
	require.Empty(t, id, "another partition may have a group that is not slow")
	require.True(t, full)

	l = NewLedger()
	chosen := map[string]int{}
	for i := range 2 * speed.Slots {
		id, _, _ := l.Pick(0, speed, []Group{{ID: "a", Slow: true}, {ID: "b", Slow: true}}, request(i))
		chosen[id]++
	}
	require.Equal(t, map[string]int{"a": speed.Slots, "b": speed.Slots}, chosen, "all are slow")
}

// Guards against requests of a dead entry host that occupy their slot for ever.
func TestUnreportedEndExpires(t *testing.T) {
	l := NewLedger()
	l.Pick(0, speed, groups("a"), Request{ID: "lost", Limit: time.Second})
	l.Pick(2*time.Second, speed, groups("a"), Request{ID: "next", Limit: time.Second})
	require.Equal(t, 1, l.Running("a"))
	l.Done(2*time.Second, "lost") // reported after it expired
	require.Equal(t, 1, l.Running("a"))
}

// At a load peak, many short prompts and a few long ones use three quarters of what the groups can read. The
// ledger must keep the wait for the first token well below that of random choice.
func TestPeakWaitIsShorterThanWithRandomChoice(t *testing.T) {
	const count, entries = 6, 4000
	names := []string{"a", "b", "c", "d", "e", "f"}
	simulate := func(choose func(now time.Duration, l *Ledger, r Request) int) time.Duration {
		random := rand.New(rand.NewPCG(1, 2))
		var until [count]time.Duration
		l := NewLedger()
		now, total := time.Duration(0), time.Duration(0)
		for i := range entries {
			prompt := 400
			if random.IntN(10) == 0 {
				prompt = 6000
			}
			now += time.Duration(random.ExpFloat64() * float64(time.Second) * 960 / (0.75 * count * speed.PromptTokensPerSecond))
			g := choose(now, l, Request{ID: fmt.Sprint(i), PromptTokens: prompt, Limit: 300 * time.Millisecond})
			until[g] = max(until[g], now) + time.Duration(float64(prompt)/speed.PromptTokensPerSecond*float64(time.Second))
			total += until[g] - now
		}
		return total / entries
	}
	wide := Speed{PromptTokensPerSecond: speed.PromptTokensPerSecond, Step: time.Millisecond, Slots: 1000}
	random := rand.New(rand.NewPCG(3, 4))
	byChance := simulate(func(time.Duration, *Ledger, Request) int { return random.IntN(count) })
	byLedger := simulate(func(now time.Duration, l *Ledger, r Request) int {
		id, _, _ := l.Pick(now, wide, groups(names...), r)
		return int(id[0] - 'a')
	})
	require.Less(t, byLedger, byChance/2)
}

// Guards against refusing requests while a draining group could serve them in time: it is chosen last, but
// before a refusal.
func TestDrainingGroupServesWhatOthersCannot(t *testing.T) {
	l := NewLedger()
	both := []Group{{ID: "a"}, {ID: "b", Draining: true}}
	const objective = 300 * time.Millisecond
	engine := Speed{Step: 10 * time.Millisecond, Slots: 4}
	taken := map[string]int{}
	for i := range 20 {
		id, _, full := l.Pick(0, engine, both, Request{ID: fmt.Sprint(i), Limit: time.Minute, Objective: objective})
		require.Equal(t, id == "", full)
		taken[id]++
		if taken["b"] == 0 {
			_, wait := l.account("a").cost(0, engine)
			require.True(t, id == "a" || wait > objective, "the other group comes first")
		}
	}
	require.Equal(t, taken["a"], taken["b"], "each takes what it can serve in time: %v", taken)
	require.Positive(t, taken[""])
}

// Guards against requests above the rate that a target takes while another group has room, and against a refusal that does
// not say when the next one is taken.
func TestGroupsWithALimit(t *testing.T) {
	speed := Speed{PromptTokensPerSecond: 1000, Step: time.Millisecond, Slots: 4}
	for _, test := range []struct {
		name     string
		groups   []Group
		spill    bool
		want     string
		wantWait time.Duration
		wantFull bool
	}{
		{"another group", []Group{{ID: "a", Wait: time.Second}, {ID: "b"}}, false, "b", 0, false},
		{"a draining one", []Group{{ID: "a", Wait: time.Second}, {ID: "b", Draining: true}}, false, "b", 0, false},
		{"none", []Group{{ID: "a", Wait: 2 * time.Second}, {ID: "b", Wait: time.Second}}, false, "", time.Second, true},
		{"none, and another ledger", []Group{{ID: "a", Wait: time.Second}}, true, "", time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			id, wait, full := NewLedger().Pick(time.Second, speed, test.groups, Request{ID: "r", Spill: test.spill})
			require.Equal(t, test.want, id)
			require.Equal(t, test.wantWait, wait)
			require.Equal(t, test.wantFull, full)
		})
	}
}

// Guards against requests that go to a group of which a member does not respond, and against refusing them if there is no other.
func TestSilentGroupIsChosenLast(t *testing.T) {
	l := NewLedger()
	silent, other := Group{ID: "a", Silent: true}, Group{ID: "b"}
	for i := range 3 {
		id, _, full := l.Pick(0, speed, []Group{silent, other}, Request{ID: string(rune('1' + i)), Limit: time.Minute})
		require.Equal(t, "b", id)
		require.False(t, full)
	}
	id, _, full := l.Pick(0, speed, []Group{silent}, Request{ID: "9", Limit: time.Minute})
	require.Equal(t, "a", id)
	require.False(t, full)
}
