package rudderclaim

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

// ErrUnavailable reports that a claim could not be decided. The call must not be dispatched.
var ErrUnavailable = errors.New("claim: unavailable")

const (
	// defaultPeerTimeout bounds a call to one collector, after which it is suspected. A live collector
	// answers earlier, if only that the claim is still pending.
	defaultPeerTimeout = 250 * time.Millisecond
	// claimTimeout bounds a whole claim, so that a slow platform does not block callers for long.
	claimTimeout = 2 * time.Second
	// storeTimeout bounds one call to the key-value service.
	storeTimeout = 2 * time.Second
	// operationTimeout bounds how long a shard queues an operation without a deadline.
	operationTimeout  = 3 * time.Second
	maxPendingChanges = 4096
)

// Claims makes, settles and releases claims for this entry host. It is also the collector of each shard for
// which another entry host calls it. The exported fields are set before Run.
type Claims struct {
	Store rudderstore.Store
	// Members returns the live entry hosts, this one included.
	Members func() []ruddermember.Member
	// Self is this entry host's name.
	Self string
	// HTTPClient calls other entry hosts; it authenticates this one.
	HTTPClient *http.Client
	Clock      clockwork.Clock
	Logger     zerolog.Logger
	// Limits defaults to DefaultLimits.
	Limits Limits
	// PeerTimeout bounds a call to one collector; 0 means defaultPeerTimeout.
	PeerTimeout time.Duration

	once           sync.Once
	collectors     [ShardCount]*collector
	peersMu        sync.Mutex
	peers          map[string]rudderpeer.Claims
	pendingChanges chan change
	pendingCount   atomic.Int64 // changes that are queued or being applied
	suspects       Suspects
	grants         grantLog
	unresponsive   unresponsiveHosts
}

// change is a settlement or release that is retried until it is applied.
type change struct {
	request Request
	settle  bool
	answer  *Answer
}

