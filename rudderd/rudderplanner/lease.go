package rudderplanner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderstore"
)

// leaseValue is the value of the key control/lease/<domain>.
type leaseValue struct {
	Holder  string `json:"holder"`
	Fencing int64  `json:"fencing"`
	// PassedTo is the entry host that may take over before the lease ends. When it is set, the holder sends no
	// more orders.
	PassedTo string `json:"passed_to,omitempty"`
}

// lease is the lease of a domain that this entry host holds.
type lease struct {
	id       int64
	revision int64
	fencing  int64
	// deadline is LeaseTTL after the start of the call that granted or last renewed the lease.
	deadline time.Time
	renewed  time.Time
}

// expired reports whether the deadline has passed by the monotonic or the wall clock. The monotonic clock does
// not advance while the machine is suspended.
func (l *lease) expired(now time.Time) bool {
	return !now.Before(l.deadline) || !now.Round(0).Before(l.deadline.Round(0))
}

// remaining returns the time until the deadline, by the clock that gives less.
func (l *lease) remaining(now time.Time) time.Duration {
	return min(l.deadline.Sub(now), l.deadline.Round(0).Sub(now.Round(0)))
}

// acquire acquires the lease if its key has the expected revision, 0 for an absent key. The new fencing number
// is floor + 1.
func (w *worker) acquire(ctx context.Context, floor, expected int64) (*lease, error) {
	before := w.p.Clock.Now()
	id, err := w.p.Store.GrantLease(ctx, w.p.Times.LeaseTTL)
	if err != nil {
		return nil, errors.Wrap(err, "grant lease")
	}
	l := &lease{id: id, fencing: floor + 1, deadline: before.Add(w.p.Times.LeaseTTL), renewed: before}
	if err := w.writeLease(ctx, l, "", expected); err != nil {
		_ = w.p.Store.RevokeLease(ctx, id) // otherwise it expires
		return nil, err
	}
	return l, nil
}

// writeLease stores holder, fencing number and successor. If the outcome of the write is unknown, it reads the
// key back.
func (w *worker) writeLease(ctx context.Context, l *lease, passedTo string, expected int64) error {
	key := ruddergroup.LeasePrefix + w.domain
	value, err := json.Marshal(leaseValue{Holder: w.p.Name, Fencing: l.fencing, PassedTo: passedTo})
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	revision, err := w.p.Store.Put(ctx, rudderstore.PutRequest{Key: key, Value: value, Expected: expected, Lease: l.id})
	if errors.Is(err, rudderstore.ErrUnknownOutcome) {
		entry, _, readErr := w.p.Store.Get(ctx, key)
		if readErr == nil && entry.Lease == l.id && string(entry.Value) == string(value) {
			revision, err = entry.Revision, nil
		}
	}
	l.revision = revision
	return errors.Wrap(err, "write lease key")
}

// raiseFencing changes the lease's fencing number to floor + 1.
func (w *worker) raiseFencing(ctx context.Context, floor int64) error {
	w.lease.fencing = floor + 1
	err := w.writeLease(ctx, w.lease, "", w.lease.revision)
	if errors.Is(err, rudderstore.ErrConflict) || errors.Is(err, rudderstore.ErrNotFound) {
		return errors.Mark(err, errReplaced)
	}
	return err
}

// renew renews the lease if a third of its TTL has passed. It returns false if the lease was lost or the
// platform did not answer.
func (w *worker) renew(ctx context.Context) bool {
	before := w.p.Clock.Now()
	if w.lease.expired(before) {
		return w.loseLease("lease expired")
	}
	if before.Sub(w.lease.renewed) < w.p.Times.LeaseTTL/3 {
		return true
	}
	err := w.p.Store.KeepAlive(ctx, w.lease.id)
	switch {
	case err == nil:
		w.lease.renewed, w.lease.deadline = before, before.Add(w.p.Times.LeaseTTL)
	case errors.Is(err, rudderstore.ErrNotFound):
		return w.loseLease("lease ended at the platform")
	}
	if w.lease.expired(w.p.Clock.Now()) {
		return w.loseLease("lease expired")
	}
	if err != nil {
		w.p.Logger.Warn().Err(err).Str("domain", w.domain).Msg("lease not renewed")
	}
	return err == nil
}

// loseLease drops the lease without revoking it. It returns false for use in renew.
func (w *worker) loseLease(why string) bool {
	w.p.Logger.Info().Str("domain", w.domain).Int64("fencing", w.lease.fencing).Msg("planner stops: " + why)
	w.lease = nil
	w.p.held.Add(-1)
	return false
}

// resign revokes the lease.
func (w *worker) resign() {
	if w.lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.p.Times.StoreTimeout)
	defer cancel()
	_ = w.p.Store.RevokeLease(ctx, w.lease.id) // otherwise it expires
	w.lease = nil
	w.p.held.Add(-1)
}
