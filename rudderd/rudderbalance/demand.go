package rudderbalance

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

// SpillShare is the share of the objective that a request waits at most for a group of the nearest partition while other
// partitions may have free capacity.
const SpillShare = 0.4

const (
	// demandDecay is the time constant with which recorded demand decays. It is longer than the gaps between the requests of
	// a kind, and shorter than most overloads.
	demandDecay = 3 * time.Second
	// updateInterval is the time between two computations of who yields to whom, and of the paces of the groups.
	updateInterval = 100 * time.Millisecond
	// minKindShare and minWorkspaceShare are the shares of the requests of a kind and of a workspace that are served, relative to
	// that of all requests, below which they yield to none. They have to get a quarter; the rest is a margin for the delay of
	// the control, smaller for workspaces because it takes from the fair shares of others.
	minKindShare, minWorkspaceShare = 0.35, 0.28
	// A workspace that asks for more than farAbove times its fair share yields from nearShare of that share on. If nearShare
	// were 1, a workspace would take what it likes until it exceeds its share.
	farAbove, nearShare = 1.2, 0.9
	// maxLift is the multiple of the fair share up to which minWorkspaceShare raises a workspace, so that more requests do not
	// get it ever more capacity.
	maxLift = 2.0
	// evenServedShare is by how much the served share of a kind may exceed that of another one with the same urgency.
	evenServedShare = 0.05
	// minSeen is the number of recent requests from which on the served share of a kind counts.
	minSeen = 3
	// maxFlows bounds the number of flows, because callers influence it.
	maxFlows = 2048
	// A request that yields may use this share of the wait, and of the queue, that those before it may use: most if they are few,
	// least if they are nearly all of the demand. With 0.75 at most, a quarter of the requests of a workspace within its share were
	// refused beside a flood of another one; lower values leave the groups as busy.
	maxYieldShare, minYieldShare = 0.5, 0.2
)

// kind identifies requests that compete under the same terms.
type kind struct {
	urgency   int
	objective int // power of two, in milliseconds; 0 without an objective
}

func kindOf(r Request) kind {
	return kind{urgency: r.Urgency, objective: bits.Len64(uint64(max(r.fullObjective().Milliseconds(), 0)))}
}

// fullObjective returns the objective of a request without the reduction for the first partition.
func (r Request) fullObjective() time.Duration {
	if r.Spill {
		return time.Duration(float64(r.Objective) / SpillShare)
	}
	return r.Objective
}

// tally counts recent requests; it decays exponentially.
type tally struct{ seen, served float64 }

func (t tally) share() float64 { return t.served / max(t.seen, 1e-9) }

func (t *tally) add(other tally) { t.seen, t.served = t.seen+other.seen, t.served+other.served }

// flowKey identifies the requests of one kind and one workspace.
type flowKey struct {
	kind      kind
	workspace string
}

func flowOf(r Request) flowKey { return flowKey{kindOf(r), r.Workspace} }

// flow is the recent demand of one kind and one workspace.
type flow struct {
	flowKey
	requests tally
	work     tally // in seconds
	// objective is that of the last request.
	objective time.Duration
	// rank orders flows under overload: those with a lower rank go first.
	rank int
	// overShare is set if the workspace has more than its fair share of the work.
	overShare bool
	// waitLimit is the longest expected wait that the flow may use: it can meet its objective and does not delay those before it;
	// 0 for any. share is its share of what those before it may use; 1 if there are none.
	waitLimit time.Duration
	share     float64
}

// demand is the recent demand for a ledger's groups.
type demand struct {
	flows    map[flowKey]*flow
	rankedAt time.Duration // uptime to which the demand has decayed
}

// minWork makes requests count whose cost is not known, in seconds.
const minWork = 0.001

