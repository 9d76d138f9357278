package rudderplanner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderplan"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
)

// worker plans one domain. It is used by a single goroutine.
type worker struct {
	p      *Planner
	domain string

	lease *lease
	// freeSince is when the lease key was first seen absent; zero while it is held.
	freeSince time.Time
	// ordersFrom is the time from which this holder may write plans and send orders.
	ordersFrom time.Time
	// fencingStored is set once the stored plan carries this holder's fencing number.
	fencingStored bool
	// wasHolder is set until another holder is seen or the domain is yielded. While the platform does not
	// answer, the last holder keeps polling.
	wasHolder bool

	// seen is the lease value that this process last read, without handovers.
	seen leaseValue
	// accepted is the highest fencing number of a handover that this process has accepted.
	accepted int64

	// yieldUntil keeps a former holder that could reach no target from acquiring the lease again at once.
	yieldUntil time.Time

	known    ruddergroup.Plan
	revision int64             // of the stored plan
	pending  *ruddergroup.Plan // written with unknown outcome

	observations map[string]observation
	preloads     map[string]time.Time
	allocations  rudderplan.AllocationCache
}

func newWorker(p *Planner, domain string) *worker {
	return &worker{p: p, domain: domain, observations: map[string]observation{}, preloads: map[string]time.Time{}}
}

// tick runs one poll interval: it renews or acquires the lease, polls and plans.
func (w *worker) tick(ctx context.Context) {
	answers := true
	if w.lease != nil {
		call, cancel := w.storeContext(ctx)
		answers = w.renew(call)
		cancel()
	}
	if w.lease != nil && answers && w.leaving() {
		w.handOver(ctx)
	}
	if w.lease == nil {
		w.tryTakeOver(ctx)
	}
	if w.lease == nil {
		return
	}
	w.poll(ctx)
	if !answers {
		return
	}
	if err := w.plan(ctx); err != nil {
		w.p.Logger.Warn().Err(err).Str("domain", w.domain).Msg("planning failed in this interval")
		if errors.Is(err, errReplaced) && w.lease != nil {
			w.loseLease("another planner holds the domain")
		}
	}
}

func (w *worker) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, w.p.Times.StoreTimeout)
}

// tryTakeOver acquires the lease if it is free and this candidate's delay has passed, or if it was handed over
// to this entry host. While the platform does not answer, the last holder and the first candidate keep polling,
// so that the members' confirmations stay fresh under the unchanged plan.
func (w *worker) tryTakeOver(ctx context.Context) {
	rank := w.p.CandidateRank(w.domain)
	if w.leaving() {
		rank = -1
	}
	if rank < 0 && !w.wasHolder {
		w.freeSince = time.Time{}
		return // with 330 entry hosts, reads by all of them would be thousands per second
	}
	call, cancel := w.storeContext(ctx)
	entry, _, err := w.p.Store.Get(call, ruddergroup.LeasePrefix+w.domain)
	cancel()
	now := w.p.Clock.Now()
	switch {
	case errors.Is(err, rudderstore.ErrNotFound):
		if w.freeSince.IsZero() {
			w.freeSince = now
		}
		if rank >= 0 && !now.Before(w.yieldUntil) && now.Sub(w.freeSince) >= time.Duration(rank)*w.p.Times.CandidateDelay {
			w.takeOver(ctx, 0)
		} else if w.wasHolder {
			w.poll(ctx)
		}
	case err != nil:
		if w.wasHolder || rank == 0 {
			w.poll(ctx)
		}
	default:
		w.freeSince = time.Time{}
		w.watchHolder(ctx, rank, entry)
	}
}

