package rudderforward

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderview"
)

// Guards against events that are split or joined when their bytes arrive in parts.
func TestEventsInParts(t *testing.T) {
	text := "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: cut"
	for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		e := &eventReader{source: source}
		var ids, parts []string
		for {
			event, id, err := e.next()
			parts = append(parts, string(event))
			if err != nil {
				require.ErrorIs(t, err, io.EOF)
				break
			}
			ids = append(ids, id)
		}
		require.Equal(t, []string{"1", "2", ""}, ids)
		require.Equal(t, text, strings.Join(parts, ""))
		require.Equal(t, "id: 3\ndata: cut", parts[3])
	}
}

// Guards against events that depend on how their bytes are split over reads, and against a reader that never
// reaches the end.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: cut"), uint8(3))
	f.Add([]byte("\n\n\n\r\n\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		read := func(source io.Reader) (parts []string) {
			e := &eventReader{source: source}
			for {
				event, _, err := e.next()
				parts = append(parts, string(event))
				if err != nil {
					return parts
				}
			}
		}
		whole := read(bytes.NewReader(text))
		inParts := read(&sizedReader{source: bytes.NewReader(text), size: int(size%7) + 1})
		require.Equal(t, whole, inParts)
		require.Equal(t, string(text), strings.Join(whole, ""))
	})
}

// sizedReader returns at most size bytes for each read.
type sizedReader struct {
	source io.Reader
	size   int
}

func (r *sizedReader) Read(p []byte) (int, error) { return r.source.Read(p[:min(r.size, len(p))]) }

// Guards against an event that never ends and exhausts the memory.
func TestEventWithoutEnd(t *testing.T) {
	e := &eventReader{source: strings.NewReader(strings.Repeat("x", 2*maxEventBytes))}
	_, _, err := e.next()
	require.ErrorIs(t, err, errEventTooLong)
}

// Guards against retries beyond this entry host's share, and against a window whose counts never expire.
func TestRetryBudget(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Extra: 10, Window: 10 * time.Second}
	var b retryBudget
	for range 100 {
		b.countRequest("s", time.Second, limits, 2)
	}
	repeats := 0
	for range 100 {
		if b.takeRetry("s", 2*time.Second, limits, 2) {
			repeats++
		}
	}
	require.Equal(t, int(retryShare*(0.2*100+10.0/2)), repeats)
	require.False(t, b.takeRetry("s", 5*time.Second, limits, 2))
	require.True(t, b.takeRetry("s", time.Minute, limits, 2))
}

// Guards against retries beyond the budget of the fleet when all registrations of entry hosts lapse at once, so that each host knows
// only itself.
func TestRetryBudgetWhileRegistrationsLapse(t *testing.T) {
	const hosts = 6
	limits := RetryLimits{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}
	taken, sent := 0, 0
	for range hosts {
		var b retryBudget
		b.countRequest("s", time.Second, limits, hosts)
		sent++
		for at := 2 * time.Second; at < 10*time.Second; at += 100 * time.Millisecond {
			b.countRequest("s", at, limits, 1)
			sent++
			if b.takeRetry("s", at, limits, 1) {
				taken++
			}
		}
	}
	require.LessOrEqual(t, float64(taken), limits.Ratio*float64(sent)+limits.Extra)
}

// Guards against more retries than the budget when most entry hosts leave after they have spent theirs: the rest would divide it anew.
func TestRetryBudgetOfHostsThatLeave(t *testing.T) {
	const hosts, stay = 18, 2
	limits := RetryLimits{Ratio: 0.2, Extra: 302, Window: 10 * time.Second}
	budgets := make([]retryBudget, hosts)
	requests := 0
	spend := func(list []retryBudget, entries int, now time.Duration) (taken int) {
		for i := range list {
			for range 10 {
				list[i].countRequest("s", now, limits, entries)
				requests++
			}
			for list[i].takeRetry("s", now, limits, entries) {
				taken++
			}
		}
		return taken
	}
	taken := spend(budgets, hosts, time.Second)
	require.Greater(t, float64(taken), 0.5*limits.Extra)
	taken += spend(budgets[:stay], stay, 4*time.Second)
	require.LessOrEqual(t, float64(taken), limits.Ratio*float64(requests)+limits.Extra)
	require.Positive(t, spend(budgets[:stay], stay, 20*time.Second), "the rest gets the whole budget later")
}

