package rudderadmission

import (
	"math"
	"slices"
	"strings"
	"time"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/shared/rudderconfig"
)

// LeaseTTL is how long slots stay held without a renewal from their holder. Slots of a holder that leaves the
// member list are freed at once by ReleaseDeadHolders; the lease covers failures that the member list does
// not show. With 6 s, the renewals of 330 holders were most of an owner's traffic.
const LeaseTTL = 15 * time.Second

// unlistedGracePeriod is the age from which a slot is freed when its holder does not list it. The response that
// grants a younger slot may still be in transit.
const unlistedGracePeriod = 2 * time.Second

// Shard is the admission state of one shard of groups at its owner. It is not safe for concurrent use.
type Shard struct {
	// Limits holds the request rates that leaders name; nil for none. Uptime converts a time to the clock of Limits.
	Limits *rudderlimit.Table
	Uptime func(time.Time) time.Duration

	policies   func(rudderconfig.Preset) Policy
	groups     []*groupState
	lanes      []*lane
	held       map[string]*slot
	holders    map[string]*holderState
	queued     map[string]bool
	slotRate   float64 // moving average of estimated tokens per second of one slot
	medianRate float64

	// demand is the number of short requests that run or are queued; demandMean is its moving average.
	demand, demandMean float64
	demandAt           time.Time
}

// NewShard returns an empty shard. If policies is nil, PolicyFor is used.
func NewShard(policies func(rudderconfig.Preset) Policy) *Shard {
	if policies == nil {
		policies = PolicyFor
	}
	return &Shard{policies: policies, held: map[string]*slot{}, holders: map[string]*holderState{}, queued: map[string]bool{}}
}

// SetGroups replaces the groups of the shard. Held slots of a removed group stay until they are
// released. Queued work goes to the remaining groups, or is answered NoGroup when none can serve it.
func (s *Shard) SetGroups(now time.Time, groups []Group) []Decision {
	known := map[string]*groupState{}
	for _, g := range s.groups {
		known[g.ID] = g
	}
	s.groups = s.groups[:0:0]
	for _, g := range groups {
		state := known[g.ID]
		if state == nil {
			state = &groupState{}
		}
		delete(known, g.ID)
		state.Group = g
		s.groups = append(s.groups, state)
	}
	for _, g := range known {
		if g.held() > 0 {
			g.Draining = true
			s.groups = append(s.groups, g)
		}
	}
	slices.SortFunc(s.groups, func(a, b *groupState) int { return strings.Compare(a.ID, b.ID) })
	s.updateMedian()
	return append(s.dropUnservable(), s.dispatch(now)...)
}

func (s *Shard) servable(work Work) bool {
	return slices.ContainsFunc(s.groups, func(g *groupState) bool {
		return !g.Draining && !work.avoids(g.ID)
	})
}

func (s *Shard) dropUnservable() []Decision {
	var decisions []Decision
	for _, l := range s.lanes {
		for _, e := range s.remove(l, func(e *entry) bool { return !s.servable(e.work) }) {
			decisions = append(decisions, Decision{RequestID: e.work.RequestID, Kind: NoGroup, Reason: "no group left"})
		}
	}
	return decisions
}

// Admit grants a slot to the work, queues it or refuses it. It is idempotent: a request that already holds a
// slot or is queued gets the same decision again.
func (s *Shard) Admit(now time.Time, work Work) Decision {
	if held := s.held[work.RequestID]; held != nil {
		return granted(held)
	}
	if s.queued[work.RequestID] {
		return Decision{RequestID: work.RequestID, Kind: Queued}
	}
	if !s.servable(work) {
		return Decision{RequestID: work.RequestID, Kind: NoGroup, Reason: "no group serves the work"}
	}
	s.refreshLimits(now)
	policy := s.policies(work.Preset)
	e := &entry{work: work, policy: policy, since: now, deadline: work.Deadline}
	if e.deadline.IsZero() {
		e.deadline = now.Add(policy.deadline(work.Class))
	}
	if s.canPlace(work, policy) && !s.wouldOvertake(work) {
		return s.grant(now, work, policy)
	}
	wait := s.expectedWait(work, policy)
	refuse := func(reason string) Decision {
		after := s.retryAfter(work, policy, wait-e.deadline.Sub(now))
		return Decision{RequestID: work.RequestID, Kind: Refused, RetryAfter: after, Reason: reason}
	}
	if s.QueueLength() >= s.queueLimit(policy) {
		return refuse("queue full")
	}
	if wait > e.deadline.Sub(now) {
		return refuse("expected wait above the deadline")
	}
	s.laneFor(work).push(e)
	s.queued[work.RequestID] = true
	s.updateDemand(now)
	return Decision{RequestID: work.RequestID, Kind: Queued}
}

// wouldOvertake reports whether granting the work now would pass queued work of its lane that could run now.
// Queued work that avoids all groups with free slots does not count.
func (s *Shard) wouldOvertake(work Work) bool {
	return slices.ContainsFunc(s.laneFor(work).flows, func(f *flow) bool {
		return f.placeable(func(e *entry) bool { return s.canPlace(e.work, e.policy) }) >= 0
	})
}

