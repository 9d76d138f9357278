package rudderplanner

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderstore"
)

// errReplaced is returned if another planner has written the plan or the lease key, so that the lease is lost.
var errReplaced = errors.New("another planner holds the domain")

// readPlan returns the stored plan, or the zero plan if there is none, and its revision.
func (w *worker) readPlan(ctx context.Context) (ruddergroup.Plan, int64, error) {
	entry, _, err := w.p.Store.Get(ctx, ruddergroup.PlanPrefix+w.domain)
	if errors.Is(err, rudderstore.ErrNotFound) {
		return ruddergroup.Plan{Domain: w.domain}, 0, nil
	}
	if err != nil {
		return ruddergroup.Plan{}, 0, errors.Wrap(err, "read plan")
	}
	var plan ruddergroup.Plan
	if err := json.Unmarshal(entry.Value, &plan); err != nil {
		return ruddergroup.Plan{}, 0, errors.Wrap(err, "decode plan")
	}
	return plan, entry.Revision, nil
}

// newestKnownPlan returns the plan with the highest sequence number that this entry host has seen.
func (w *worker) newestKnownPlan() ruddergroup.Plan {
	newest := w.known
	if w.p.KnownPlan != nil {
		if plan, ok := w.p.KnownPlan(w.domain); ok && plan.Seq > newest.Seq {
			newest = plan
		}
	}
	return newest
}

// write stores a plan by compare-and-swap. If the outcome is unknown, the plan becomes pending: no other plan
// is written and no order is sent until a read shows which value is stored.
func (w *worker) write(ctx context.Context, plan ruddergroup.Plan) error {
	value, err := json.Marshal(plan)
	if err != nil {
		return errors.Wrap(err, "encode plan")
	}
	revision, err := w.p.Store.Put(ctx, rudderstore.PutRequest{Key: ruddergroup.PlanPrefix + w.domain, Value: value, Expected: w.revision})
	switch {
	case err == nil:
		w.stored(plan, revision)
		return nil
	case errors.Is(err, rudderstore.ErrUnknownOutcome):
		w.pending = &plan
		return w.resolvePending(ctx)
	case errors.Is(err, rudderstore.ErrConflict):
		return w.reconcile(ctx)
	}
	return errors.Wrap(err, "write plan")
}

// stored makes plan the known one.
func (w *worker) stored(plan ruddergroup.Plan, revision int64) {
	w.known, w.revision, w.pending = plan, revision, nil
	w.p.OnPlan(plan)
}

// resolvePending reads back whether the pending plan was stored. If it was not, it writes the same value again
// with the same expected revision, so that at most one of the two writes takes effect.
func (w *worker) resolvePending(ctx context.Context) error {
	plan, revision, err := w.readPlan(ctx)
	if err != nil {
		return err
	}
	if samePlan(plan, *w.pending) {
		w.stored(plan, revision)
		return nil
	}
	if revision != w.revision {
		w.pending = nil
		return w.reconcile(ctx)
	}
	value, err := json.Marshal(*w.pending)
	if err != nil {
		return errors.Wrap(err, "encode plan")
	}
	revision, err = w.p.Store.Put(ctx, rudderstore.PutRequest{Key: ruddergroup.PlanPrefix + w.domain, Value: value, Expected: w.revision})
	if err != nil {
		return errors.Wrap(err, "write pending plan") // retried in the next tick
	}
	w.stored(*w.pending, revision)
	return nil
}

// samePlan reports whether two plans are the same write.
func samePlan(a, b ruddergroup.Plan) bool {
	return a.Seq == b.Seq && a.Fencing == b.Fencing && a.Planner == b.Planner
}

// reconcile compares the stored plan with the newest known one. A plan with a higher fencing number ends the
// lease. An older plan means that the platform was restored to an older state: the known groups are written
// back with a higher sequence number.
func (w *worker) reconcile(ctx context.Context) error {
	plan, revision, err := w.readPlan(ctx)
	if err != nil {
		return err
	}
	known := w.newestKnownPlan()
	switch {
	case plan.Fencing > w.lease.fencing:
		w.known = plan
		w.p.OnPlan(plan)
		return errReplaced
	case plan.Seq > known.Seq:
		w.known, w.revision = plan, revision
		w.p.OnPlan(plan)
		return nil
	case samePlan(plan, known):
		w.known, w.revision = plan, revision
		return nil
	}
	w.p.Logger.Warn().Str("domain", w.domain).Int64("stored_seq", plan.Seq).Int64("known_seq", known.Seq).
		Msg("platform returned an older plan; writing the known groups back")
	w.known, w.revision = known, revision
	known.Seq = max(known.Seq, plan.Seq) + 1
	known.Domain, known.Fencing, known.Planner = w.domain, w.lease.fencing, w.p.Name
	return w.write(ctx, known)
}
