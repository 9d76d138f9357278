package rudderadmission

import (
	"cmp"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// entry is a queued request.
type entry struct {
	work     Work
	policy   Policy
	since    time.Time
	deadline time.Time
}

// aged reports whether the entry has waited for more than AgingShare of the time until its deadline.
func (e *entry) aged(now time.Time) bool {
	limit := e.deadline.Sub(e.since)
	return now.Sub(e.since) > time.Duration(e.policy.AgingShare*float64(limit))
}

// flow is the part of a lane that holds one workspace's entries.
type flow struct {
	workspace string
	weight    int
	deficit   int
	tokens    int
	entries   []*entry
}

// lane is the queue of one priority and class. It shares slots between workspaces by deficit round robin.
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

// pop removes the next entry that can be placed, in deficit round robin order. It skips all rounds in which
// no flow has enough deficit in one step, so that large work needs no loop over small quanta.
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
	// The flow moves to the end of the round robin once its deficit does not cover its next entry.
	if best < len(l.flows) && l.flows[best] == chosen && chosen.deficit < chosen.entries[0].work.cost() {
		l.flows = append(slices.Delete(l.flows, best, best+1), chosen)
	}
	return taken
}

// placeable returns the index of the first entry that can be placed, or -1. Only entries that avoid groups are
// passed over: when an entry that may use any group finds no free slot, no later entry does.
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

// remove removes the matching entries and returns them in queue order.
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

// tokensAhead estimates the tokens served before a new entry of a workspace: those of the whole lane, or
// fewer when fair queueing serves a workspace with little queued work before others.
func (l *lane) tokensAhead(workspace string, weight int) int {
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

// laneFor returns the lane of the work, creating it if necessary. Lanes are sorted by priority, short work
// first.
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
	// "short" sorts after "long" as text, so the operands are swapped.
	return cmp.Compare(b.class, a.class)
}
