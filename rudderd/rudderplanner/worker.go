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

// worker plans one domain. Only its own goroutine uses it.
type worker struct {
	p      *Planner
	domain string

	lease *lease
	// freeSince is when the lease key was first seen absent; zero while it is held.
	freeSince time.Time
	// ordersFrom is when the new holder may send orders.
	ordersFrom time.Time
	// takenOver is set once the plan carries this holder's fencing number.
	takenOver bool
	// wasHolder keeps the last holder polling while the platform cannot name another one.
	wasHolder bool

	// seen is the lease as this process last read it from a holder that gave orders.
	seen leaseValue
	// accepted is the highest fencing number that was handed over to this process.
	accepted int64

	// standAsideUntil keeps a holder that could reach no target from taking the lease again at once.
	standAsideUntil time.Time

	known    ruddergroup.Plan
	revision int64
	pending  *ruddergroup.Plan

	observed    map[string]observed
	preloads    map[string]time.Time
	allocations rudderplan.AllocationCache
}

func newWorker(p *Planner, domain string) *worker {
	return &worker{p: p, domain: domain, observed: map[string]observed{}, preloads: map[string]time.Time{}}
}

// tick does what is due in one poll interval.
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
		w.stand(ctx)
	}
	if w.lease == nil {
		return
	}
	w.poll(ctx)
	if !answers {
		return
	}
	if err := w.plan(ctx); err != nil {
		w.p.Logger.Warn().Err(err).Str("domain", w.domain).Msg("no plan in this interval")
		if errors.Is(err, errReplaced) && w.lease != nil {
			w.lose("another planner holds the domain")
		}
	}
}

func (w *worker) storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, w.p.Times.StoreTimeout)
}

