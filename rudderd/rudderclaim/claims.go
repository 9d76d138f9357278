package rudderclaim

import (
	"context"
	"net/http"
	"sync"
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
	// defaultPeerTimeout is after how long a collector without an answer is taken for dead. A live one
	// answers earlier, if only that the claim is still pending.
	defaultPeerTimeout = 250 * time.Millisecond
	// claimTimeout bounds a whole claim: a slow platform must not hold callers for long.
	claimTimeout = 2 * time.Second
	// storeTimeout bounds one call to the key-value service.
	storeTimeout = 2 * time.Second
	// operationTimeout bounds how long a shard holds an operation whose caller gave no deadline.
	operationTimeout = 3 * time.Second
	maxBackground    = 4096
)

// Claims makes, settles and releases claims for this entry host, and is the collector of the shards
// for which it is asked. The exported fields are set before Run.
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
	// Limits are DefaultLimits when zero.
	Limits Limits
	// PeerTimeout bounds a call to one collector; 0 takes the default.
	PeerTimeout time.Duration

	once       sync.Once
	collectors [ShardCount]*collector
	peersMu    sync.Mutex
	peers      map[string]rudderpeer.Claims
	background chan change
	suspects   Suspects
	memory     memory
	silence    silence
}

// change is a settlement or release that is retried until it is done.
type change struct {
	request Request
	settle  bool
	answer  *Answer
}

// Run collects claims and retries settlements and releases until the context ends.
func (c *Claims) Run(ctx context.Context) error {
	c.init()
	var wg sync.WaitGroup
	for _, col := range c.collectors {
		wg.Go(func() { col.run(ctx) })
	}
	const changeWorkers = 16 // a change waits up to SettleLinger, so one worker does about 4 a second
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
		// A claimed record in memory that is newer than this must not be missing from the head: it would
		// be taken for lost.
		c.Limits.ReleasedFor = max(c.Limits.ReleasedFor, c.Limits.Retention)
		if c.Limits.RecallAfter == 0 {
			c.Limits.RecallAfter, c.Limits.RecallRetry = recallAfter, recallRetry
		}
		if c.PeerTimeout == 0 {
			c.PeerTimeout = defaultPeerTimeout
		}
		c.peers = map[string]rudderpeer.Claims{}
		c.background = make(chan change, maxBackground)
		for i := range c.collectors {
			c.collectors[i] = &collector{
				core:  NewShard(i, c.Limits, newToken),
				store: c.Store, clock: c.Clock, logger: c.Logger.With().Int("shard", i).Logger(),
				added: make(chan submission, 64), recall: c.recall,
			}
		}
	})
}

// Claim records the use of a key. Only VerdictGranted allows the caller to dispatch, once, and obliges
// it to call Settle, Release or, when the outcome is unknown, neither. It returns ErrUnavailable when
// the claim could not be decided; then nothing may be dispatched and the key is released in the
// background.
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
		c.memory.granted(request, c.Limits, decision.seq, c.Clock.Now())
		if decision.collector == c.Self {
			c.tellWitness(ctx, request, decision.seq, false)
		}
	}
	return decision, nil
}

// claim asks the first and the next collector in rank, then collects itself, all with one token.
func (c *Claims) claim(ctx context.Context, request Request) (Decision, bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	unknown := false
	for _, m := range c.candidates(request) {
		d, err := c.claimUntilDecided(ctx, m, request)
		c.noteAnswer(ctx, m.Name, err)
		c.memory.saw(request.Shard(), d.seq)
		if err == nil && d.Verdict != VerdictUnavailable && d.Verdict != VerdictPending {
			d.collector = m.Name
			return d, unknown
		}
		unknown = unknown || err != nil || d.Unknown
		if ctx.Err() != nil {
			break
		}
		c.Logger.Warn().Err(err).Str("collector", m.Name).Msg("claim call failed")
	}
	return Decision{Verdict: VerdictUnavailable, Unknown: unknown}, unknown
}

// claimUntilDecided asks one collector again while it answers that the claim is pending, so that a slow
// platform does not look like a dead collector and bring in a second one.
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

// noteAnswer remembers whether a collector answered. A caller that gave up says nothing about it.
func (c *Claims) noteAnswer(ctx context.Context, name string, err error) {
	switch {
	case err == nil:
		c.suspects.Remove(name)
	case ctx.Err() == nil && name != c.Self:
		c.suspects.Add(name, c.Clock.Now())
	}
}

// candidates returns the members to ask in order: the first two in rank that are not suspected, then
// this entry host, which collects itself.
func (c *Claims) candidates(request Request) []ruddermember.Member {
	const asked = 2
	ranked := ruddermember.Rank(headKey(request.Shard()), c.Members())
	var candidates []ruddermember.Member
	for _, m := range ranked {
		if m.Name == c.Self {
			return append(candidates, m)
		}
		if len(candidates) < asked && !c.suspects.Has(m.Name, c.Clock.Now()) {
			candidates = append(candidates, m)
		}
	}
	return append(candidates, ruddermember.Member{Name: c.Self})
}

// Settle stores the answer of a granted claim's call in the background. A nil answer, or one above
// MaxAnswerBytes, settles the claim without a stored answer.
func (c *Claims) Settle(request Request, answer *Answer) {
	if answer != nil && (len(answer.Body) > MaxAnswerBytes || answerBytes(answer)-len(answer.Body)*4/3 > maxAnswerHeaderBytes) {
		answer = nil
	}
	c.enqueue(change{request: request, settle: true, answer: answer})
}

// maxAnswerHeaderBytes bounds the headers of a stored answer.
const maxAnswerHeaderBytes = 4 << 10

// Release withdraws a claim whose call was not dispatched, in the background.
func (c *Claims) Release(request Request) {
	c.init()
	c.memory.released(request)
	c.enqueue(change{request: request})
}

func (c *Claims) enqueue(ch change) {
	c.init()
	select {
	case c.background <- ch:
	default:
		// The claim stays recorded: a second send is answered may_have_run.
		c.Logger.Error().Bool("settle", ch.settle).Msg("too many claim changes are waiting, one is dropped")
	}
}

// retryChanges sends settlements and releases until each is done.
func (c *Claims) retryChanges(ctx context.Context) {
	const firstPause, lastPause = 200 * time.Millisecond, 5 * time.Second
	for {
		var ch change
		select {
		case <-ctx.Done():
			return
		case ch = <-c.background:
		}
		for pause := firstPause; !c.change(ctx, ch); pause = min(2*pause, lastPause) {
			select {
			case <-ctx.Done():
				return
			case <-c.Clock.After(pause):
			}
		}
	}
}

// change sends one settlement or release to the collectors in rank.
func (c *Claims) change(ctx context.Context, ch change) bool {
	for _, m := range c.candidates(ch.request) {
		attempt, cancel := context.WithTimeout(ctx, operationTimeout)
		err := c.changeAt(attempt, m, ch)
		cancel()
		if err == nil {
			if !ch.settle {
				c.tellWitness(ctx, ch.request, 0, true)
			}
			return true
		}
	}
	return false
}
