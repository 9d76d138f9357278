package rudderowner

import (
	"context"
	"time"

	"comfreyrudder.example/rudderd/rudderadmission"
	"comfreyrudder.example/shared/rudderpeer"
)

// uncollectedTTL is how long the answer for a queued request is kept for its next poll.
const uncollectedTTL = 5 * time.Second

// notOwner is the reason of decisions that send a waiting request to the new owner.
const notOwner = "not the owner"

type uncollected struct {
	decision rudderadmission.Decision
	at       time.Time
}

// ownedShard is a shard that this entry host admits work to. Owner.mu guards it.
type ownedShard struct {
	shard    *rudderadmission.Shard
	waiters  map[string]chan rudderadmission.Decision
	answers  map[string]uncollected
	queued   map[string][]uint32 // blocks of the queued requests
	reported map[string]int64    // time of the last used report by group, Unix milliseconds
	placed   func(group string, blocks []uint32)
}

// ownedShard returns the state of a shard, creating it for the first or the second in rank: the
// caller may know before this host that the first one is dead.
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
		answers: map[string]uncollected{}, queued: map[string][]uint32{}, reported: map[string]int64{},
		placed: o.hints.Placed,
	}
	o.owned[id] = owned
	owned.follow(now, shard)
	return owned
}

// deliver hands final decisions to the calls that wait for them, or keeps them for the next poll.
func (s *ownedShard) deliver(now time.Time, decisions []rudderadmission.Decision) {
	for _, d := range decisions {
		if d.Kind == rudderadmission.Granted {
			s.placed(d.Group, s.queued[d.RequestID])
		}
		delete(s.queued, d.RequestID)
		if waiter := s.waiters[d.RequestID]; waiter != nil {
			waiter <- d // has room for one answer
			delete(s.waiters, d.RequestID)
			continue
		}
		s.answers[d.RequestID] = uncollected{d, now}
	}
	for id, answer := range s.answers {
		if now.Sub(answer.at) > uncollectedTTL {
			delete(s.answers, id)
		}
	}
}

// handOver sends all queued requests to the new owner.
func (s *ownedShard) handOver(now time.Time) {
	var moved []rudderadmission.Decision
	for id := range s.queued {
		s.shard.Abandon(now, id)
		moved = append(moved, rudderadmission.Decision{RequestID: id, Kind: rudderadmission.NoGroup, Reason: notOwner})
	}
	s.deliver(now, moved)
}

// server is the twirp side of Owner, so that its methods stay out of Owner's.
type server Owner

func (s *server) owner() *Owner { return (*Owner)(s) }

// Grant implements rudderpeer.Admission.
func (s *server) Grant(ctx context.Context, r *rudderpeer.GrantRequest) (*rudderpeer.GrantResponse, error) {
	o := s.owner()
	o.mu.Lock()
	now := o.Clock.Now()
	owned := o.ownedShard(now, r.GetShard())
	if owned == nil || unknown(o.view.byID[r.GetShard()]) {
		o.mu.Unlock()
		return &rudderpeer.GrantResponse{State: rudderpeer.GrantResponse_NOT_OWNER}, nil
	}
	id := r.GetWork().GetRequestId()
	decision := o.offer(now, owned, r)
	if decision.Kind != rudderadmission.Queued || r.GetWaitMs() <= 0 {
		defer o.mu.Unlock()
		return answer(decision, owned.shard.Load()), nil
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
	case decision = <-waiter: // arrived together with the timer
	default:
	}
	return answer(decision, owned.shard.Load()), nil
}

// offer returns a kept answer of a queued request, or offers the work to the shard.
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
	work.Prefer = o.hints.Match(blocks)
	decision := owned.shard.Admit(now, work)
	switch decision.Kind {
	case rudderadmission.Granted:
		o.hints.Placed(decision.Group, blocks)
	case rudderadmission.Queued:
		if o.rank(r.GetShard()) > 0 {
			// Only the first in rank queues, so that no request waits at two owners.
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
	held := make([]rudderadmission.Held, 0, len(r.GetSlots()))
	for _, h := range r.GetSlots() {
		since := now.Add(-time.Duration(h.GetAgeMs()) * time.Millisecond)
		held = append(held, rudderadmission.Held{Work: workFromWire(h.GetWork()), Group: h.GetGroup(), Since: since})
	}
	owned.deliver(now, owned.shard.RenewList(now, r.GetHolder(), held))
	return response, nil
}