// record counts a request.
func (d *demand) record(r Request, served bool) {
	key := flowOf(r)
	f := d.flows[key]
	if f == nil {
		if len(d.flows) >= maxFlows {
			return
		}
		if d.flows == nil {
			d.flows = map[flowKey]*flow{}
		}
		f = &flow{flowKey: key, share: 1}
		d.flows[key] = f
	}
	cost := max(r.Cost.Seconds(), minWork)
	f.objective = r.fullObjective()
	f.requests.seen++
	f.work.seen += cost
	if served {
		f.requests.served++
		f.work.served += cost
	}
}

// update decays the demand and computes the order of the flows.
func (d *demand) update(now time.Duration, speed Speed) {
	keep := math.Exp(-(now - d.rankedAt).Seconds() / demandDecay.Seconds())
	d.rankedAt = now
	list := make([]*flow, 0, len(d.flows))
	for key, f := range d.flows {
		f.requests.seen, f.requests.served = f.requests.seen*keep, f.requests.served*keep
		f.work.seen, f.work.served = f.work.seen*keep, f.work.served*keep
		if f.requests.seen < 0.05 {
			delete(d.flows, key)
			continue
		}
		list = append(list, f)
	}
	rank(list)
	slices.SortFunc(list, func(a, b *flow) int { return cmp.Compare(a.rank, b.rank) })
	setLimits(list, speed)
}

// sums adds the tallies of flows by a key.
func sums[K comparable](list []*flow, key func(*flow) K, of func(*flow) tally) map[K]tally {
	all := map[K]tally{}
	for _, f := range list {
		t := all[key(f)]
		t.add(of(f))
		all[key(f)] = t
	}
	return all
}

// holder identifies the requests of one workspace and one urgency.
type holder struct {
	urgency   int
	workspace string
}

func holderOf(f *flow) holder { return holder{f.kind.urgency, f.workspace} }

// rate returns the number of requests in a second.
func (d *demand) rate() float64 {
	seen := 0.0
	for _, f := range d.flows {
		seen += f.requests.seen
	}
	return seen / demandDecay.Seconds()
}

// rank orders the flows: by urgency, and among those of one urgency, the workspaces that have more than their fair share come last,
// and the kinds that are served more often than another one. Kinds and workspaces that are hardly served come first.
func rank(list []*flow) {
	requests := func(f *flow) tally { return f.requests }
	all := sums(list, func(*flow) bool { return true }, requests)[true]
	kinds := sums(list, func(f *flow) kind { return f.kind }, requests)
	workspaces := sums(list, func(f *flow) string { return f.workspace }, requests)
	work := sums(list, holderOf, func(f *flow) tally { return f.work })
	fair := fairShares(work)
	var within []*flow
	for _, f := range list {
		// Entry hosts of earlier versions name no workspace.
		share, own := fair[f.kind.urgency], work[holderOf(f)]
		f.overShare = f.workspace != "" && own.seen > farAbove*share && own.served > nearShare*share
		if !f.overShare {
			within = append(within, f)
		}
	}
	even := sums(within, func(f *flow) kind { return f.kind }, requests)
	least := leastServed(even)
	starved := func(t tally, least float64) bool { return t.seen >= minSeen && t.share() < least*all.share() }
	for _, f := range list {
		f.rank = 2*f.kind.urgency + 1
		if lowest, known := least[f.kind.urgency]; f.overShare || known && even[f.kind].share() > lowest+evenServedShare {
			f.rank++
		}
		lift := f.workspace != "" && work[holderOf(f)].served < maxLift*fair[f.kind.urgency]
		if lift && starved(workspaces[f.workspace], minWorkspaceShare) || !f.overShare && starved(kinds[f.kind], minKindShare) {
			f.rank = 0
		}
	}
}

// leastServed returns the lowest served share of the kinds of each urgency.
func leastServed(kinds map[kind]tally) map[int]float64 {
	least := map[int]float64{}
	for k, t := range kinds {
		if share, known := least[k.urgency]; t.seen >= minSeen && (!known || t.share() < share) {
			least[k.urgency] = t.share()
		}
	}
	return least
}

