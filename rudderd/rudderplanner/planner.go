// Package rudderplanner runs the group planner of an entry host: for each fabric domain for which it
// is a candidate it holds the lease, polls the targets, stores the plan and sends the orders.
package rudderplanner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderplan"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// Times holds the time constants of a planner.
type Times struct {
	// PollInterval between two polls of a target, and between two steps.
	PollInterval time.Duration
	// PollTimeout of one call to a target; it must be shorter than PollInterval.
	PollTimeout time.Duration
	// StoreTimeout of the calls to the key-value service before and after a poll. It keeps polls frequent
	// enough for the confirmation age while the service hangs.
	StoreTimeout time.Duration
	LeaseTTL     time.Duration
	// OrderTTL is the longest time between the check of the lease and the effect of an order.
	OrderTTL time.Duration
	// CandidateDelay is how much longer each further candidate leaves a free lease alone.
	CandidateDelay time.Duration
	// PreloadRepeat is the time after which an unfulfilled preload order is sent again.
	PreloadRepeat time.Duration
}

// DefaultTimes returns the constants for polls every second.
func DefaultTimes() Times {
	return Times{PollInterval: time.Second, PollTimeout: 700 * time.Millisecond, StoreTimeout: 500 * time.Millisecond, LeaseTTL: 6 * time.Second,
		OrderTTL: 2 * time.Second, CandidateDelay: 2 * time.Second, PreloadRepeat: 30 * time.Second}
}

// parallelCalls bounds the concurrent calls to the targets of one domain.
const parallelCalls = 64

// Planner plans the domains for which an entry host is a candidate. All fields but those marked
// optional are set before Run.
type Planner struct {
	Store   *rudderstore.Store
	Control *ruddertarget.Control
	// Hosts reads the platform's host list. The last good answer is used while it fails.
	Hosts func(ctx context.Context) ([]rudderhost.Host, error)
	// Config returns the configuration in force, or nil if none is known yet.
	Config func() *rudderconfig.Document
	Clock  clockwork.Clock
	// Name of this entry host.
	Name string
	// CandidateRank returns this entry host's rank for a domain, 0 first, or a negative number if it is no
	// candidate.
	CandidateRank func(domain string) int
	// Successor returns the entry host that follows this one in a domain after a planned stop, or "" if
	// there is none (optional).
	Successor func(domain string) string
	// Leaving reports that this entry host stops as planned (optional). It hands its domains over.
	Leaving func() bool
	// OnStatus receives every status; the age is measured from before the poll was sent.
	OnStatus func(domain, host, address string, status ruddertarget.Status, age time.Duration)
	// OnPlan receives every plan that is read or stored.
	OnPlan func(ruddergroup.Plan)
	// KnownPlan returns the newest plan known to this entry host (optional). It lets a new lease holder
	// notice that the platform was restored to an older state.
	KnownPlan func(domain string) (ruddergroup.Plan, bool)
	// Down returns the hosts of other domains that do not answer (optional).
	Down func() map[string]bool
	// InFlight returns the requests by group known to shard owners (optional).
	InFlight func(domain string) map[string]int
	// Stale reports whether a domain's confirmations are about to expire (optional). Candidates then poll
	// beside the holder.
	Stale func(domain string) bool
	// Serving returns the groups by selector that take new work in the whole fleet (optional). With it, a
	// group that moves to another domain keeps serving until its successor does.
	Serving func() map[string]int
	Logger  zerolog.Logger
	Times   Times
	Timing  rudderplan.Timing

	mu    sync.Mutex
	hosts []rudderhost.Host
	// held counts the domains whose lease this entry host holds.
	held atomic.Int64
}

// Run plans until the context ends, then gives the leases back.
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
	// hostsPerPoll bounds the traffic of the host list, which has about 180 bytes for each host: a list of
	// 730 hosts read at each poll would be 130 KB/s on each entry host.
	hostsPerPoll = 80
	// idleListFactor is how much less often an entry host that plans no domain reads the list. It needs
	// it to learn of new domains and to take over from another planner.
	idleListFactor = 6
)

// listPolls is the number of polls between two reads of the host list.
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
		p.Logger.Warn().Err(err).Msg("host list not available; the last one stays in use")
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
