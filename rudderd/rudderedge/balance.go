package rudderedge

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"comfreyrudder.example/rudderd/rudderbalance"
	"comfreyrudder.example/rudderd/rudderforward"
	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// pickTimeout bounds a call to a model's owner. Without a response the group is chosen locally.
	pickTimeout = 60 * time.Millisecond
	// ownerBackoff is how long no calls are sent to an owner that did not respond.
	ownerBackoff = 500 * time.Millisecond
	// maxQueuedDone bounds the request completions that are queued for an owner that did not respond. Requests whose
	// completion is dropped expire in the owner's ledger with their time limits.
	maxQueuedDone = 4096
	// silentTTL is how long a report that a group is silent holds. It is repeated with each call until the group is heard.
	silentTTL = 300 * time.Millisecond
	// maxSilentGroups bounds the groups of one report.
	maxSilentGroups = 256
	// doneInterval is how long request completions are batched before they are sent to their owners.
	doneInterval = 40 * time.Millisecond
)

// balance requests groups from the owners of models, and serves such calls for the models that this entry host owns.
type balance struct {
	edge    *Edge
	next    atomic.Int64
	owners  owners
	slow    slowGroups
	started time.Time // zero point of the times in the ledgers

	mu           sync.Mutex
	overload     overload
	ledgers      map[ledgerKey]*rudderbalance.Ledger
	done         map[string][]string  // IDs of completed requests not yet sent to the owner, by peer address
	backoffUntil map[string]time.Time // for owners that did not respond, by peer address
	lapsedUntil  map[string]time.Time // for owners whose registration may have expired, by peer address
	silentUntil  map[string]time.Time // for groups that entry hosts have reported as silent, by ID
	wake         chan struct{}
}

func newBalance(e *Edge) *balance {
	return &balance{
		edge: e, started: time.Now(), ledgers: map[ledgerKey]*rudderbalance.Ledger{}, done: map[string][]string{}, backoffUntil: map[string]time.Time{},
		lapsedUntil: map[string]time.Time{}, silentUntil: map[string]time.Time{}, wake: make(chan struct{}, 1),
	}
}

// pick implements rudderforward.Forwarder.Pick. It queries the owner of the partition of the model's ledger that
// holds the groups nearby, and the owners of other partitions if that one has little free capacity or does not
// respond.
func (b *balance) pick(ctx context.Context, q rudderforward.PickQuery) rudderforward.Pick {
	snapshot := b.edge.view.Snapshot()
	counts, groups := b.edge.groupsByPartition(snapshot, q)
	var best, spilled rudderforward.Pick
	var slow []string
	for _, query := range rudderbalance.PartitionQueries(counts, rand.Float64) {
		pick := b.queryOwner(ctx, snapshot, q, query)
		slow = append(slow, pick.Slow...)
		pick.Slow = slow
		pick.Work = pick.Work * time.Duration(groups) / time.Duration(counts.All[query.Partition])
		if pick.Group != "" {
			return pick
		}
		if !pick.Answered && pick.Release != nil {
			pick.Release() // the owner may have recorded the request although its response did not arrive
		}
		switch {
		case !pick.Answered:
		case query.Spill:
			spilled = pick
		case !best.Answered || pick.Wait < best.Wait:
			best = pick
		}
	}
	if !best.Answered {
		return spilled
	}
	return best
}

// groupsByPartition counts the groups that may serve a request, by partition and in total.
func (e *Edge) groupsByPartition(s *rudderview.Snapshot, q rudderforward.PickQuery) (counts rudderbalance.PartitionCounts, groups int) {
	n := s.Partitions(q.Service)
	counts = rudderbalance.PartitionCounts{All: make([]int, n), Near: make([]int, n), Unlimited: make([]int, n)}
	limits := !e.limits.Empty()
	for _, g := range s.Groups(q.Service, q.Model) {
		if slices.Contains(q.Avoid, g.ID) {
			continue
		}
		groups++
		counts.All[g.Partition]++
		if g.Leader.DataCentre == e.Settings.DataCentre {
			counts.Near[g.Partition]++
		}
		if !limits || !e.limits.Limited(processOf(g)) {
			counts.Unlimited[g.Partition]++
		}
	}
	return counts, groups
}

// queryOwner requests a group from the owner of one partition of a model's ledger.
func (b *balance) queryOwner(ctx context.Context, snapshot *rudderview.Snapshot, q rudderforward.PickQuery, query rudderbalance.PartitionQuery) rudderforward.Pick {
	key := ledgerKey{q.Service, q.Model, query.Partition}
	owner, found := b.owners.of(snapshot, key)
	if !found {
		return rudderforward.Pick{}
	}
	if !b.grantsPermits(snapshot, key, nil) || !b.isLapsed(owner) {
		pick, lapsed := b.queryHost(ctx, snapshot, q, query, owner)
		if !lapsed {
			return pick
		}
	}
	chain := b.owners.chain(snapshot, key)
	for i, owner := range chain {
		last := i == len(chain)-1
		if !last && b.isLapsed(owner) {
			continue
		}
		pick, lapsed := b.queryHost(ctx, snapshot, q, query, owner)
		if !lapsed || last {
			return pick
		}
	}
	return rudderforward.Pick{}
}

