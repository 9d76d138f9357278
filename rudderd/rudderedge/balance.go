package rudderedge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"comfreyrudder.example/rudderd/rudderbalance"
	"comfreyrudder.example/rudderd/rudderforward"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// pickTimeout bounds a question to a model's owner. Without an answer the group is chosen here.
	pickTimeout = 60 * time.Millisecond
	// ownerAvoid is how long an owner that did not answer is not asked.
	ownerAvoid = 500 * time.Millisecond
	// maxPendingDone bounds the ends that are kept for an owner. Others expire there with the time limits of the requests.
	maxPendingDone = 4096
	// doneInterval gathers the ends of requests that are told to an owner.
	doneInterval = 40 * time.Millisecond
)

// balance asks the owners of models for groups, and answers for the models that this entry host owns.
type balance struct {
	edge   *Edge
	next   atomic.Int64
	owners owners

	mu      sync.Mutex
	ledgers map[string]*rudderbalance.Ledger // by service, model and part
	done    map[string][]string              // by peer address
	avoid   map[string]time.Time             // owners that did not answer, by peer address
	wake    chan struct{}
}

func newBalance(e *Edge) *balance {
	return &balance{
		edge: e, ledgers: map[string]*rudderbalance.Ledger{}, done: map[string][]string{}, avoid: map[string]time.Time{},
		wake: make(chan struct{}, 1),
	}
}

// spillShare is the part of the objective that a request waits at most for a group of the nearest part while others may
// have room.
const spillShare = 0.4

