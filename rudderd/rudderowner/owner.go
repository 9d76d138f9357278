// Package rudderowner connects entry hosts with the owners of shards of groups: the owner's twirp
// service, and the client that acquires, renews and releases slots.
package rudderowner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

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
	// callTimeout is when an owner that gives no answer counts as unreachable.
	callTimeout = 250 * time.Millisecond
	// pollWait is how long one call waits for a queued request.
	pollWait = time.Second
	// renewInterval gives a holder three renewals within a lease.
	renewInterval = rudderadmission.LeaseTTL / 3
)

// Owner is both sides of admission on one entry host. Set the exported fields, then call Run.
type Owner struct {
	Self ruddermember.Member
	// Members returns the live members, Self included.
	Members func() []ruddermember.Member
	// Groups returns the groups that may serve now and those that are draining.
	Groups func() []rudderrouter.Servable
	Clock  clockwork.Clock
	// HTTPClient calls peers; it authenticates its requests.
	HTTPClient *http.Client
	Logger     zerolog.Logger
	// DigestedLoad returns the load of a shard as its owner's digest has it; nil for none. Loads in
	// answers to own calls are used while they are fresh.
	DigestedLoad func(shard, owner string) (float64, bool)
	// Policies overrides the presets; nil takes rudderadmission.PolicyFor.
	Policies func(rudderconfig.Preset) rudderadmission.Policy
	// Seed of the random choices.
	Seed uint64

	once    sync.Once
	mu      sync.Mutex // guards all that follows
	chooser *rudderrouter.Chooser
	hints   *rudderrouter.Hints
	view    view
	owned   map[string]*ownedShard
	slots   map[string]*Slot
	loads   map[string]loadAt
	suspect map[string]time.Time // until when an owner counts as unreachable
	renewed map[string]renewal
	clients map[string]rudderpeer.Admission
	budget  retryBudget
	calls   sync.WaitGroup
	ended   bool // Run waits for the last calls; no further ones may start
	// sent counts calls to other owners, for measurements.
	sent int64
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
		o.clients = map[string]rudderpeer.Admission{}
	})
}

// Run ends waits, renews held slots and follows the groups until the context ends.
func (o *Owner) Run(ctx context.Context) error {
	o.init()
	ticker := o.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	defer o.finish()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			o.tick()
		}
	}
}

// finish waits for calls in the background. A request that ends later releases its slot without one;
// the shard's owner frees it when this host's liveness expires.
func (o *Owner) finish() {
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
