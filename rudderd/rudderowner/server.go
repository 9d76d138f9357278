package rudderowner

import (
	"context"
	"time"

	"comfreyrudder.example/rudderd/rudderadmission"
	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/shared/rudderpeer"
)

// undeliveredTTL is how long the decision on a queued request is kept for its next poll.
const undeliveredTTL = 5 * time.Second

// notOwner is the reason of decisions that redirect a queued request to the shard's new owner.
const notOwner = "not the owner"

// undelivered is a decision that was made while no call waited for it.
type undelivered struct {
	decision rudderadmission.Decision
	at       time.Time
}

// ownedShard is the state of a shard that this entry host owns, or owns as standby. Owner.mu guards it.
type ownedShard struct {
	shard    *rudderadmission.Shard
	waiters  map[string]chan rudderadmission.Decision
	answers  map[string]undelivered
	queued   map[string][]uint32 // prefix blocks of the queued requests
	reported map[string]int64    // time of the last applied report by group, Unix milliseconds
	placed   func(group string, blocks []uint32)
}

// ownedShard returns the state of a shard, or nil when this entry host does not own it. It creates the state
// for the first two hosts in rank: a caller may know before the second one that the first is dead.
func (o *Owner) ownedShard(now time.Time, id string) *ownedShard {
	o.refresh(now)
	if owned := o.owned[id]; owned != nil {
		return owned
	}
	shard, exists := o.view.byID[id]
	if !exists || o.rank(id) > 1 {
		return nil
	}
	owned := &ownedShard{
		shard: rudderadmission.NewShard(o.Policies), waiters: map[string]chan rudderadmission.Decision{},
		answers: map[string]undelivered{}, queued: map[string][]uint32{}, reported: map[string]int64{},
		placed: o.hints.RecordPlacement,
	}
	owned.shard.Limits, owned.shard.Uptime = &o.limits, o.uptime
	o.owned[id] = owned
	owned.setGroups(now, shard)
	return owned
}

// deliver passes final decisions to the calls that wait for them, or keeps them for the next poll.
func (s *ownedShard) deliver(now time.Time, decisions []rudderadmission.Decision) {
	for _, d := range decisions {
		if d.Kind == rudderadmission.Granted {
			s.placed(d.Group, s.queued[d.RequestID])
		}
		delete(s.queued, d.RequestID)
		if waiter := s.waiters[d.RequestID]; waiter != nil {
			waiter <- d // has a buffer of one
			delete(s.waiters, d.RequestID)
			continue
		}
		s.answers[d.RequestID] = undelivered{d, now}
	}
	for id, answer := range s.answers {
		if now.Sub(answer.at) > undeliveredTTL {
			delete(s.answers, id)
		}
	}
}

// redirectQueued answers all queued requests with notOwner, so that they go to the new owner.
func (s *ownedShard) redirectQueued(now time.Time) {
	var moved []rudderadmission.Decision
	for id := range s.queued {
		s.shard.Abandon(now, id)
		moved = append(moved, rudderadmission.Decision{RequestID: id, Kind: rudderadmission.NoGroup, Reason: notOwner})
	}
	s.deliver(now, moved)
}

// server implements the Admission service for Owner without adding its methods to Owner's API.
type server Owner

func (s *server) owner() *Owner { return (*Owner)(s) }

