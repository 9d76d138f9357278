package rudderpoison

import (
	"cmp"
	"slices"
	"time"
)

// suspicion is the evidence against one part.
type suspicion struct {
	part     Part
	first    time.Time
	crashes  map[int]bool // of which simultaneous ones in a domain count as one
	requests map[Fingerprint]bool
	depth    int     // greatest index in a prompt: deeper parts are shared by fewer requests
	deepest  bool    // no prompt has a deeper shared part
	sound    bool    // an answer began on it lately
	strong   bool    // some suspect had got no event
	weight   float64 // sum of the shares in the crashes, which the suspects of a crash divide
}

func (x *suspicion) compare(y *suspicion) int {
	return cmp.Or(
		compareBool(x.isShared(), y.isShared()), compareBool(y.deepest, x.deepest), compareBool(x.sound, y.sound), cmp.Compare(len(y.crashes), len(x.crashes)),
		cmp.Compare(y.depth, x.depth), cmp.Compare(y.weight, x.weight),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (x *suspicion) isShared() bool { return x.sound || !x.deepest || !x.strong }

// suffices reports whether there is enough evidence to block the part.
func (x *suspicion) suffices() bool {
	if x.isShared() {
		return len(x.crashes) >= minSharedCrashes && len(x.requests) >= minSharedRequests
	}
	return len(x.crashes) >= minCrashes && len(x.requests) >= minRequests
}

// Evaluate blocks the parts that explain the crashes best: repeatedly, of those with enough evidence, the one that fewest
// sound requests are likely to share, and then the one with the most crashes that no blocked part explains. It decides
// nothing between two parts that explain them equally well.
func (t *PartTracker) Evaluate(now time.Time) []Block {
	var blocks []Block
	for {
		list := slices.DeleteFunc(t.suspicions(now), func(x *suspicion) bool { return !x.suffices() })
		slices.SortFunc(list, func(x, y *suspicion) int { return cmp.Or(x.compare(y), cmp.Compare(x.part, y.part)) })
		if len(list) == 0 || len(list) > 1 && list[0].compare(list[1]) == 0 {
			return blocks
		}
		best := list[0]
		s := t.state(best.part)
		s.block = &Block{
			Part: best.part, Crashes: len(best.crashes), Requests: len(best.requests), Shared: best.isShared(), Since: now, FirstCrash: best.first,
			NextTrial: now.Add(trialInterval(best.isShared(), 0)), lastRequest: now,
		}
		blocks = append(blocks, *s.block)
	}
}

// suspicions returns the evidence from all crashes that no blocked part explains.
func (t *PartTracker) suspicions(now time.Time) []*suspicion {
	open := make([]*partCrash, 0, len(t.crashes))
	for _, c := range t.crashes {
		if !t.isExplained(c) {
			open = append(open, c)
		}
	}
	slices.SortFunc(open, func(a, b *partCrash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.target, b.target)) })
	found := map[Part]*suspicion{}
	numbers := numberCrashes(open)
	for n, c := range open {
		suspects := c.suspects()
		for _, x := range suspects {
			for i, p := range x.Parts {
				state := t.state(p)
				if !state.holds(x) {
					continue
				}
				s := found[p]
				if s == nil {
					sound := !state.soundAt.IsZero() && now.Sub(state.soundAt) < soundTTL
					s = &suspicion{part: p, first: c.at, crashes: map[int]bool{}, requests: map[Fingerprint]bool{}, deepest: true, sound: sound}
					found[p] = s
				}
				s.deepest = s.deepest && i == len(x.Parts)-1
				s.strong = s.strong || x.Events == 0
				s.crashes[numbers[n]], s.requests[x.Request] = true, true
				s.depth = max(s.depth, i)
				s.weight += 1 / float64(len(suspects))
			}
		}
	}
	list := make([]*suspicion, 0, len(found))
	for _, s := range found {
		list = append(list, s)
	}
	return list
}

// numberCrashes numbers crashes, which are sorted by time. Simultaneous ones in a domain get the same number.
func numberCrashes(crashes []*partCrash) []int {
	numbers := make([]int, len(crashes))
	firstOf := map[string]int{} // by domain, the first of its latest simultaneous crashes
	for i, c := range crashes {
		numbers[i] = i
		if k, found := firstOf[c.domain]; found && c.at.Sub(crashes[k].at) <= simultaneousWindow {
			numbers[i] = k
		} else if c.domain != "" {
			firstOf[c.domain] = i
		}
	}
	return numbers
}

// suspects returns the requests that may have caused a crash: those without an event, or if there are none, the others.
func (c *partCrash) suspects() []charge {
	var first []charge
	for _, x := range c.charges {
		if x.Events == 0 {
			first = append(first, x)
		}
	}
	if len(first) > 0 {
		return first
	}
	return c.charges
}

// isExplained reports whether a suspect of a crash has a blocked part.
func (t *PartTracker) isExplained(c *partCrash) bool {
	return slices.ContainsFunc(c.suspects(), func(x charge) bool {
		return slices.ContainsFunc(x.Parts, func(p Part) bool {
			s := t.parts[p]
			return s != nil && s.block != nil
		})
	})
}