// grantsPermits reports whether the owner of a partition grants permits, because a target of the partition limits the rate of
// requests as far as this entry host or the reports of another one know.
func (b *balance) grantsPermits(s *rudderview.Snapshot, key ledgerKey, reports []rudderlimit.Report) bool {
	return slices.ContainsFunc(b.edge.processesOf(s, key), b.edge.limits.Limited) ||
		slices.ContainsFunc(reports, func(r rudderlimit.Report) bool { return r.Limited })
}

// isLapsed reports whether the registration of an owner may have expired, as far as is known here.
func (b *balance) isLapsed(owner rudderview.EntryHost) bool {
	if owner.Name == b.edge.Settings.Name {
		return b.edge.session.lapsed()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.lapsedUntil[owner.Peer])
}

// refuses reports whether this entry host leaves the permits of a partition to the next owner, because other entry hosts may
// no longer know this one. The last owner grants them in any case, so that they are used while the key-value service is down.
func (b *balance) refuses(key ledgerKey, reports []rudderlimit.Report) bool {
	snapshot := b.edge.view.Snapshot()
	if !b.edge.session.lapsed() || !b.grantsPermits(snapshot, key, reports) {
		return false
	}
	chain := b.owners.chain(snapshot, key)
	return len(chain) > 0 && chain[len(chain)-1].Name != b.edge.Settings.Name
}

// queryHost requests a group from one entry host as the owner of a partition. lapsed is true if that host leaves the permits to
// the next owner.
func (b *balance) queryHost(ctx context.Context, snapshot *rudderview.Snapshot, q rudderforward.PickQuery, query rudderbalance.PartitionQuery, owner rudderview.EntryHost) (pick rudderforward.Pick, lapsed bool) {
	id := fmt.Sprintf("%s.%d", b.edge.Settings.Name, b.next.Add(1))
	key := ledgerKey{q.Service, q.Model, query.Partition}
	request := rudderbalance.Request{ID: id, PromptTokens: q.PromptTokens, AnswerTokens: q.AnswerTokens, Limit: q.Limit, Cost: q.Cost, Avoid: q.Avoid, Objective: q.Objective, Spill: query.Spill, Urgency: q.Urgency, Workspace: q.Workspace}
	if query.Spill {
		request.Objective = time.Duration(rudderbalance.SpillShare * float64(q.Objective))
	}
	if owner.Name == b.edge.Settings.Name {
		b.noteSilent(q.Silent)
		b.noteSlow(key, q.Slow)
		pick := b.pickLocal(key, request)
		pick.Release = func() { b.finish([]string{id}) }
		return pick, false
	}
	done, backingOff := b.takeDone(owner.Peer)
	if backingOff {
		return rudderforward.Pick{}, false
	}
	reports := b.edge.limits.Reports(b.edge.processesOf(snapshot, key), b.edge.uptime())
	ctx, cancel := context.WithTimeout(ctx, pickTimeout)
	defer cancel()
	answer, err := rudderpeer.NewBalanceProtobufClient("http://"+owner.Peer, b.edge.peers.client).Pick(ctx, &rudderpeer.PickRequest{
		Service: q.Service, Model: q.Model, Part: int64(query.Partition), Spill: query.Spill, Id: id, PromptTokens: int64(q.PromptTokens), AnswerTokens: int64(q.AnswerTokens),
		LimitMs: q.Limit.Milliseconds(), CostUs: q.Cost.Microseconds(), Avoid: q.Avoid, Done: done, ObjectiveMs: request.Objective.Milliseconds(),
		Leaving: b.edge.announced(), Limits: rudderlimit.Encode(reports), Urgency: int64(q.Urgency),
		Silent: q.Silent, Slow: q.Slow, Workspace: q.Workspace,
	})
	release := func() { b.queueDone(owner.Peer, id) }
	if isLapsedError(err) {
		b.markLapsed(owner.Peer, done)
		b.edge.limits.Return(reports)
		b.edge.count("balance.owner_lapsed")
		return rudderforward.Pick{}, true
	}
	if err != nil {
		b.markUnreachable(owner.Peer, done)
		b.edge.limits.Return(reports)
		b.edge.count("balance.owner_unreachable")
		b.edge.Logger.Warn().Err(err).Str("owner", owner.Name).Str("model", q.Model).Int("part", query.Partition).Msg("owner of the model is unreachable")
		return rudderforward.Pick{Release: release}, false
	}
	b.edge.applyAnnounced(owner.Name, answer.GetLeaving())
	b.edge.mergeLimits(owner.Name, rudderlimit.Decode(answer.GetLimits()))
	return rudderforward.Pick{Group: answer.GetGroup(), Full: answer.GetFull(), Limited: answer.GetLimited(), Slow: answer.GetSlow(), Answered: true, Work: time.Duration(answer.GetWorkMs()) * time.Millisecond, Refused: fromPermille(answer.GetRefusedPermille()),
		Wait: time.Duration(answer.GetWaitMs()) * time.Millisecond, Release: release}, false
}