// fairShares returns the fair share of the work of one workspace, by urgency.
func fairShares(work map[holder]tally) map[int]float64 {
	lists := map[int][]tally{}
	for h, t := range work {
		lists[h.urgency] = append(lists[h.urgency], t)
	}
	fair := map[int]float64{}
	for urgency, list := range lists {
		fair[urgency] = fairShare(list)
	}
	return fair
}

// fairShare returns the largest amount of work such that giving each workspace what it asks for, but no more than that amount,
// takes the work that is served. What a workspace does not ask for is shared by the others.
func fairShare(list []tally) float64 {
	slices.SortFunc(list, func(a, b tally) int { return cmp.Compare(a.seen, b.seen) })
	left := 0.0
	for _, t := range list {
		left += t.served
	}
	for i, t := range list {
		share := left / float64(len(list)-i)
		if t.seen >= share {
			return share
		}
		left -= t.seen
	}
	return math.Inf(1) // all are served
}

// setLimits sets the limits of flows in order of their ranks.
func setLimits(list []*flow, speed Speed) {
	total := 0.0
	for _, f := range list {
		total += f.work.seen
	}
	idle := idleWait(speed)
	before, shortest := 0.0, time.Duration(0)
	for first := 0; first < len(list); {
		next := first
		for next < len(list) && list[next].rank == list[first].rank {
			f := list[next]
			f.share = 1
			if before > 0 {
				f.share = maxYieldShare - (maxYieldShare-minYieldShare)*before/total
			}
			f.waitLimit = safeWait(f.objective, idle)
			if limit := max(time.Duration(f.share*float64(safeWait(shortest, idle))), idle); shortest > 0 && (limit < f.waitLimit || f.waitLimit == 0) {
				f.waitLimit = limit
			}
			next++
		}
		for _, f := range list[first:next] {
			before += f.work.seen
			// What can hardly wait cannot be helped by shorter queues.
			if f.objective > 2*idle && (shortest == 0 || f.objective < shortest) {
				shortest = f.objective
			}
		}
		first = next
	}
}

// safeWait returns the expected wait from which the wait most probably stays within an objective. Requests end at random times,
// so that a wait for n ends, each after the time gap on average, varies by the root of n times gap.
func safeWait(objective, gap time.Duration) time.Duration {
	if objective <= gap {
		return objective
	}
	root := (math.Sqrt(float64(gap+4*objective)) - math.Sqrt(float64(gap))) / 2
	return max(time.Duration(root*root), gap)
}

// idleWait returns the mean time between two requests that a busy group starts. With a shorter queue it may become idle.
func idleWait(speed Speed) time.Duration {
	wait := defaultAnswerTokens * speed.Step / time.Duration(max(speed.Slots, 1))
	if speed.PromptTokensPerSecond > 0 {
		wait += time.Duration(defaultPromptTokens / speed.PromptTokensPerSecond * float64(time.Second))
	}
	return wait
}

// allowance is what a request may use of the groups.
type allowance struct {
	wait time.Duration // longest wait; 0 for any
	load float64       // load of a group, as a multiple of its slots, from which on the group is full
}

// allow returns what a request may use under overload, so that it leaves room to those that go first.
func (d *demand) allow(r Request) allowance {
	a := allowance{wait: r.Objective, load: maxLoadFactor}
	f := d.flows[flowOf(r)]
	if f == nil {
		return a
	}
	if f.waitLimit > 0 && (a.wait == 0 || f.waitLimit < a.wait) {
		a.wait = f.waitLimit
	}
	a.load = 1 + (maxLoadFactor-1)*f.share // all slots and a part of the queue
	return a
}

// OverShare reports whether the workspace of a request has had more than its fair share of the groups, as of the last refusal.
func (l *Ledger) OverShare(r Request) bool {
	f := l.demand.flows[flowOf(r)]
	return f != nil && f.overShare
}