// Grant implements rudderpeer.Admission.
func (s *server) Grant(ctx context.Context, r *rudderpeer.GrantRequest) (*rudderpeer.GrantResponse, error) {
	o := s.owner()
	o.mu.Lock()
	now := o.Clock.Now()
	owned := o.ownedShard(now, r.GetShard())
	if owned == nil || allUnconfirmed(o.view.byID[r.GetShard()]) {
		o.mu.Unlock()
		return &rudderpeer.GrantResponse{State: rudderpeer.GrantResponse_NOT_OWNER}, nil
	}
	id := r.GetWork().GetRequestId()
	reports := rudderlimit.Decode(r.GetLimits())
	o.mergeLimits(reports, now)
	missing := rudderlimit.Encode(o.limits.Missing(processesOf(o.view.byID[r.GetShard()]), reports, o.uptime(now)))
	decision := o.offer(now, owned, r)
	if decision.Kind != rudderadmission.Queued || r.GetWaitMs() <= 0 {
		defer o.mu.Unlock()
		return toGrantResponse(decision, owned.shard.Load(), missing), nil
	}
	waiter := make(chan rudderadmission.Decision, 1)
	owned.waiters[id] = waiter
	o.mu.Unlock()

	timer := o.Clock.NewTimer(time.Duration(r.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	select {
	case decision = <-waiter:
	case <-timer.Chan():
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if owned.waiters[id] == waiter {
		delete(owned.waiters, id)
	}
	select {
	case decision = <-waiter: // arrived at the same time as the timer
	default:
	}
	return toGrantResponse(decision, owned.shard.Load(), missing), nil
}

// offer returns the undelivered decision on a queued request, or submits the work to the shard.
func (o *Owner) offer(now time.Time, owned *ownedShard, r *rudderpeer.GrantRequest) rudderadmission.Decision {
	id := r.GetWork().GetRequestId()
	if kept, ok := owned.answers[id]; ok {
		delete(owned.answers, id)
		return kept.decision
	}
	if _, waits := owned.queued[id]; waits {
		return rudderadmission.Decision{RequestID: id, Kind: rudderadmission.Queued}
	}
	work := workFromWire(r.GetWork())
	if r.GetDeadlineMs() > 0 {
		work.Deadline = now.Add(time.Duration(r.GetDeadlineMs()) * time.Millisecond)
	}
	blocks := r.GetWork().GetBlocks()
	work.PrefixShares = o.hints.Match(blocks)
	decision := owned.shard.Admit(now, work)
	switch decision.Kind {
	case rudderadmission.Granted:
		o.hints.RecordPlacement(decision.Group, blocks)
	case rudderadmission.Queued:
		if o.rank(r.GetShard()) > 0 {
			// Only the first in rank queues requests, so that none waits at two owners.
			owned.shard.Abandon(now, id)
			return rudderadmission.Decision{RequestID: id, Kind: rudderadmission.NoGroup, Reason: notOwner}
		}
		owned.queued[id] = blocks
	}
	return decision
}

// Release implements rudderpeer.Admission.
func (s *server) Release(_ context.Context, r *rudderpeer.ReleaseRequest) (*rudderpeer.ReleaseResponse, error) {
	o := s.owner()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.mergeLimits(rudderlimit.Decode(r.GetLimits()), now)
	owned := o.ownedShard(now, r.GetShard())
	if owned == nil {
		return &rudderpeer.ReleaseResponse{}, nil
	}
	for _, released := range r.GetReleased() {
		id := released.GetRequestId()
		if released.GetAbandoned() {
			if d, known := owned.shard.Abandon(now, id); known {
				owned.deliver(now, []rudderadmission.Decision{d})
			}
			delete(owned.answers, id)
			delete(owned.queued, id)
			owned.deliver(now, owned.shard.Tick(now))
			continue
		}
		outcome := rudderadmission.Outcome{Tokens: int(released.GetTokens()), Failed: released.GetFailed()}
		owned.deliver(now, owned.shard.Release(now, id, outcome))
	}
	return &rudderpeer.ReleaseResponse{}, nil
}

// HeldSlots implements rudderpeer.Admission.
func (s *server) HeldSlots(_ context.Context, r *rudderpeer.HeldSlotsRequest) (*rudderpeer.HeldSlotsResponse, error) {
	o := s.owner()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	owned := o.ownedShard(now, r.GetShard())
	if owned == nil {
		return &rudderpeer.HeldSlotsResponse{NotOwner: true}, nil
	}
	response := &rudderpeer.HeldSlotsResponse{LeaseMs: rudderadmission.LeaseTTL.Milliseconds()}
	if !r.GetListed() {
		summary := rudderadmission.Summary{Count: int(r.GetCount()), Hash: r.GetSummary()}
		response.WantList = !owned.shard.Renew(now, r.GetHolder(), summary)
		return response, nil
	}
	held := make([]rudderadmission.HeldSlot, 0, len(r.GetSlots()))
	for _, h := range r.GetSlots() {
		since := now.Add(-time.Duration(h.GetAgeMs()) * time.Millisecond)
		held = append(held, rudderadmission.HeldSlot{Work: workFromWire(h.GetWork()), Group: h.GetGroup(), Since: since})
	}
	owned.deliver(now, owned.shard.ReconcileHeld(now, r.GetHolder(), held))
	return response, nil
}
