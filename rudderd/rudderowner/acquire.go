package rudderowner

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// maxTries bounds the number of shards that are tried for one request.
	maxTries = 3
	// suspectTTL is how long an owner that did not answer is skipped. Otherwise each request would wait for
	// callTimeout until the owner leaves the member list.
	suspectTTL = time.Second
	// loadTTL is how long the load in an owner's response is preferred over the load in its digest.
	loadTTL = 2 * time.Second
	// unknownLoad is the assumed load of a shard without any report.
	unknownLoad = 0.5
)

// Work describes a request that needs a slot.
type Work struct {
	// RequestID identifies one attempt. A later attempt of a request needs another ID. Otherwise a grant
	// call for it that arrives before the release of the earlier attempt returns the slot being released.
	RequestID string
	// Repeat is set for all but the first Acquire of a request. They add nothing to the retry budget.
	Repeat    bool
	Wanted    rudderrouter.Requirements
	Workspace string
	// Weight of the workspace in fair queueing; 0 means 1.
	Weight int
	Preset rudderconfig.Preset
	Class  rudderconfig.WorkClass
	// Tokens is the estimated work, see rudderadmission.Estimator.
	Tokens int
	// Priority orders the queue strictly; a lower number runs first.
	Priority int
	// Deadline ends the wait; zero means the policy's deadline.
	Deadline time.Time
	// Avoid lists the IDs of groups that must not run the work.
	Avoid []string
	// Blocks are the prompt's prefix blocks, see rudderrouter.PrefixBlocks.
	Blocks []uint32
}

// Acquire gets a slot for the work, waiting in the owner's queue if necessary. When no group is known but
// HasSelector reports that a selector serves the work, it waits up to formingWait for a group. When the context
// ends it returns at once and removes the work from the owner's queue in the background.
func (o *Owner) Acquire(ctx context.Context, work Work) (*Slot, error) {
	o.init()
	o.mu.Lock()
	if work.Repeat {
		o.budget.addTime(o.Clock.Now())
	} else {
		o.budget.addRequest(o.Clock.Now())
	}
	o.mu.Unlock()
	until := o.formingDeadline(work)
	for {
		slot, err := o.acquireNow(ctx, work)
		if err == nil || !o.canAwaitGroup(work, err) || !o.awaitChange(ctx, until) {
			return slot, err
		}
	}
}

// acquireNow tries up to maxTries of the known shards, within the retry budget.
func (o *Owner) acquireNow(ctx context.Context, work Work) (*Slot, error) {
	var tried []string
	var last error
	for try := range maxTries {
		shard, owner, err := o.choose(work, tried)
		if err != nil {
			return nil, errors.CombineErrors(last, err)
		}
		if try > 0 && !o.takeRetry() {
			return nil, last
		}
		tried = append(tried, shard)
		slot, again, err := o.acquireFrom(ctx, shard, owner, work)
		if err == nil || !again {
			return slot, err
		}
		last = err
	}
	return nil, last
}

func (o *Owner) takeRetry() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.budget.take()
}

// choose picks a shard that has not been tried and returns its ID and owner.
func (o *Owner) choose(work Work, tried []string) (string, ruddermember.Member, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.refresh(now)
	var candidates []rudderrouter.Candidate
	for _, s := range o.view.shards {
		if len(o.view.owners[s.ID()]) == 0 || slices.Contains(tried, s.ID()) || !s.Serves(work.Wanted) ||
			!hasGroupFor(s, work) {
			continue
		}
		candidates = append(candidates, rudderrouter.Candidate{
			Shard: s, Load: o.loadOf(now, s.ID()), SameRegion: s.Groups()[0].Region == o.Self.Region,
		})
	}
	i := o.chooser.Choose(candidates, work.Blocks)
	if i < 0 {
		return "", ruddermember.Member{}, ErrNoGroup
	}
	id := candidates[i].Shard.ID()
	return id, o.view.owners[id][0], nil
}

func hasGroupFor(s rudderrouter.Shard, work Work) bool {
	return slices.ContainsFunc(s.Groups(), func(g rudderrouter.Group) bool {
		return !g.Draining && !slices.Contains(work.Avoid, g.ID)
	})
}

func (o *Owner) loadOf(now time.Time, shard string) float64 {
	if known, ok := o.loads[shard]; ok && now.Sub(known.at) < loadTTL {
		return known.load
	}
	if o.DigestedLoad != nil {
		if load, ok := o.DigestedLoad(shard, o.view.owners[shard][0].Name); ok {
			return load
		}
	}
	return unknownLoad
}

