package rudderplanner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderstore"
)

// leaseValue is the content of control/lease/<domain>.
type leaseValue struct {
	Holder  string `json:"holder"`
	Fencing int64  `json:"fencing"`
	// PassedTo names the entry host that may follow the holder before the lease ends. The holder gives no
	// orders any more.
	PassedTo string `json:"passed_to,omitempty"`
}

// lease is this entry host's hold on a domain.
type lease struct {
	id       int64
	revision int64
	fencing  int64
	// deadline is measured from before the call that granted or renewed the lease was sent.
	deadline time.Time
	renewed  time.Time
}

// expired compares both the monotonic and the wall clock with the deadline: the monotonic clock does
// not count the time in which the machine was suspended.
func (l *lease) expired(now time.Time) bool {
	return !now.Before(l.deadline) || !now.Round(0).Before(l.deadline.Round(0))
}

// remaining returns how long the lease is still certain to be held.
func (l *lease) remaining(now time.Time) time.Duration {
	return min(l.deadline.Sub(now), l.deadline.Round(0).Sub(now.Round(0)))
}

// acquire takes the lease if its key has the expected revision, 0 for an absent key. The fencing number is
// higher than floor.
func (w *worker) acquire(ctx context.Context, floor, expected int64) (*lease, error) {
	before := w.p.Clock.Now()
	id, err := w.p.Store.GrantLease(ctx, w.p.Times.LeaseTTL)
	if err != nil {
		return nil, errors.Wrap(err, "grant lease")
	}
	l := &lease{id: id, fencing: floor + 1, deadline: before.Add(w.p.Times.LeaseTTL), renewed: before}
	if err := w.writeLease(ctx, l, "", expected); err != nil {
		_ = w.p.Store.RevokeLease(ctx, id) // ends by itself otherwise
		return nil, err
	}
	return l, nil
}

// writeLease stores holder, fencing number and successor. A write without an answer is read back.
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

// raise replaces the lease's fencing number by one above floor.
func (w *worker) raise(ctx context.Context, floor int64) error {
	w.lease.fencing = floor + 1
	err := w.writeLease(ctx, w.lease, "", w.lease.revision)
	if errors.Is(err, rudderstore.ErrConflict) || errors.Is(err, rudderstore.ErrNotFound) {
		return errors.Mark(err, errReplaced)
	}
	return err
}

// renew keeps the lease alive. It reports whether the lease is held and the platform answered, if asked.
func (w *worker) renew(ctx context.Context) bool {
	before := w.p.Clock.Now()
	if w.lease.expired(before) {
		return w.lose("lease expired")
	}
	if before.Sub(w.lease.renewed) < w.p.Times.LeaseTTL/3 {
		return true
	}
	err := w.p.Store.KeepAlive(ctx, w.lease.id)
	switch {
	case err == nil:
		w.lease.renewed, w.lease.deadline = before, before.Add(w.p.Times.LeaseTTL)
	case errors.Is(err, rudderstore.ErrNotFound):
		return w.lose("lease ended at the platform")
	}
	if w.lease.expired(w.p.Clock.Now()) {
		return w.lose("lease expired")
	}
	if err != nil {
		w.p.Logger.Warn().Err(err).Str("domain", w.domain).Msg("lease not renewed")
	}
	return err == nil
}

func (w *worker) lose(why string) bool {
	w.p.Logger.Info().Str("domain", w.domain).Int64("fencing", w.lease.fencing).Msg("planner stops: " + why)
	w.lease = nil
	w.p.held.Add(-1)
	return false
}

// resign gives the lease back when the entry host stops.
func (w *worker) resign() {
	if w.lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.p.Times.StoreTimeout)
	defer cancel()
	_ = w.p.Store.RevokeLease(ctx, w.lease.id) // ends by itself otherwise
	w.lease = nil
	w.p.held.Add(-1)
}
