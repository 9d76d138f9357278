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
	// rankInterval is the time between two computations of who yields to whom.
	rankInterval = 100 * time.Millisecond
	// minServedShare is the share of the requests of a kind that is served, relative to that of all requests, below which
	// the kind yields to none. The kind has to get a quarter; the rest is a margin for the delay of the control.
	minServedShare = 0.35
	// evenServedShare is by how much the served share of a kind may exceed that of another one with the same urgency.
	evenServedShare = 0.05
	// minSeen is the number of recent requests from which on the served share of a kind counts.
	minSeen = 3
	// maxFlows bounds the number of flows, because callers influence it.
	maxFlows = 2048
	// A request that yields may use this share of the wait, and of the queue, that those before it may use: most if they are few,
	// least if they are nearly all of the demand.
	maxYieldShare, minYieldShare = 0.75, 0.25
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

// flow is the recent demand of one kind.
type flow struct {
	kind     kind
	requests tally
	work     tally // in seconds
	// objective is that of the last request.
	objective time.Duration
	// rank orders flows under overload: those with a lower rank go first.
	rank int
	// waitLimit is the longest expected wait that the flow may use: it can meet its objective and does not delay those before it;
	// 0 for any. share is its share of what those before it may use; 1 if there are none.
	waitLimit time.Duration
	share     float64
}

// demand is the recent demand for a ledger's groups, by kind of request.
type demand struct {
	flows    map[kind]*flow
	rankedAt time.Duration // uptime to which the demand has decayed
}

// minWork makes requests count whose cost is not known, in seconds.
const minWork = 0.001

// record counts a request.
func (d *demand) record(r Request, served bool) {
	key := kindOf(r)
	f := d.flows[key]
	if f == nil {
		if len(d.flows) >= maxFlows {
			return
		}
		if d.flows == nil {
			d.flows = map[kind]*flow{}
		}
		f = &flow{kind: key, share: 1}
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

// update decays the demand and computes the order of the flows, at intervals.
func (d *demand) update(now time.Duration, speed Speed) {
	if now-d.rankedAt < rankInterval {
		return
	}
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
	d.rank(list)
	slices.SortFunc(list, func(a, b *flow) int { return cmp.Compare(a.rank, b.rank) })
	setLimits(list, speed)
}

// rank orders the flows: by urgency, and those of one urgency that are served more often than others after those. Flows that are
// hardly served come first.
func (d *demand) rank(list []*flow) {
	var all tally
	least := map[int]float64{} // served share by urgency
	for _, f := range list {
		all.add(f.requests)
		if share, known := least[f.kind.urgency]; f.requests.seen >= minSeen && (!known || f.requests.share() < share) {
			least[f.kind.urgency] = f.requests.share()
		}
	}
	for _, f := range list {
		f.rank = 2*f.kind.urgency + 1
		if share, known := least[f.kind.urgency]; known && f.requests.share() > share+evenServedShare {
			f.rank++
		}
		if f.requests.seen >= minSeen && f.requests.share() < minServedShare*all.share() {
			f.rank = 0
		}
	}
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
	f := d.flows[kindOf(r)]
	if f == nil {
		return a
	}
	if f.waitLimit > 0 && (a.wait == 0 || f.waitLimit < a.wait) {
		a.wait = f.waitLimit
	}
	a.load = 1 + (maxLoadFactor-1)*f.share // all slots and a part of the queue
	return a
}