// pick implements rudderforward.Forwarder.Pick. It asks the owner of the part of the model's ledger that holds the
// groups nearby, and others where that has little room or does not answer.
func (b *balance) pick(ctx context.Context, q rudderforward.PickQuery) rudderforward.Pick {
	snapshot := b.edge.view.Snapshot()
	weights, near, groups := groupsByPart(snapshot, q, b.edge.Settings.DataCentre)
	var best, spilled rudderforward.Pick
	for _, query := range rudderbalance.PartitionQueries(weights, near, rand.Float64) {
		pick := b.pickFrom(ctx, snapshot, q, query)
		pick.Work = pick.Work * time.Duration(groups) / time.Duration(weights[query.Partition])
		if pick.Group != "" {
			return pick
		}
		if !pick.Answered && pick.Release != nil {
			pick.Release() // the owner may have entered the request although its answer did not come
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

// groupsByPart counts the groups that may take a request, those of a data centre, by part, and all of them.
func groupsByPart(s *rudderview.Snapshot, q rudderforward.PickQuery, dataCentre string) (weights, near []int, groups int) {
	weights = make([]int, s.Parts(q.Service))
	near = make([]int, len(weights))
	for _, g := range s.Groups(q.Service, q.Model) {
		if slices.Contains(q.Avoid, g.ID) {
			continue
		}
		groups++
		weights[g.Part]++
		if g.Leader.DataCentre == dataCentre {
			near[g.Part]++
		}
	}
	return weights, near, groups
}

// pickFrom asks the owner of one part of a model's ledger.
func (b *balance) pickFrom(ctx context.Context, snapshot *rudderview.Snapshot, q rudderforward.PickQuery, query rudderbalance.PartitionQuery) rudderforward.Pick {
	own, found := b.owners.of(snapshot, ledgerKey{q.Service, q.Model, query.Partition})
	if !found {
		return rudderforward.Pick{}
	}
	id := fmt.Sprintf("%s.%d", b.edge.Settings.Name, b.next.Add(1))
	request := rudderbalance.Request{ID: id, PromptTokens: q.PromptTokens, AnswerTokens: q.AnswerTokens, Limit: q.Limit, Cost: q.Cost, Avoid: q.Avoid, Objective: q.Objective, Spill: query.Spill}
	if query.Spill {
		request.Objective = time.Duration(spillShare * float64(q.Objective))
	}
	if own.Name == b.edge.Settings.Name {
		pick := b.serve(q.Service, q.Model, query.Partition, request)
		pick.Release = func() { b.ended([]string{id}) }
		return pick
	}
	done, avoided := b.takeDone(own.Peer)
	if avoided {
		return rudderforward.Pick{}
	}
	ctx, cancel := context.WithTimeout(ctx, pickTimeout)
	defer cancel()
	answer, err := rudderpeer.NewBalanceProtobufClient("http://"+own.Peer, b.edge.peers.client).Pick(ctx, &rudderpeer.PickRequest{
		Service: q.Service, Model: q.Model, Part: int64(query.Partition), Spill: query.Spill, Id: id, PromptTokens: int64(q.PromptTokens), AnswerTokens: int64(q.AnswerTokens),
		LimitMs: q.Limit.Milliseconds(), CostUs: q.Cost.Microseconds(), Avoid: q.Avoid, Done: done, ObjectiveMs: request.Objective.Milliseconds(),
		Leaving: b.edge.announced(),
	})
	release := func() { b.tell(own.Peer, id) }
	if err != nil {
		b.unanswered(own.Peer, done)
		b.edge.count("balance.owner_unreachable")
		b.edge.Logger.Warn().Err(err).Str("owner", own.Name).Str("model", q.Model).Int("part", query.Partition).Msg("owner of the model not reached")
		return rudderforward.Pick{Release: release}
	}
	b.edge.takeAnnounced(own.Name, answer.GetLeaving())
	return rudderforward.Pick{Group: answer.GetGroup(), Full: answer.GetFull(), Answered: true, Work: time.Duration(answer.GetWorkMs()) * time.Millisecond,
		Wait: time.Duration(answer.GetWaitMs()) * time.Millisecond, Release: release}
}

// takeDone returns the ends of requests that an owner has not been told of, unless the owner is not asked now.
func (b *balance) takeDone(peer string) (done []string, avoided bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.avoid[peer]) {
		return nil, true
	}
	done = b.done[peer]
	delete(b.done, peer)
	return done, false
}

// unanswered notes an owner that did not answer, and keeps the ends that it may not have heard of.
func (b *balance) unanswered(peer string, done []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.avoid[peer] = time.Now().Add(ownerAvoid)
	if len(b.done[peer])+len(done) <= maxPendingDone {
		b.done[peer] = append(b.done[peer], done...)
	}
}

// serve picks from one part of a ledger that this entry host keeps.
func (b *balance) serve(service, model string, part int, r rudderbalance.Request) rudderforward.Pick {
	snapshot := b.edge.view.Snapshot()
	speed, known := modelSpeed(snapshot.Table, service, model)
	if !known {
		return rudderforward.Pick{}
	}
	list := snapshot.Groups(service, model)
	groups := make([]rudderbalance.Group, 0, len(list))
	for _, g := range list {
		if g.Part == part {
			groups = append(groups, rudderbalance.Group{ID: g.ID, Draining: g.Draining})
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key := service + "\x00" + model + "\x00" + strconv.Itoa(part)
	if b.ledgers[key] == nil {
		b.ledgers[key] = rudderbalance.NewLedger()
	}
	ledger, now := b.ledgers[key], time.Since(started)
	group, wait, full := ledger.Pick(now, speed, groups, r)
	return rudderforward.Pick{Answered: true, Group: group, Wait: wait, Full: full, Work: ledger.Work(now)}
}

// started is the origin of the ledgers' times.
var started = time.Now()

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
	}, true
}

// ended takes sends off this entry host's ledgers.
func (b *balance) ended(ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.ledgers {
		for _, id := range ids {
			l.Done(id)
		}
	}
}

// tell queues the end of a send for its owner.
func (b *balance) tell(peer, id string) {
	b.mu.Lock()
	b.done[peer] = append(b.done[peer], id)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run tells owners of ended sends and drops the accounts of groups that are gone.
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
			// An end that is not told expires with the send's time limit.
			if _, err := rudderpeer.NewBalanceProtobufClient("http://"+peer, b.edge.peers.client).Done(callContext, &rudderpeer.DoneRequest{Done: ids}); err != nil {
				b.unanswered(peer, ids)
				b.edge.Logger.Debug().Err(err).Str("peer", peer).Msg("ends of requests not told")
			}
			cancel()
		}
	}
	return nil
}

// balanceServer answers other entry hosts.
type balanceServer struct{ balance *balance }

// Pick implements rudderpeer.Balance.
func (s balanceServer) Pick(_ context.Context, r *rudderpeer.PickRequest) (*rudderpeer.PickResponse, error) {
	s.balance.ended(r.GetDone())
	s.balance.edge.takeAnnounced("", r.GetLeaving())
	pick := s.balance.serve(r.GetService(), r.GetModel(), int(r.GetPart()), rudderbalance.Request{
		ID: r.GetId(), PromptTokens: int(r.GetPromptTokens()), AnswerTokens: int(r.GetAnswerTokens()),
		Limit: time.Duration(r.GetLimitMs()) * time.Millisecond, Cost: time.Duration(r.GetCostUs()) * time.Microsecond, Avoid: r.GetAvoid(),
		Objective: time.Duration(r.GetObjectiveMs()) * time.Millisecond, Spill: r.GetSpill(),
	})
	return &rudderpeer.PickResponse{Group: pick.Group, Full: pick.Full, WorkMs: pick.Work.Milliseconds(), WaitMs: pick.Wait.Milliseconds(),
		Leaving: s.balance.edge.announced()}, nil
}

// Done implements rudderpeer.Balance.
func (s balanceServer) Done(_ context.Context, r *rudderpeer.DoneRequest) (*rudderpeer.DoneResponse, error) {
	s.balance.ended(r.GetDone())
	return &rudderpeer.DoneResponse{}, nil
}