// watchHolder accepts a handover, and polls in place of a holder that seems to have died.
func (w *worker) watchHolder(ctx context.Context, rank int, entry rudderstore.Entry) {
	var v leaseValue
	if err := json.Unmarshal(entry.Value, &v); err != nil {
		w.p.Logger.Warn().Err(err).Str("domain", w.domain).Msg("cannot decode lease")
	} else if v.Holder != w.p.Name {
		w.wasHolder = false
	}
	if rank >= 0 && w.mayAccept(v) {
		w.accepted = v.Fencing
		w.takeOver(ctx, entry.Revision)
		return
	}
	if v.PassedTo == "" {
		w.seen = v
	}
	if rank >= 0 && w.p.Stale != nil && w.p.Stale(w.domain) {
		w.poll(ctx) // the holder may have died, and its lease has not expired yet
	}
}

// takeOver acquires the lease with a fencing number above those in the plan and in the targets' statuses.
// handedOver is the revision of the lease key if the lease was handed over, or 0 if the key is absent.
func (w *worker) takeOver(ctx context.Context, handedOver int64) {
	w.poll(ctx)
	call, cancel := w.storeContext(ctx)
	defer cancel()
	plan, revision, err := w.readPlan(call)
	if err != nil {
		return
	}
	floor := w.fencingFloor(plan)
	if handedOver != 0 && floor > w.accepted {
		w.p.Logger.Warn().Str("domain", w.domain).Int64("fencing", w.accepted).Int64("known", floor).
			Msg("handover refused: a newer planner is known")
		return
	}
	l, err := w.acquire(call, floor, handedOver)
	if err != nil {
		w.p.Logger.Info().Err(err).Str("domain", w.domain).Msg("lease not acquired")
		return
	}
	w.lease, w.revision, w.pending = l, revision, nil
	w.p.held.Add(1)
	w.freeSince, w.fencingStored, w.wasHolder = time.Time{}, false, true
	w.ordersFrom = l.renewed
	if l.fencing > 1 && w.anyUnfenced() {
		w.ordersFrom = w.p.Clock.Now().Add(w.p.Times.OrderTTL)
		if handedOver == 0 {
			w.ordersFrom = w.ordersFrom.Add(w.p.Times.LeaseTTL)
		}
	}
	w.p.Logger.Info().Str("domain", w.domain).Int64("fencing", l.fencing).Bool("handed_over", handedOver != 0).Time("orders_from", w.ordersFrom).Msg("planner holds the lease")
}

// fencingFloor returns the highest fencing number in the given plan, the known plans and the targets' statuses.
func (w *worker) fencingFloor(plan ruddergroup.Plan) int64 {
	floor := max(plan.Fencing, w.known.Fencing, w.newestKnownPlan().Fencing)
	for _, o := range w.observations {
		floor = max(floor, o.status.HighestFencing)
	}
	return floor
}

// anyUnfenced reports whether any host of the domain does not check fencing numbers.
func (w *worker) anyUnfenced() bool {
	config := w.p.Config()
	return slices.ContainsFunc(w.hosts(), func(h rudderhost.Host) bool {
		return h.Kind == rudderhost.KindEngine && (config == nil || !config.SettingsOf(h.Name).ChecksFencing)
	})
}

// hosts returns the hosts of the domain.
func (w *worker) hosts() []rudderhost.Host {
	var out []rudderhost.Host
	for _, h := range w.p.hostList() {
		if h.FabricDomain == w.domain {
			out = append(out, h)
		}
	}
	return out
}