// isLapsedError reports whether an error is the response of an owner whose registration may have expired.
func isLapsedError(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.FailedPrecondition
}

// markLapsed skips an owner for a while, and queues the completed requests again that it has not taken.
func (b *balance) markLapsed(peer string, done []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lapsedUntil[peer] = time.Now().Add(ownerBackoff)
	if len(b.done[peer])+len(done) <= maxQueuedDone {
		b.done[peer] = append(b.done[peer], done...)
	}
}

// takeDone removes and returns the completed requests queued for an owner. backingOff is true while no calls
// are sent to the owner; the queue is then left alone.
func (b *balance) takeDone(peer string) (done []string, backingOff bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.backoffUntil[peer]) {
		return nil, true
	}
	done = b.done[peer]
	delete(b.done, peer)
	return done, false
}

// markUnreachable starts the backoff of an owner that did not respond, and queues the completed requests again
// that it may not have received.
func (b *balance) markUnreachable(peer string, done []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffUntil[peer] = time.Now().Add(ownerBackoff)
	if len(b.done[peer])+len(done) <= maxQueuedDone {
		b.done[peer] = append(b.done[peer], done...)
	}
}

// pickLocal chooses a group from a partition of a ledger that this entry host owns, and takes a permit if the group's
// target limits the rate of requests.
func (b *balance) pickLocal(key ledgerKey, r rudderbalance.Request) rudderforward.Pick {
	snapshot := b.edge.view.Snapshot()
	list := groupsOf(snapshot, key)
	speed, known := modelSpeed(snapshot.Table, key.service, key.model)
	if !known && key.model == "" {
		speed, known = plainSpeed(list), true
	}
	if !known {
		return rudderforward.Pick{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	uptime, limited := b.edge.uptime(), false
	var slow []string
	groups := make([]rudderbalance.Group, 0, len(list))
	for _, g := range list {
		wait := b.edge.limits.Wait(processOf(g), r.Urgency, uptime)
		limited = limited || wait > 0 && !slices.Contains(r.Avoid, g.ID)
		state := rudderbalance.Group{ID: g.ID, Draining: g.Draining, Silent: time.Now().Before(b.silentUntil[g.ID]), Slow: b.slow.has(g.ID), Wait: wait}
		state.Rate, _ = b.edge.limits.Rate(processOf(g))
		if state.Slow {
			slow = append(slow, g.ID)
		}
		groups = append(groups, state)
	}
	if b.ledgers[key] == nil {
		b.ledgers[key] = rudderbalance.NewLedger()
	}
	ledger, now := b.ledgers[key], time.Since(b.started)
	group, wait, full := ledger.Pick(now, speed, groups, r)
	if full && !r.Spill {
		b.overload.record(b.edge, key, ledger.OverShare(r), r.Urgency, wait)
	}
	if i := slices.IndexFunc(list, func(g *rudderview.Group) bool { return g.ID == group }); i >= 0 {
		b.edge.limits.Take(processOf(list[i]))
	}
	return rudderforward.Pick{Answered: true, Group: group, Wait: wait, Full: full, Limited: limited && group == "", Slow: slow, Work: ledger.Work(now), Refused: ledger.RefusedShare(now)}
}

// noteSilent makes the groups that an entry host has reported as silent the last choice for all of them.
func (b *balance) noteSilent(groups []string) {
	if len(groups) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(b.silentUntil, func(_ string, until time.Time) bool { return now.After(until) })
	for _, id := range groups[:min(len(groups), maxSilentGroups)] {
		b.silentUntil[id] = now.Add(silentTTL)
	}
}

// groupsOf returns the groups in a partition of a ledger.
func groupsOf(s *rudderview.Snapshot, key ledgerKey) []*rudderview.Group {
	var list []*rudderview.Group
	for _, g := range s.Groups(key.service, key.model) {
		if g.Partition == key.partition {
			list = append(list, g)
		}
	}
	return list
}

// plainSpeed describes the targets of a plain service as the slowest of them.
func plainSpeed(list []*rudderview.Group) rudderbalance.Speed {
	var speed rudderbalance.Speed
	for _, g := range list {
		if speed.Slots == 0 || g.Slots < speed.Slots {
			speed.Slots = g.Slots
		}
	}
	return speed
}

func modelSpeed(table *rudderroute.Table, service, model string) (rudderbalance.Speed, bool) {
	if table == nil || table.Service(service) == nil || table.Service(service).Engine == nil {
		return rudderbalance.Speed{}, false
	}
	engine := table.Service(service).Engine
	m, known := engine.Model(model)
	if !known {
		return rudderbalance.Speed{}, false
	}
	pace := m.TimeFactor
	if pace <= 0 {
		pace = 1
	}
	step := engine.Step + time.Duration(engine.Slots)*engine.StepPerRequest
	return rudderbalance.Speed{
		PromptTokensPerSecond: engine.PromptTokensPerSecond / pace, Step: time.Duration(float64(step) * pace), Slots: engine.Slots,
		IdleStep: time.Duration(float64(engine.Step+engine.StepPerRequest) * pace),
	}, true
}

// finish removes completed requests from the ledgers of this entry host.
func (b *balance) finish(ids []string) {
	now := time.Since(b.started)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.ledgers {
		for _, id := range ids {
			l.Done(now, id)
		}
	}
}

// queueDone queues the completion of a request for the owner that recorded it.
func (b *balance) queueDone(peer, id string) {
	b.mu.Lock()
	b.done[peer] = append(b.done[peer], id)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run sends queued completions to the owners, in batches, until the context is cancelled.
func (b *balance) run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
		}
		pause(ctx, doneInterval)
		b.mu.Lock()
		pending := b.done
		b.done = map[string][]string{}
		b.mu.Unlock()
		for peer, ids := range pending {
			callContext, cancel := context.WithTimeout(ctx, pickTimeout)
			// A completion that is never delivered does no lasting harm: the request expires with its time limit.
			if _, err := rudderpeer.NewBalanceProtobufClient("http://"+peer, b.edge.peers.client).Done(callContext, &rudderpeer.DoneRequest{Done: ids}); err != nil {
				b.markUnreachable(peer, ids)
				b.edge.Logger.Debug().Err(err).Str("peer", peer).Msg("completed requests not reported to their owner")
			}
			cancel()
		}
	}
	return nil
}

