package rudderowner

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderrouter"
)

const (
	// formingWait is how long work waits for a group that is not known yet. Without faults, plans and
	// confirmations reach each entry host within this time.
	formingWait = 500 * time.Millisecond
	// formingShare limits the wait to a share of the time until the deadline.
	formingShare = 0.25
	// formingInterval is the interval at which the groups are checked during the wait.
	formingInterval = 25 * time.Millisecond
)

// InvalidateView makes the next use of the groups and members read them again. Callers use it when a plan, the
// configuration or the members change; other changes are seen within viewInterval.
func (o *Owner) InvalidateView() { o.viewStale.Store(true) }

// formingDeadline returns the end of the wait for a group.
func (o *Owner) formingDeadline(work Work) time.Time {
	now := o.Clock.Now()
	wait := formingWait
	if !work.Deadline.IsZero() {
		wait = min(wait, time.Duration(formingShare*float64(work.Deadline.Sub(now))))
	}
	return now.Add(wait)
}

// canAwaitGroup reports whether work failed only because its owner does not serve the shard yet, or because no group is known
// here or at the owner, although a selector serves the work.
func (o *Owner) canAwaitGroup(work Work, err error) bool {
	var refused *refusedError
	if errors.As(err, &refused) && refused.notOwner {
		return true // the owner confirms its groups, or this entry host learns of another owner
	}
	unconfirmed := refused != nil && refused.unconfirmed
	if !unconfirmed && !errors.Is(err, ErrNoGroup) {
		return false
	}
	if o.HasSelector == nil || !o.HasSelector(work.Wanted) {
		return false
	}
	// Groups that the work avoids do not become usable by waiting.
	return len(work.Avoid) == 0 || !o.knowsGroup(work)
}

func (o *Owner) knowsGroup(work Work) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.view.shards, func(s rudderrouter.Shard) bool { return s.Serves(work.Wanted) })
}

// awaitChange waits for formingInterval and invalidates the view. It returns false when the time is up.
func (o *Owner) awaitChange(ctx context.Context, until time.Time) bool {
	left := until.Sub(o.Clock.Now())
	if left <= 0 {
		return false
	}
	timer := o.Clock.NewTimer(min(left, formingInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
	}
	o.InvalidateView()
	return true
}