// Guards against more retries than the budget when all entry hosts restart again and again: their processes do not know what earlier
// ones have spent.
func TestRetryBudgetOfHostsThatRestart(t *testing.T) {
	const hosts = 6
	limits := RetryLimits{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}
	taken, requests := 0, 0
	for range hosts {
		var b retryBudget
		for at := time.Minute; at < time.Minute+limits.Window; at += 100 * time.Millisecond {
			if (at-time.Minute)%(2500*time.Millisecond) == 100*time.Millisecond && at > time.Minute+time.Second {
				b = retryBudget{}
				b.start(at)
			}
			b.countRequest("s", at, limits, hosts)
			requests++
			for b.takeRetry("s", at, limits, hosts) {
				taken++
			}
		}
	}
	require.LessOrEqual(t, float64(taken), limits.Ratio*float64(requests)+limits.Extra)
	require.Greater(t, float64(taken), 0.5*limits.Extra)
}

// Guards against choosing full, avoided, draining or excluded groups while others have room.
func TestChoiceWithoutTheOwner(t *testing.T) {
	group := func(name string, draining bool) *rudderview.Group {
		x := &rudderview.Target{}
		x.Name = name
		return &rudderview.Group{ID: name, Leader: x, Slots: 2, Draining: draining}
	}
	groups := []*rudderview.Group{group("busy", false), group("free", false), group("draining", true)}
	var l loads
	now := time.Minute
	c := choiceInputs{now: now, entries: 1}
	l.report("busy", now, Load{Running: 1})
	require.Equal(t, "free", l.choose(groups, c).group.ID)
	c.exclude = map[string]bool{"free": true}
	require.Equal(t, "busy", l.choose(groups, c).group.ID)
	l.avoid("busy", now+time.Second, now)
	require.Equal(t, "draining", l.choose(groups, c).group.ID)
	l.report("draining", now, Load{Running: 4})
	require.Equal(t, "busy", l.choose(groups, c).group.ID)
	l.report("busy", now, Load{Running: 2, Waiting: 2})
	require.True(t, l.choose(groups, c).full)
	require.Equal(t, "busy", l.choose(groups[:1], choiceInputs{now: now + loadReportTTL, entries: 1}).group.ID, "an old load report does not count")
}

// In a fleet of 195 entry hosts whose owners do not answer, guards against treating groups as full because
// this entry host has a single request at each of them.
func TestChoiceWithoutTheOwnerInALargeFleet(t *testing.T) {
	var groups []*rudderview.Group
	var l loads
	now := time.Minute
	for i := range 100 {
		x := &rudderview.Target{}
		x.Name = strconv.Itoa(i)
		groups = append(groups, &rudderview.Group{ID: x.Name, Leader: x, Slots: 13})
	}
	c := choiceInputs{now: now, entries: 195}
	for range 10 {
		next := l.choose(groups, c)
		require.NotNil(t, next.group)
		l.begin(next.group.Leader.Name, now)
	}
	require.NotNil(t, l.choose(groups[:1], choiceInputs{now: now, entries: 1}).group)
	for range 4 {
		for _, g := range groups {
			l.begin(g.Leader.Name, now)
		}
	}
	require.True(t, l.choose(groups, c).full, "four requests on each group from each of 195 entry hosts")
}

// At a load peak every group has as many requests as slots. Guards against accepting requests although
// nothing of the objective is left for waiting: half of all responses would be late, and no more of them
// would be served.
func TestWaitLimitLeavesTimeForTheFirstEvent(t *testing.T) {
	var e firstEventTimes
	const objective = 300 * time.Millisecond
	require.Equal(t, objective, e.waitLimit("m", objective), "nothing is known yet")
	for range 50 {
		e.observe("m", 0, 170*time.Millisecond)
		e.observe("m", 200*time.Millisecond, 400*time.Millisecond) // includes the wait for a slot
	}
	require.InDelta(t, float64(130*time.Millisecond), float64(e.waitLimit("m", objective)), float64(time.Millisecond))
	e.observe("m", 0, 30*time.Second)
	require.Greater(t, e.waitLimit("m", objective), 100*time.Millisecond, "one target in trouble")
	for range 100 {
		e.observe("m", 0, time.Second)
	}
	require.Equal(t, 90*time.Millisecond, e.waitLimit("m", objective))
	require.Equal(t, objective, e.waitLimit("other", objective))
}