// balanceServer serves the Balance calls of other entry hosts.
type balanceServer struct{ balance *balance }

// Pick implements rudderpeer.Balance.
func (s balanceServer) Pick(_ context.Context, r *rudderpeer.PickRequest) (*rudderpeer.PickResponse, error) {
	key, reports := ledgerKey{r.GetService(), r.GetModel(), int(r.GetPart())}, rudderlimit.Decode(r.GetLimits())
	if s.balance.refuses(key, reports) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the registration of this entry host may have expired")
	}
	s.balance.finish(r.GetDone())
	s.balance.edge.applyAnnounced("", r.GetLeaving())
	s.balance.edge.mergeLimits("", reports)
	s.balance.noteSilent(r.GetSilent())
	s.balance.noteSlow(key, r.GetSlow())
	pick := s.balance.pickLocal(key, rudderbalance.Request{
		ID: r.GetId(), PromptTokens: int(r.GetPromptTokens()), AnswerTokens: int(r.GetAnswerTokens()),
		Limit: time.Duration(r.GetLimitMs()) * time.Millisecond, Cost: time.Duration(r.GetCostUs()) * time.Microsecond, Avoid: r.GetAvoid(),
		Objective: time.Duration(r.GetObjectiveMs()) * time.Millisecond, Spill: r.GetSpill(), Urgency: int(r.GetUrgency()), Workspace: r.GetWorkspace(),
	})
	return &rudderpeer.PickResponse{
		Group: pick.Group, Full: pick.Full, Limited: pick.Limited, WorkMs: pick.Work.Milliseconds(), WaitMs: pick.Wait.Milliseconds(),
		Leaving: s.balance.edge.announced(), Limits: s.balance.edge.missingLimits(key, reports), Slow: pick.Slow,
		RefusedPermille: toPermille(pick.Refused),
	}, nil
}

// toPermille and fromPermille convert the part of a model's work that was refused.
func toPermille(share float64) int64 { return int64(math.Round(share * 1000)) }

func fromPermille(n int64) float64 { return min(max(float64(n)/1000, 0), 1) }

// Done implements rudderpeer.Balance.
func (s balanceServer) Done(_ context.Context, r *rudderpeer.DoneRequest) (*rudderpeer.DoneResponse, error) {
	s.balance.finish(r.GetDone())
	return &rudderpeer.DoneResponse{}, nil
}
