// Package rudderowner connects entry hosts with the owners of shards of groups. It has the owner's Twirp
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
	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// tickInterval is how often queues are checked for deadlines and leases.
	tickInterval = 50 * time.Millisecond
	// viewInterval limits how often the shards are recomputed from the groups.
	viewInterval = 200 * time.Millisecond
	// staleViewInterval takes the place of viewInterval after InvalidateView.
	staleViewInterval = 10 * time.Millisecond
	// callTimeout is the time after which an owner that does not answer counts as unreachable.
	callTimeout = 250 * time.Millisecond
	// pollWait is how long the first poll of a queued request waits at the owner. It doubles up to
	// maxPollWait: at one poll a second, those of long work were most of the messages of a full shard.
	pollWait    = time.Second
	maxPollWait = 8 * time.Second
	// renewInterval lets a holder renew three times within a lease.
	renewInterval = rudderadmission.LeaseTTL / 3
)

// Owner is the admission server and client of one entry host. Set the exported fields, then call Run.
type Owner struct {
	Self ruddermember.Member
	// Members returns the live members, Self included.
	Members func() []ruddermember.Member
	// Holders returns the members that may hold slots: the live ones and those that are leaving. Nil means Members.
	Holders func() []ruddermember.Member
	// Groups returns the groups that may serve now and those that are draining.
	Groups func() []rudderrouter.Group
	Clock  clockwork.Clock
	// HTTPClient calls peers; it authenticates its requests.
	HTTPClient *http.Client
	Logger     zerolog.Logger
	// DigestedLoad returns the load of a shard from its owner's digest; nil for none. A load from a recent
	// response of the owner is preferred.
	DigestedLoad func(shard, owner string) (float64, bool)
	// Confirm requests reports from the members of a group, and returns whether Groups now has the group as
	// confirmed. When nil, unconfirmed groups are not used.
	Confirm func(ctx context.Context, group string) bool
	// HasSelector reports whether the configuration has a selector that serves the work now, so that a group
	// for it may soon be known. Work without a group and without a selector is refused at once; when
	// HasSelector is nil, all work without a group is.
	HasSelector func(rudderrouter.Requirements) bool
	// Policies overrides the policies of presets; nil means rudderadmission.PolicyFor.
	Policies func(rudderconfig.Preset) rudderadmission.Policy
	// Seed seeds the random choice of shards.
	Seed uint64

	once      sync.Once
	viewStale atomic.Bool // the view must be recomputed
	mu        sync.Mutex  // guards the fields below
	chooser   *rudderrouter.Chooser
	hints     *rudderrouter.Hints
	view      view
	owned     map[string]*ownedShard
	slots     map[string]*Slot
	loads     map[string]timedLoad
	suspect   map[string]time.Time // by owner, until when it counts as unreachable
	renewed   map[string]renewal
	clients   map[string]rudderpeer.Admission
	polls     map[*poll]bool
	// unconfirmed holds, by group, the time until which a failed confirmation is not repeated.
	unconfirmed map[string]time.Time
	over        map[string]*overAdmitted // by group
	confirming  singleflight.Group
	budget      retryBudget
	limits      rudderlimit.Table // has a lock of its own
	epoch       time.Time         // zero point of the times in limits
	calls       sync.WaitGroup
	ended       bool // Run has ended
}

type timedLoad struct {
	load float64
	at   time.Time
}

func (o *Owner) init() {
	o.once.Do(func() {
		o.epoch = o.Clock.Now().Add(-time.Second) // times of 0 stand for none
		o.hints = rudderrouter.NewHints(0)
		o.chooser = &rudderrouter.Chooser{Rand: rand.New(rand.NewPCG(o.Seed, 1)), Hints: o.hints}
		o.owned = map[string]*ownedShard{}
		o.slots = map[string]*Slot{}
		if o.Holders == nil {
			o.Holders = o.Members
		}
		o.loads = map[string]timedLoad{}
		o.suspect = map[string]time.Time{}
		o.renewed = map[string]renewal{}
		o.polls = map[*poll]bool{}
		o.unconfirmed = map[string]time.Time{}
		o.over = map[string]*overAdmitted{}
		o.clients = map[string]rudderpeer.Admission{}
	})
}

// Run expires queued work, renews held slots and applies changes of groups and members until the context ends.
func (o *Owner) Run(ctx context.Context) error {
	o.init()
	ticker := o.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	defer o.waitForCalls()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			o.tick()
		}
	}
}

// waitForCalls waits for the background calls and prevents later ones: a slot that is released after the end of
// Run is freed when its lease expires.
func (o *Owner) waitForCalls() {
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
	o.logOverAdmission(now)
}

// Handler returns the Twirp handler of the Admission service, which other entry hosts call.
func (o *Owner) Handler() rudderpeer.TwirpServer {
	o.init()
	return rudderpeer.NewAdmissionServer((*server)(o))
}

// ObserveCache updates the prefix hints with cache events of a group's leader.
func (o *Owner) ObserveCache(group string, events []ruddertarget.CacheEvent) {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hints.SetTime(o.Clock.Now())
	o.hints.ApplyCacheEvents(group, events)
}

// OverAdmitted lists the groups of owned shards whose engines report more work than was granted here. After a
// change of owner it becomes empty within seconds, unless a second owner grants slots as well.
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
