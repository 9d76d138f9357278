package rudderlimit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var process = Process{Target: "t", Born: 1}

func at(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// drain takes all permits of an urgency that are free within a span and returns their number.
func drain(t *Table, urgency int, from, to time.Duration) int {
	taken := 0
	for now := from; now < to; now += 10 * time.Millisecond {
		if t.Wait(process, urgency, now) == 0 {
			t.Take(process)
			taken++
		}
	}
	return taken
}

// Guards against permits above a limit at its first moment, after a change and after an idle time, and against limits that
// are not used up.
func TestPermits(t *testing.T) {
	for _, test := range []struct {
		name        string
		rate        float64
		least, most int // permits in the 4 s from 10 s on
		prepare     func(l *Table)
	}{
		{"just named", 5, 19, 20, func(l *Table) { l.Name(process, 5, at(10)) }},
		{"steady demand", 5, 19, 21, func(l *Table) { l.Name(process, 5, at(1)); drain(l, 0, at(1), at(10)) }},
		{"after an idle time", 5, 20, 24, func(l *Table) { l.Name(process, 5, at(1)); l.Wait(process, 0, at(1)) }},
		{"lowered", 1, 3, 6, func(l *Table) { l.Name(process, 100, at(1)); drain(l, 0, at(1), at(9)); l.Name(process, 1, at(10)) }},
		{"raised", 50, 199, 226, func(l *Table) { l.Name(process, 1, at(1)); drain(l, 0, at(1), at(10)); l.Name(process, 50, at(10)) }},
		{"no requests", 0, 0, 1, func(l *Table) { l.Name(process, 0, at(1)); drain(l, 0, at(1), at(10)) }},
		{"fraction", 0.5, 1, 3, func(l *Table) { l.Name(process, 0.5, at(1)); drain(l, 0, at(1), at(10)) }},
		{"probes and unpermitted requests", 5, 12, 16, func(l *Table) {
			l.Name(process, 5, at(1))
			drain(l, 0, at(1), at(10))
			for range 4 {
				l.CountProbe(process)
			}
			l.Merge([]Report{{Process: process, Limited: true, Rate: 5, Spent: 100}}, at(10))
		}},
		{"ended", 400, 400, 400, func(l *Table) {
			l.Name(process, 1, at(1))
			require.Equal(t, Ended, l.NameNone(process, at(2), at(3)))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &Table{}
			test.prepare(l)
			got := drain(l, 0, at(10), at(14))
			require.GreaterOrEqual(t, got, test.least)
			require.LessOrEqual(t, got, test.most)
			require.LessOrEqual(t, float64(got), math.Ceil(test.rate*4+capacity(test.rate)))
		})
	}
}

// Guards against a limit that less urgent requests use up while more urgent ones are refused.
func TestUrgentRequestsComeFirst(t *testing.T) {
	l := &Table{}
	l.Name(process, 8, at(1))
	urgent, other := 0, 0
	for now := at(1); now < at(11); now += 10 * time.Millisecond {
		for range 3 {
			if l.Wait(process, 2, now) == 0 {
				l.Take(process)
				other++
			}
		}
		if now%(200*time.Millisecond) == 0 && l.Wait(process, 1, now) == 0 {
			l.Take(process)
			urgent++
		}
	}
	require.GreaterOrEqual(t, urgent, 46, "of 50 urgent requests")
	require.GreaterOrEqual(t, urgent+other, 76, "of 80 permits")
	require.LessOrEqual(t, urgent+other, 85)
}

// Guards against entry hosts that together exceed a limit when the one that grants permits does not answer, and against
// an unused limit then.
func TestSharesOfManyHosts(t *testing.T) {
	for _, hosts := range []int{1, 18, 200} {
		sent := 0
		for range hosts {
			l := &Table{}
			l.Name(process, 10, at(1))
			l.SetHosts(hosts, at(1))
			l.SetHosts(1, at(2)) // registrations have lapsed
			for now := at(20); now < at(24); now += 20 * time.Millisecond {
				if l.HasShare(process, now) && l.TakeShare(process, now) {
					sent++
				}
			}
		}
		require.LessOrEqual(t, sent, 60, "%d hosts", hosts)
		require.GreaterOrEqual(t, sent, 20, "%d hosts", hosts)
	}
}

// Guards against an old observation that replaces a newer one, and against an observation that entry hosts pass back and
// forth until it appears newer than the end of the limit.
func TestReports(t *testing.T) {
	a, b := &Table{}, &Table{}
	a.Name(process, 5, at(1))
	processes := []Process{process, {Target: "other", Born: 1}}
	require.Len(t, b.Merge(a.Reports(processes, at(1)), at(1)), 1)
	require.True(t, b.Limited(process))
	for now := at(1); now < at(9); now += 5 * time.Millisecond {
		a.Merge(b.Reports(processes, now), now+2*time.Millisecond)
		b.Merge(a.Reports(processes, now+2*time.Millisecond), now+4*time.Millisecond)
	}
	require.Equal(t, Ended, a.NameNone(process, at(8), at(8.5)))
	require.Len(t, b.Merge(a.Reports(processes, at(9)), at(9)), 1)
	require.False(t, b.Limited(process))
	a.Merge([]Report{{Process: process, Limited: true, Rate: 5, Age: at(5)}, {Process: process, Limited: true, Rate: math.NaN()}}, at(10))
	require.False(t, a.Limited(process))
	require.Empty(t, a.Missing(processes, b.Reports(processes, at(10)), at(10)))
	require.Empty(t, a.Missing(processes, nil, at(10)))
	b.Name(process, 7, at(10))
	require.Equal(t, 7.0, b.Missing(processes, a.Reports(processes, at(10)), at(10))[0].Rate)
}

// Guards against a limit that outlives its process, is taken from an earlier one, or is ended by a response that was under
// way before the limit was named.
func TestLimitOfOneProcess(t *testing.T) {
	l := &Table{}
	require.Equal(t, Began, l.Name(process, 5, at(1)))
	require.Equal(t, Unchanged, l.NameNone(process, at(0.5), at(1.1)))
	require.Equal(t, Lowered, l.Name(process, 3, at(2)))
	require.Equal(t, Raised, l.Name(process, 4, at(3)))
	next := Process{Target: process.Target, Born: 2}
	require.Zero(t, l.Wait(next, 0, at(3)))
	require.Equal(t, Began, l.Name(next, 1, at(4)))
	require.False(t, l.Limited(process))
	require.Equal(t, Unchanged, l.Name(process, 9, at(5)))
	require.True(t, l.Limited(next))
	l.Prune(at(5) + retention)
	require.True(t, l.Empty())
}