// acquireFrom requests a slot from the owner of one shard, or takes one of the local share when the owner does not
// answer. again reports that another shard may be tried.
func (o *Owner) acquireFrom(ctx context.Context, shard string, owner ruddermember.Member, work Work) (slot *Slot, again bool, err error) {
	request := &rudderpeer.GrantRequest{Shard: shard, Work: o.workToWire(work)}
	if o.isSuspect(owner) {
		return o.fromLocalShare(ctx, shard, work)
	}
	for {
		now := o.Clock.Now()
		if !work.Deadline.IsZero() {
			if !now.Before(work.Deadline) {
				o.abandon(shard, work)
				return nil, false, ErrDeadline
			}
			request.DeadlineMs = max(1, work.Deadline.Sub(now).Milliseconds())
		}
		reports := o.limitReports(shard, now)
		request.Limits = rudderlimit.Encode(reports)
		response, err := o.grant(ctx, owner, request)
		if err != nil {
			o.limits.Return(reports)
		}
		o.mergeLimits(rudderlimit.Decode(response.GetLimits()), o.Clock.Now())
		if ctx.Err() != nil {
			o.abandon(shard, work)
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil, false, ErrDeadline
			}
			return nil, false, errors.Wrap(ctx.Err(), "admission: given up")
		}
		if err != nil {
			o.abandon(shard, work)
			o.markSuspect(owner)
			return o.fromLocalShare(ctx, shard, work)
		}
		if response.GetState() == rudderpeer.GrantResponse_QUEUED {
			request.WaitMs = min(max(pollWait.Milliseconds(), 2*request.WaitMs), maxPollWait.Milliseconds())
			continue
		}
		slot, again, err := o.settle(ctx, shard, work, response)
		var refused *refusedError
		if errors.As(err, &refused) && request.GetWaitMs() == 0 {
			refused.notOwner = response.GetState() == rudderpeer.GrantResponse_NOT_OWNER
		}
		return slot, again, err
	}
}

// grant makes one Grant call. Its timeout is callTimeout plus the time that the owner may wait.
func (o *Owner) grant(ctx context.Context, owner ruddermember.Member, request *rudderpeer.GrantRequest) (*rudderpeer.GrantResponse, error) {
	limit := callTimeout + time.Duration(request.GetWaitMs())*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	o.mu.Lock()
	admission := o.admissionClient(owner)
	call := &poll{shard: request.GetShard(), owner: owner.Name, cancel: cancel}
	o.polls[call] = true
	o.mu.Unlock()
	response, err := admission.Grant(ctx, request)
	o.mu.Lock()
	delete(o.polls, call)
	o.mu.Unlock()
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	o.loads[request.GetShard()] = timedLoad{response.GetLoad(), o.Clock.Now()}
	o.mu.Unlock()
	return response, nil
}

// poll is a Grant call in progress. It is cancelled when its owner leaves the member list.
type poll struct {
	shard, owner string
	cancel       context.CancelFunc
}

// cancelStalePolls cancels the calls to hosts that no longer own the shard. o.mu is held.
func (o *Owner) cancelStalePolls() {
	for call := range o.polls {
		if owners := o.view.owners[call.shard]; len(owners) == 0 || owners[0].Name != call.owner {
			call.cancel()
		}
	}
}

// settle converts a final response into a slot or an error.
func (o *Owner) settle(ctx context.Context, shard string, work Work, r *rudderpeer.GrantResponse) (*Slot, bool, error) {
	switch r.GetState() {
	case rudderpeer.GrantResponse_GRANTED:
		return o.hold(shard, work, r.GetGroup(), r.GetLeader(), false), false, nil
	case rudderpeer.GrantResponse_REFUSED:
		after := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
		return nil, true, &refusedError{after: after, reason: r.GetReason()}
	case rudderpeer.GrantResponse_EXPIRED:
		return nil, false, ErrDeadline
	case rudderpeer.GrantResponse_NO_GROUP:
		return nil, true, ErrNoGroup
	case rudderpeer.GrantResponse_NOT_OWNER:
		return o.fromLocalShare(ctx, shard, work)
	}
	return nil, true, &refusedError{after: callTimeout, reason: "unknown answer of the shard owner"}
}

func (o *Owner) hold(shard string, work Work, group, leader string, local bool) *Slot {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.holdLocked(shard, work, group, leader, local)
}

func (o *Owner) holdLocked(shard string, work Work, group, leader string, local bool) *Slot {
	slot := &Slot{
		owner: o, work: work, group: group, leader: leader, shard: shard, local: local, since: o.Clock.Now(),
	}
	o.slots[work.RequestID] = slot
	o.hints.RecordPlacement(group, work.Blocks)
	return slot
}

// abandon removes the work from the owner's queue in the background.
func (o *Owner) abandon(shard string, work Work) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sendRelease(shard, &rudderpeer.ReleasedSlot{RequestId: work.RequestID, Abandoned: true})
}