// stand tries to become the holder. While the platform does not answer, the last holder and the first
// candidate keep polling, so that confirmations stay fresh under the unchanged plan.
func (w *worker) stand(ctx context.Context) {
	rank := w.p.CandidateRank(w.domain)
	if w.leaving() {
		rank = -1
	}
	if rank < 0 && !w.wasHolder {
		w.freeSince = time.Time{}
		return // at 330 entry hosts, reads by all of them would be thousands a second
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
		if rank >= 0 && !now.Before(w.standAsideUntil) && now.Sub(w.freeSince) >= time.Duration(rank)*w.p.Times.CandidateDelay {
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

// watchHolder follows a holder that hands the domain over, and polls for one that seems to have died.
func (w *worker) watchHolder(ctx context.Context, rank int, entry rudderstore.Entry) {
	var v leaseValue
	if err := json.Unmarshal(entry.Value, &v); err != nil {
		w.p.Logger.Warn().Err(err).Str("domain", w.domain).Msg("lease not readable")
	} else if v.Holder != w.p.Name {
		w.wasHolder = false
	}
	if rank >= 0 && w.mayFollow(v) {
		w.accepted = v.Fencing
		w.takeOver(ctx, entry.Revision)
		return
	}
	if v.PassedTo == "" {
		w.seen = v
	}
	if rank >= 0 && w.p.Stale != nil && w.p.Stale(w.domain) {
		w.poll(ctx) // the holder may have died; its lease has not ended yet
	}
}

// takeOver acquires the lease with a fencing number above all that the plan and the targets report. The
// key has the given revision if the lease was handed over, and is absent otherwise.
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
	w.freeSince, w.takenOver, w.wasHolder = time.Time{}, false, true
	w.ordersFrom = l.renewed
	if l.fencing > 1 && w.someUnchecked() {
		w.ordersFrom = w.p.Clock.Now().Add(w.p.Times.OrderTTL)
		if handedOver == 0 {
			w.ordersFrom = w.ordersFrom.Add(w.p.Times.LeaseTTL)
		}
	}
	w.p.Logger.Info().Str("domain", w.domain).Int64("fencing", l.fencing).Bool("handed_over", handedOver != 0).Time("orders_from", w.ordersFrom).Msg("planner holds the lease")
}

// fencingFloor is the highest fencing number seen anywhere.
func (w *worker) fencingFloor(plan ruddergroup.Plan) int64 {
	floor := max(plan.Fencing, w.known.Fencing, w.newestKnown().Fencing)
	for _, o := range w.observed {
		floor = max(floor, o.status.HighestFencing)
	}
	return floor
}

// someUnchecked reports whether a host of the domain does not check fencing numbers.
func (w *worker) someUnchecked() bool {
	config := w.p.Config()
	return slices.ContainsFunc(w.hosts(), func(h rudderhost.Host) bool {
		return h.Kind == rudderhost.KindEngine && (config == nil || !config.SettingsOf(h.Name).ChecksFencing)
	})
}

func (w *worker) hosts() []rudderhost.Host {
	var out []rudderhost.Host
	for _, h := range w.p.hostList() {
		if h.FabricDomain == w.domain {
			out = append(out, h)
		}
	}
	return out
}

// plan stores the next plan and sends its orders. The poll of the same tick has read every target
// back, after the wait of a new holder.
func (w *worker) plan(ctx context.Context) error {
	config := w.p.Config()
	if config == nil || w.p.Clock.Now().Before(w.ordersFrom) {
		return nil
	}
	call, cancel := w.storeContext(ctx)
	defer cancel()
	if err := w.agree(call); err != nil {
		return err
	}
	if config.Version < w.known.ConfigVersion {
		return errors.Newf("configuration %d is older than the plan's %d", config.Version, w.known.ConfigVersion)
	}
	in := w.input(config)
	if rudderplan.DomainUnreachable(in.Hosts, in.Observed, in.Timing) {
		err := w.writeSilent(call)
		w.standAside()
		return err
	}
	result := rudderplan.Step(in)
	if silent := w.silent(); !slices.Equal(silent, result.Plan.Silent) {
		if !result.Changed {
			result.Plan.Seq, result.Changed = result.Plan.Seq+1, true
		}
		result.Plan.Silent = silent
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
		if !same(w.known, result.Plan) {
			return nil // another plan is in force now; its orders follow in the next tick
		}
	}
	w.send(ctx, result.Orders)
	return nil
}

// standAside gives the lease to another candidate, because this entry host may be the one that is cut
// off from the domain.
func (w *worker) standAside() {
	w.p.Logger.Warn().Str("domain", w.domain).Msg("no target answers; the lease is given back")
	w.resign()
	w.wasHolder = false
	w.standAsideUntil = w.p.Clock.Now().Add(standAsideLeases * w.p.Times.LeaseTTL)
}

// standAsideLeases is how many lease times the next candidate gets before the former holder tries again.
const standAsideLeases = 3

// agree makes sure that the stored plan is the known one and carries this holder's fencing number.
func (w *worker) agree(ctx context.Context) error {
	if w.pending != nil {
		return w.settle(ctx)
	}
	if floor := w.fencingFloor(ruddergroup.Plan{}); floor >= w.lease.fencing && (floor > w.lease.fencing || !w.takenOver) {
		// A holder that was replaced fails here, because the lease key is no longer its own.
		if err := w.raise(ctx, floor); err != nil {
			return err
		}
		w.takenOver = false
	}
	if err := w.resolve(ctx); err != nil {
		return err
	}
	if w.takenOver {
		return nil
	}
	plan := w.known
	plan.Domain, plan.Seq, plan.Fencing, plan.Planner = w.domain, plan.Seq+1, w.lease.fencing, w.p.Name
	if err := w.write(ctx, plan); err != nil {
		return err
	}
	w.takenOver = w.known.Fencing == w.lease.fencing
	return nil
}

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
	for host, o := range w.observed {
		in.Observed[host] = rudderplan.Observation{Status: o.status, Known: o.known, Missed: o.missed, Age: now.Sub(o.at)}
		down[host] = o.missed >= w.p.Timing.DeadAfterMisses
	}
	allocation := rudderplan.AllocationInput{Now: now, Config: config, Hosts: w.p.hostList(), Down: down, Current: w.held()}
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
