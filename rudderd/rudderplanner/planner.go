// Package rudderplanner runs the group planner of package rudderallocator on an entry host. For each fabric
// domain whose lease the entry host holds, it polls the targets, stores the plan and sends the orders. Package
// ruddercoordinator does this for services whose targets form groups by join and open.
package rudderplanner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderallocator"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// Times holds the time constants of a planner.
type Times struct {
	// PollInterval is the time between two polls of a target, and between two steps.
	PollInterval time.Duration
	// PollTimeout bounds one call to a target. It must be shorter than PollInterval.
	PollTimeout time.Duration
	// StoreTimeout bounds the calls to the key-value service before and after a poll. It keeps polls frequent
	// enough for the maximum age of confirmations while the service hangs.
	StoreTimeout time.Duration
	LeaseTTL     time.Duration
	// OrderTTL is the longest time between the check of the lease and the effect of an order.
	OrderTTL time.Duration
	// CandidateDelay times its rank is how long a candidate waits before it acquires a free lease.
	CandidateDelay time.Duration
	// PreloadRepeat is the time after which a preload order is sent again if the weights are still missing.
	PreloadRepeat time.Duration
}

// DefaultTimes returns the constants for a poll interval of 1 s.
func DefaultTimes() Times {
	return Times{PollInterval: time.Second, PollTimeout: 700 * time.Millisecond, StoreTimeout: 500 * time.Millisecond, LeaseTTL: 6 * time.Second,
		OrderTTL: 2 * time.Second, CandidateDelay: 2 * time.Second, PreloadRepeat: 30 * time.Second}
}

// parallelCalls limits the concurrent calls to the targets of one domain.
const parallelCalls = 64

// Planner plans the domains for which an entry host is a candidate. Set the exported fields before Run; those
// marked optional may be nil.
type Planner struct {
	Store   *rudderstore.Store
	Control *ruddertarget.Control
	// Hosts reads the platform's host list. While it fails, the last list stays in use.
	Hosts func(ctx context.Context) ([]rudderhost.Host, error)
	// Config returns the configuration in force, or nil if none is known.
	Config func() *rudderconfig.Document
	Clock  clockwork.Clock
	// Name of this entry host.
	Name string
	// CandidateRank returns this entry host's rank among the candidates for a domain, starting at 0, or a
	// negative number if it is no candidate.
	CandidateRank func(domain string) int
	// Successor returns the entry host that takes over a domain in a planned stop of this one, or "" if there
	// is none (optional).
	Successor func(domain string) string
	// Leaving reports whether this entry host is in a planned stop (optional). If so, it hands its domains
	// over.
	Leaving func() bool
	// OnStatus receives every status. The age counts from the start of the call.
	OnStatus func(domain, host, address string, status ruddertarget.Status, age time.Duration)
	// OnPlan receives each plan that the planner stores or newly reads.
	OnPlan func(ruddergroup.Plan)
	// KnownPlan returns the newest plan known to this entry host (optional). It lets a new lease holder
	// notice that the platform was restored to an older state.
	KnownPlan func(domain string) (ruddergroup.Plan, bool)
	// Down returns the hosts of other domains that do not answer their planners (optional).
	Down func() map[string]bool
	// InFlight returns the number of requests by group that shard owners know (optional).
	InFlight func(domain string) map[string]int
	// Stale reports whether a domain's confirmations are about to expire (optional). If so, candidates poll in
	// addition to the holder.
	Stale func(domain string) bool
	// Serving returns the number of serving groups by selector in the whole fleet (optional). With it, a group
	// that moves to another domain keeps serving until its successor serves.
	Serving func() map[string]int
	Logger  zerolog.Logger
	Times   Times
	Timing  rudderallocator.Timing

	mu    sync.Mutex
	hosts []rudderhost.Host
	// held counts the domains whose lease this entry host holds.
	held atomic.Int64
}

// Run plans until the context ends, then revokes the leases.
func (p *Planner) Run(ctx context.Context) error {
	ticker := p.Clock.NewTicker(p.Times.PollInterval)
	defer ticker.Stop()
	var workers sync.WaitGroup
	defer workers.Wait()
	started := map[string]bool{}
	for polls := 0; ; polls++ {
		if polls >= p.listPolls() && p.refreshHosts(ctx) || p.hostList() == nil && p.refreshHosts(ctx) {
			polls = 0
		}
		for _, domain := range p.domains() {
			if !started[domain] {
				started[domain] = true
				workers.Go(func() { p.runDomain(ctx, domain) })
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
}

func (p *Planner) runDomain(ctx context.Context, domain string) {
	w := newWorker(p, domain)
	ticker := p.Clock.NewTicker(p.Times.PollInterval)
	defer ticker.Stop()
	for {
		w.tick(ctx)
		select {
		case <-ctx.Done():
			w.resign()
			return
		case <-ticker.Chan():
		}
	}
}

const (
	// hostsPerPoll bounds the traffic for the host list: a list of n hosts is read every n/hostsPerPoll polls.
	// An entry has about 180 bytes, so reading a list of 730 hosts at each poll would cost 130 KB/s on each
	// entry host.
	hostsPerPoll = 80
	// idleListFactor is how many times less often an entry host reads the list while it holds no lease. It
	// needs the list to learn of new domains and to take over from another planner.
	idleListFactor = 6
)

// listPolls returns the number of polls between two reads of the host list.
func (p *Planner) listPolls() int {
	polls := (len(p.hostList()) + hostsPerPoll - 1) / hostsPerPoll
	if p.held.Load() == 0 {
		polls *= idleListFactor
	}
	return polls
}

func (p *Planner) refreshHosts(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, p.Times.StoreTimeout)
	defer cancel()
	hosts, err := p.Hosts(call)
	if err != nil {
		p.Logger.Warn().Err(err).Msg("host list not available; using the last one")
		return false
	}
	p.mu.Lock()
	p.hosts = hosts
	p.mu.Unlock()
	return true
}

func (p *Planner) hostList() []rudderhost.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts
}

func (p *Planner) domains() []string {
	var out []string
	seen := map[string]bool{}
	for _, h := range p.hostList() {
		if !seen[h.FabricDomain] {
			seen[h.FabricDomain] = true
			out = append(out, h.FabricDomain)
		}
	}
	return out
}