// remove removes the matching entries from a lane and returns them.
func (s *Shard) remove(l *lane, match func(*entry) bool) []*entry {
	removed := l.remove(match)
	for _, e := range removed {
		delete(s.queued, e.work.RequestID)
	}
	return removed
}

func (s *Shard) anyFreeSlot() bool {
	return slices.ContainsFunc(s.groups, func(g *groupState) bool { return s.free(g, rudderconfig.ClassShort, Policy{}) > 0 })
}

func (s *Shard) queueLimit(policy Policy) int {
	slots := 0
	for _, g := range s.groups {
		if !g.Draining {
			slots += g.Slots
		}
	}
	return int(math.Ceil(policy.QueuePerSlot * float64(slots)))
}

func (s *Shard) canPlace(work Work, policy Policy) bool {
	return s.leavesHeadroom(work, policy) && s.place(work, policy) != nil
}

func (s *Shard) grant(now time.Time, work Work, policy Policy) Decision {
	g := s.place(work, policy)
	held := &slot{work: work, group: g, since: now}
	s.hold(now, held)
	s.takePermit(now, g)
	return granted(held)
}

func granted(held *slot) Decision {
	return Decision{
		RequestID: held.work.RequestID, Kind: Granted, Group: held.group.ID,
		Leader: held.group.Leader,
	}
}

// Release frees a slot and returns the grants that this makes possible. An unknown request is ignored,
// because a release may be sent twice.
func (s *Shard) Release(now time.Time, requestID string, outcome Outcome) []Decision {
	held := s.held[requestID]
	if held == nil {
		return nil
	}
	s.releaseSlot(now, held)
	elapsed := now.Sub(held.since)
	if !outcome.Failed && elapsed > 0 {
		held.group.observeRate(outcome.Tokens, elapsed)
		rate := float64(held.work.cost()) / elapsed.Seconds()
		if s.slotRate == 0 {
			s.slotRate = rate
		}
		s.slotRate += rateDecay * (rate - s.slotRate)
		s.updateMedian()
	}
	return s.dispatch(now)
}

func (s *Shard) releaseSlot(now time.Time, held *slot) {
	delete(s.held, held.work.RequestID)
	s.removeFromHolder(held.work)
	g := held.group
	g.adjustHeld(held.work.Class, -1, now)
	s.updateDemand(now)
	if g.Draining && g.held() == 0 {
		s.groups = slices.DeleteFunc(s.groups, func(other *groupState) bool { return other == g })
	}
}

// Abandon removes a request from the queue, or frees its slot, and returns its final decision. It returns
// false for a request that is neither queued nor holds a slot.
func (s *Shard) Abandon(now time.Time, requestID string) (Decision, bool) {
	for _, l := range s.lanes {
		if !s.queued[requestID] {
			break
		}
		if removed := s.remove(l, func(e *entry) bool { return e.work.RequestID == requestID }); len(removed) > 0 {
			return Decision{RequestID: requestID, Kind: Expired, Reason: "given up"}, true
		}
	}
	held := s.held[requestID]
	if held == nil {
		return Decision{}, false
	}
	s.releaseSlot(now, held)
	return Decision{RequestID: requestID, Kind: Expired, Reason: "given up"}, true
}

// Tick expires queued requests past their deadline, frees slots whose lease has expired and grants free slots.
func (s *Shard) Tick(now time.Time) []Decision {
	var decisions []Decision
	// Callers choose priorities, so empty lanes are removed to bound their number.
	s.lanes = slices.DeleteFunc(s.lanes, func(l *lane) bool { return l.entries == 0 })
	for _, l := range s.lanes {
		for _, e := range s.remove(l, func(e *entry) bool { return !now.Before(e.deadline) }) {
			decisions = append(decisions, Decision{RequestID: e.work.RequestID, Kind: Expired, Reason: "deadline passed in the queue"})
		}
	}
	decisions = append(decisions, s.ReleaseDeadHolders(now, func(holder string) bool { return now.Sub(s.holders[holder].lastContact) < LeaseTTL })...)
	return append(decisions, s.dispatch(now)...)
}

func (s *Shard) dispatch(now time.Time) []Decision {
	var decisions []Decision
	s.refreshLimits(now)
	for {
		e := s.next(now)
		if e == nil {
			return decisions
		}
		delete(s.queued, e.work.RequestID)
		decisions = append(decisions, s.grant(now, e.work, e.policy))
	}
}

// next removes and returns the entry to serve next, or nil: in order of priority, aged long work first, then
// short and then other long work.
func (s *Shard) next(now time.Time) *entry {
	if len(s.queued) == 0 || !s.anyFreeSlot() {
		return nil
	}
	place := func(e *entry) bool { return s.canPlace(e.work, e.policy) }
	for i, l := range s.lanes {
		if i+1 < len(s.lanes) && s.lanes[i+1].priority == l.priority {
			aged := func(e *entry) bool { return e.aged(now) && place(e) }
			if e := s.lanes[i+1].pop(aged); e != nil {
				return e
			}
		}
		if e := l.pop(place); e != nil {
			return e
		}
	}
	return nil
}
