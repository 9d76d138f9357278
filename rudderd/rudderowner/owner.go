// Package rudderowner connects entry hosts with the owners of shards of groups: the owner's twirp
// service, and the client that acquires, renews and releases slots.
package rudderowner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"comfreyrudder.example/rudderd/rudderadmission"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// tickInterval is how often queues are checked for deadlines and leases.
	tickInterval = 50 * time.Millisecond
	// viewInterval bounds how often shards are computed from the groups.
	viewInterval = 200 * time.Millisecond
	// changedInterval bounds it after Changed.
	changedInterval = 10 * time.Millisecond
	// callTimeout is when an owner that gives no answer counts as unreachable.
	callTimeout = 250 * time.Millisecond
	// pollWait is how long the first call waits for a queued request. It doubles up to maxPollWait: at
	// one call a second, the polls of long work were most of the messages of a full shard.
	pollWait    = time.Second
	maxPollWait = 8 * time.Second
	// renewInterval gives a holder three renewals within a lease.
	renewInterval = rudderadmission.LeaseTTL / 3
)

// Owner is both sides of admission on one entry host. Set the exported fields, then call Run.
type Owner struct {
	Self ruddermember.Member
	// Members returns the live members, Self included.
	Members func() []ruddermember.Member
	// Groups returns the groups that may serve now and those that are draining.
	Groups func() []rudderrouter.Group
	Clock  clockwork.Clock
	// HTTPClient calls peers; it authenticates its requests.
	HTTPClient *http.Client
	Logger     zerolog.Logger
	// DigestedLoad returns the load of a shard as its owner's digest has it; nil for none. Loads in
	// answers to own calls are used while they are fresh.
	DigestedLoad func(shard, owner string) (float64, bool)
	// Confirm asks the members of a group for their own reports, and reports whether Groups now has the
	// group as confirmed. nil leaves groups that are not confirmed unused.
	Confirm func(ctx context.Context, group string) bool
	// HasSelector reports whether the configuration has a selector that serves the work now, so that a group
	// may be about to be known. Other work without a group is refused at once; nil stands for all work.
	HasSelector func(rudderrouter.Requirements) bool
	// Policies overrides the presets; nil takes rudderadmission.PolicyFor.
	Policies func(rudderconfig.Preset) rudderadmission.Policy
	// Seed of the random choices.
	Seed uint64

	once    sync.Once
	changed atomic.Bool // the view is out of date
	mu      sync.Mutex  // guards all that follows
	chooser *rudderrouter.Chooser
	hints   *rudderrouter.Hints
	view    view
	owned   map[string]*ownedShard
	slots   map[string]*Slot
	loads   map[string]loadAt
	suspect map[string]time.Time // until when an owner counts as unreachable
	renewed map[string]renewal
	clients map[string]rudderpeer.Admission
	polls   map[*poll]bool
	// unconfirmed holds until when a group whose members did not confirm it is left alone.
	unconfirmed map[string]time.Time
	over        map[string]*overAdmitted // by group
	confirming  singleflight.Group
	budget      retryBudget
	calls       sync.WaitGroup
	ended       bool // Run has ended
}

type loadAt struct {
	load float64
	at   time.Time
}

func (o *Owner) init() {
	o.once.Do(func() {
		o.hints = rudderrouter.NewHints(0)
		o.chooser = &rudderrouter.Chooser{Rand: rand.New(rand.NewPCG(o.Seed, 1)), Hints: o.hints}
		o.owned = map[string]*ownedShard{}
		o.slots = map[string]*Slot{}
		o.loads = map[string]loadAt{}
		o.suspect = map[string]time.Time{}
		o.renewed = map[string]renewal{}
		o.polls = map[*poll]bool{}
		o.unconfirmed = map[string]time.Time{}
		o.over = map[string]*overAdmitted{}
		o.clients = map[string]rudderpeer.Admission{}
	})
}

// Run ends waits, renews held slots and follows the groups until the context ends.
func (o *Owner) Run(ctx context.Context) error {
	o.init()
	ticker := o.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	defer o.endCalls()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			o.tick()
		}
	}
}

// endCalls waits for the calls in the background. Later ones are not made: a slot that is released
// after the end of Run ends with its lease.
func (o *Owner) endCalls() {
	o.mu.Lock()
	o.ended = true
	o.mu.Unlock()
	o.calls.Wait()
}

func (o *Owner) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.refresh(now)
	for _, owned := range o.owned {
		owned.deliver(now, owned.shard.Tick(now))
	}
	o.renew(now)
	o.watchOverAdmission(now)
}

// Handler serves the Admission service of peers under its PathPrefix.
func (o *Owner) Handler() rudderpeer.TwirpServer {
	o.init()
	return rudderpeer.NewAdmissionServer((*server)(o))
}

// ObserveCache takes cache events of a group's leader.
func (o *Owner) ObserveCache(group string, events []ruddertarget.CacheEvent) {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hints.Advance(o.Clock.Now())
	o.hints.Observe(group, events)
}

// OverAdmitted lists groups of owned shards whose engines report more work than was granted here.
// It is empty within seconds of a change of owner unless a second owner grants slots as well.
func (o *Owner) OverAdmitted() []string {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	var groups []string
	for _, owned := range o.owned {
		groups = append(groups, owned.shard.OverAdmitted()...)
	}
	slices.Sort(groups)
	return groups
}

// OwnedLoads returns the load of each shard that this entry host owns, for its digest.
func (o *Owner) OwnedLoads() map[string]float64 {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	loads := map[string]float64{}
	for id, owned := range o.owned {
		loads[id] = owned.shard.Load()
	}
	return loads
}