// plan stores the next plan and sends its orders. The poll earlier in the tick has read the state of every
// target, for a new holder after ordersFrom.
func (w *worker) plan(ctx context.Context) error {
	config := w.p.Config()
	if config == nil || w.p.Clock.Now().Before(w.ordersFrom) {
		return nil
	}
	call, cancel := w.storeContext(ctx)
	defer cancel()
	if err := w.ensureCurrent(call); err != nil {
		return err
	}
	if config.Version < w.known.ConfigVersion {
		return errors.Newf("configuration version %d is older than version %d of the plan", config.Version, w.known.ConfigVersion)
	}
	in := w.input(config)
	if rudderplan.DomainUnreachable(in.Hosts, in.Observed, in.Timing) {
		err := w.writeUnreachable(call)
		w.yieldDomain()
		return err
	}
	result := rudderplan.Step(in)
	if unreachable := w.unreachable(); !slices.Equal(unreachable, result.Plan.Unresponsive) {
		if !result.Changed {
			result.Plan.Seq, result.Changed = result.Plan.Seq+1, true
		}
		result.Plan.Unresponsive = unreachable
		result.Plan.Domain, result.Plan.Fencing, result.Plan.Planner = w.domain, w.lease.fencing, w.p.Name
	}
	if result.Changed {
		if w.lease.expired(w.p.Clock.Now()) {
			return errors.New("lease expired before the plan was written")
		}
		if err := w.write(call, result.Plan); err != nil {
			return err
		}
		for _, r := range result.Reasons {
			w.p.Logger.Info().Str("domain", w.domain).Int64("seq", result.Plan.Seq).Str("code", string(r.Code)).
				Str("group", r.Group).Str("host", r.Host).Msg(r.Text)
		}
		if !samePlan(w.known, result.Plan) {
			return nil // another plan was stored; the next tick sends its orders
		}
	}
	w.send(ctx, result.Orders)
	return nil
}

// yieldDomain revokes the lease so that another candidate takes over, because this entry host may be cut off
// from the domain.
func (w *worker) yieldDomain() {
	w.p.Logger.Warn().Str("domain", w.domain).Msg("no target answers; revoking the lease")
	w.resign()
	w.wasHolder = false
	w.yieldUntil = w.p.Clock.Now().Add(yieldLeases * w.p.Times.LeaseTTL)
}

// yieldLeases times LeaseTTL is how long a former holder leaves the domain to other candidates.
const yieldLeases = 3

// ensureCurrent makes sure that the stored plan is the known one and carries this holder's fencing number.
func (w *worker) ensureCurrent(ctx context.Context) error {
	if w.pending != nil {
		return w.resolvePending(ctx)
	}
	if floor := w.fencingFloor(ruddergroup.Plan{}); floor >= w.lease.fencing && (floor > w.lease.fencing || !w.fencingStored) {
		// This fails for a holder that was replaced, because the lease key has another revision.
		if err := w.raiseFencing(ctx, floor); err != nil {
			return err
		}
		w.fencingStored = false
	}
	if err := w.reconcile(ctx); err != nil {
		return err
	}
	if w.fencingStored {
		return nil
	}
	plan := w.known
	plan.Domain, plan.Seq, plan.Fencing, plan.Planner = w.domain, plan.Seq+1, w.lease.fencing, w.p.Name
	if err := w.write(ctx, plan); err != nil {
		return err
	}
	w.fencingStored = w.known.Fencing == w.lease.fencing
	return nil
}

// input collects the state of the domain for Step.
func (w *worker) input(config *rudderconfig.Document) rudderplan.Input {
	now := w.p.Clock.Now()
	in := rudderplan.Input{Now: now, Domain: w.domain, Config: config, Hosts: w.hosts(), Observed: map[string]rudderplan.Observation{},
		Plan: w.known, Fencing: w.lease.fencing, Planner: w.p.Name, Timing: w.p.Timing}
	down := map[string]bool{}
	if w.p.Down != nil {
		for h, d := range w.p.Down() {
			down[h] = d
		}
	}
	for host, o := range w.observations {
		in.Observed[host] = rudderplan.Observation{Status: o.status, Known: o.known, Missed: o.missed, Age: now.Sub(o.at)}
		down[host] = o.missed >= w.p.Timing.DeadAfterMisses
	}
	allocation := rudderplan.AllocationInput{Now: now, Config: config, Hosts: w.p.hostList(), Down: down, Current: w.currentGroups()}
	shares, upcoming := w.allocations.Allocate(allocation, w.p.Timing)
	in.Want, in.Upcoming = shares.Domain(w.domain), upcoming[w.domain]
	if w.p.Serving != nil {
		in.ServingTotal, in.WantTotal = w.p.Serving(), shares.Totals()
	}
	if w.p.InFlight != nil {
		in.InFlight = w.p.InFlight(w.domain)
	}
	return in
}
