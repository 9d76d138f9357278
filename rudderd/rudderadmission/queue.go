package rudderadmission

import (
	"cmp"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

type entry struct {
	work     Work
	policy   Policy
	since    time.Time
	deadline time.Time
}

// aged reports long work that has waited for a large part of its deadline.
func (e *entry) aged(now time.Time) bool {
	limit := e.deadline.Sub(e.since)
	return now.Sub(e.since) > time.Duration(e.policy.AgeShare*float64(limit))
}

type flow struct {
	workspace string
	weight    int
	deficit   int
	tokens    int
	entries   []*entry
}

// lane queues the work of one priority and class by deficit round robin between workspaces.
type lane struct {
	priority int
	class    rudderconfig.WorkClass
	flows    []*flow
	tokens   int
	entries  int
}

func (l *lane) push(e *entry) {
	i := slices.IndexFunc(l.flows, func(f *flow) bool { return f.workspace == e.work.Workspace })
	if i < 0 {
		l.flows = append(l.flows, &flow{workspace: e.work.Workspace})
		i = len(l.flows) - 1
	}
	f := l.flows[i]
	f.weight = e.work.weight()
	f.entries = append(f.entries, e)
	f.tokens += e.work.cost()
	l.tokens += e.work.cost()
	l.entries++
}

// pop takes the next entry that can be placed, of the flow whose turn it is. Rounds in which no deficit
// suffices are skipped in one step, so that large work costs no loop over small quanta.
func (l *lane) pop(place func(*entry) bool) *entry {
	best, bestEntry, bestRounds := -1, 0, 0
	for i, f := range l.flows {
		first := f.placeable(place)
		if first < 0 {
			continue
		}
		e := f.entries[first]
		quantum := max(1, e.policy.Quantum*f.weight)
		rounds := 0
		if missing := e.work.cost() - f.deficit; missing > 0 {
			rounds = (missing + quantum - 1) / quantum
		}
		if best < 0 || rounds < bestRounds {
			best, bestEntry, bestRounds = i, first, rounds
		}
	}
	if best < 0 {
		return nil
	}
	for _, f := range l.flows {
		f.deficit += bestRounds * max(1, f.entries[0].policy.Quantum*f.weight)
	}
	chosen := l.flows[best]
	taken := chosen.entries[bestEntry]
	chosen.deficit -= taken.work.cost()
	l.removeAt(best, bestEntry)
	// The ring moves on once the chosen flow's deficit no longer covers its next entry.
	if best < len(l.flows) && l.flows[best] == chosen && chosen.deficit < chosen.entries[0].work.cost() {
		l.flows = append(slices.Delete(l.flows, best, best+1), chosen)
	}
	return taken
}

// placeable is the index of the first entry that can be placed, or -1. Later entries pass only entries
// that avoid groups: any other one that can't be placed now finds no room, and neither would a later one.
func (f *flow) placeable(place func(*entry) bool) int {
	for i, e := range f.entries {
		if place(e) {
			return i
		}
		if len(e.work.Avoid) == 0 {
			return -1
		}
	}
	return -1
}

func (l *lane) removeAt(flowIndex, entryIndex int) {
	f := l.flows[flowIndex]
	cost := f.entries[entryIndex].work.cost()
	f.entries = slices.Delete(f.entries, entryIndex, entryIndex+1)
	f.tokens -= cost
	l.tokens -= cost
	l.entries--
	if len(f.entries) == 0 {
		l.flows = slices.Delete(l.flows, flowIndex, flowIndex+1)
	}
}

// remove takes out the entries that match and returns them.
func (l *lane) remove(match func(*entry) bool) []*entry {
	var removed []*entry
	for i := len(l.flows) - 1; i >= 0; i-- {
		f := l.flows[i]
		for j := len(f.entries) - 1; j >= 0; j-- {
			if e := f.entries[j]; match(e) {
				removed = append(removed, e)
				l.removeAt(i, j)
			}
		}
	}
	slices.Reverse(removed)
	return removed
}

// ahead estimates the tokens served before a new entry of the workspace: the whole lane, or less
// when fair queueing lets a light workspace pass a heavy one.
func (l *lane) ahead(workspace string, weight int) int {
	own, weights := 0, weight
	for _, f := range l.flows {
		if f.workspace == workspace {
			own = f.tokens
			continue
		}
		weights += f.weight
	}
	return min(l.tokens, own*weights/weight+(weights-weight)*defaultQuantum)
}

const defaultQuantum = 256

// laneFor finds or creates the lane; lanes stay sorted by priority, short work first.
func (s *Shard) laneFor(work Work) *lane {
	for _, l := range s.lanes {
		if l.priority == work.Priority && l.class == work.Class {
			return l
		}
	}
	l := &lane{priority: work.Priority, class: work.Class}
	s.lanes = append(s.lanes, l)
	slices.SortStableFunc(s.lanes, compareLanes)
	return l
}

func compareLanes(a, b *lane) int {
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	// "short" sorts after "long" as text, so the comparison is turned around.
	return cmp.Compare(b.class, a.class)
}