// Run runs the collectors of all shards and retries settlements and releases until the context ends.
func (c *Claims) Run(ctx context.Context) error {
	c.init()
	var wg sync.WaitGroup
	for _, col := range c.collectors {
		wg.Go(func() { col.run(ctx) })
	}
	const changeWorkers = 16 // a change waits up to SettleLinger, so one worker applies about 4 a second
	for range changeWorkers {
		wg.Go(func() { c.retryChanges(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

func (c *Claims) init() {
	c.once.Do(func() {
		if c.Limits == (Limits{}) {
			c.Limits = DefaultLimits()
		}
		// A released record must outlast a claimed record of the same key in a collector's memory. Otherwise
		// it is missing from the head when that collector reads it, and the claim would be taken for lost.
		c.Limits.ReleasedTokenRetention = max(c.Limits.ReleasedTokenRetention, c.Limits.Retention)
		if c.Limits.RecallAfter == 0 {
			c.Limits.RecallAfter, c.Limits.RecallRetry = recallAfter, recallRetry
		}
		if c.PeerTimeout == 0 {
			c.PeerTimeout = defaultPeerTimeout
		}
		c.peers = map[string]rudderpeer.Claims{}
		c.pendingChanges = make(chan change, maxPendingChanges)
		for i := range c.collectors {
			c.collectors[i] = &collector{
				core:  NewShard(i, c.Limits, newToken),
				store: c.Store, clock: c.Clock, logger: c.Logger.With().Int("shard", i).Logger(),
				submissions: make(chan submission, 64), recall: c.recall,
			}
		}
	})
}

// Claim records the use of a key. VerdictGranted allows the caller to dispatch the call once; the caller must
// then call Settle, or Release if it was not dispatched, or neither if the outcome is unknown. With any other
// verdict the call must not be dispatched. Claim returns ErrUnavailable when the claim could not be decided,
// and releases the key in the background.
func (c *Claims) Claim(ctx context.Context, request Request) (Decision, error) {
	c.init()
	decision, unknown := c.claim(ctx, request)
	if decision.Verdict == VerdictUnavailable {
		if unknown {
			c.Release(request)
		}
		return decision, ErrUnavailable
	}
	if decision.Verdict == VerdictGranted {
		c.grants.add(request, c.Limits, decision.seq, c.Clock.Now())
		if decision.collector == c.Self {
			c.notifyWitness(ctx, request, decision.seq, false)
		}
	}
	return decision, nil
}

// claim calls the candidates in order until one decides, all with one token. It also reports whether the claim
// may have been written.
func (c *Claims) claim(ctx context.Context, request Request) (Decision, bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	unknown := false
	for _, m := range c.candidates(request) {
		d, err := c.claimUntilDecided(ctx, m, request)
		c.recordResponse(ctx, m.Name, err)
		c.grants.observeSeq(request.Shard(), d.seq)
		if err == nil && d.Verdict != VerdictUnavailable && d.Verdict != VerdictPending {
			d.collector = m.Name
			return d, unknown
		}
		unknown = unknown || err != nil || d.Unknown
		if ctx.Err() != nil {
			break
		}
		c.Logger.Warn().Err(err).Str("collector", m.Name).Msg("collector did not decide the claim")
	}
	return Decision{Verdict: VerdictUnavailable, Unknown: unknown}, unknown
}

// claimUntilDecided repeats the call to one collector while the claim is pending there. A slow platform is
// thus not mistaken for a dead collector, which would make a second entry host collect the shard.
func (c *Claims) claimUntilDecided(ctx context.Context, m ruddermember.Member, request Request) (Decision, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, c.PeerTimeout)
		d, err := c.claimAt(attempt, m, request)
		cancel()
		pending := err == nil && d.Verdict == VerdictPending
		if !pending || ctx.Err() != nil {
			return d, err
		}
	}
}

// recordResponse updates the suspicion of an entry host after a call. An error after ctx has ended is no evidence
// about the host.
func (c *Claims) recordResponse(ctx context.Context, name string, err error) {
	switch {
	case err == nil:
		c.suspects.Remove(name)
	case ctx.Err() == nil && name != c.Self:
		c.suspects.Add(name, c.Clock.Now())
	}
}

// candidates returns the entry hosts to call, in order: the first two in rank that are not suspected, then this
// one. The list ends at this entry host if it comes earlier in rank.
func (c *Claims) candidates(request Request) []ruddermember.Member {
	const preferred = 2
	ranked := ruddermember.Rank(headKey(request.Shard()), c.Members())
	var candidates []ruddermember.Member
	for _, m := range ranked {
		if m.Name == c.Self {
			return append(candidates, m)
		}
		if len(candidates) < preferred && !c.suspects.Has(m.Name, c.Clock.Now()) {
			candidates = append(candidates, m)
		}
	}
	return append(candidates, ruddermember.Member{Name: c.Self})
}

// Settle stores the answer of a granted claim's call in the background. When the answer is nil, its body larger
// than MaxAnswerBytes or its headers larger than maxAnswerHeaderBytes, the claim is settled without it.
func (c *Claims) Settle(request Request, answer *Answer) {
	if answer != nil && (len(answer.Body) > MaxAnswerBytes || answerBytes(answer)-len(answer.Body)*4/3 > maxAnswerHeaderBytes) {
		answer = nil
	}
	c.enqueue(change{request: request, settle: true, answer: answer})
}

// maxAnswerHeaderBytes bounds the headers of a stored answer.
const maxAnswerHeaderBytes = 4 << 10

// Release releases a claim whose call was not dispatched, in the background.
func (c *Claims) Release(request Request) {
	c.init()
	c.grants.remove(request)
	c.enqueue(change{request: request})
}

func (c *Claims) enqueue(ch change) {
	c.init()
	c.pendingCount.Add(1)
	select {
	case c.pendingChanges <- ch:
	default:
		c.pendingCount.Add(-1)
		// The claim stays recorded, so another call with the key is answered may_have_run.
		c.Logger.Error().Bool("settle", ch.settle).Msg("queue of settlements and releases is full, dropping one")
	}
}

// retryChanges sends queued settlements and releases, each until it is applied.
func (c *Claims) retryChanges(ctx context.Context) {
	const firstPause, lastPause = 200 * time.Millisecond, 5 * time.Second
	for {
		var ch change
		select {
		case <-ctx.Done():
			return
		case ch = <-c.pendingChanges:
		}
		for pause := firstPause; !c.change(ctx, ch); pause = min(2*pause, lastPause) {
			select {
			case <-ctx.Done():
				return
			case <-c.Clock.After(pause):
			}
		}
		c.pendingCount.Add(-1)
	}
}

// Pending returns the number of settlements and releases that have not been applied.
func (c *Claims) Pending() int { return int(c.pendingCount.Load()) }

// change sends a settlement or release to the candidates in order, and reports whether one applied it.
func (c *Claims) change(ctx context.Context, ch change) bool {
	for _, m := range c.candidates(ch.request) {
		attempt, cancel := context.WithTimeout(ctx, operationTimeout)
		err := c.changeAt(attempt, m, ch)
		cancel()
		if err == nil {
			if !ch.settle {
				c.notifyWitness(ctx, ch.request, 0, true)
			}
			return true
		}
	}
	return false
}
