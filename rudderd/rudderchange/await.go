package rudderchange

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderpermit"
)

const (
	// acknowledgeInterval is the time between calls to members that have not acknowledged. Most of them learn of a
	// change within milliseconds by their watch of the platform.
	acknowledgeInterval = 200 * time.Millisecond
	// acknowledgeTimeout limits a call to a member that has not acknowledged. A member that does not answer delays
	// the end of the wait by at most this time.
	acknowledgeTimeout = 400 * time.Millisecond
	// driftDivisor sets the margin for clocks that run at different speeds: the wait for the expiry of permits
	// is extended by PermitTTL/driftDivisor.
	driftDivisor = 50
)

// Await waits until the adopted version is in force, as Change does. Use it to continue waiting for a pending
// change.
func (c *Controller) Await(ctx context.Context) (Result, error) {
	d := c.Current()
	if d == nil {
		return Result{State: StateRefused}, rudderpermit.ErrNoConfiguration
	}
	result := Result{Version: d.Version, ChangedBy: d.ChangedBy, ChangedAt: d.ChangedAt, Summary: d.Summary}
	return c.await(ctx, c.Clock.Now(), c.Version(), result)
}

// await implements steps 3 and 4 of a change: a majority acknowledges the version, then every other member
// acknowledges it or loses its permit.
func (c *Controller) await(ctx context.Context, began time.Time, version rudderpermit.Version, result Result) (Result, error) {
	result.State = StatePending
	acked := map[string]bool{}
	var majorityAt time.Time
	for {
		c.collectAcks(ctx, version, acked)
		registry := c.Node.Registry()
		missing := unacknowledged(registry, acked)
		now := c.Clock.Now()
		if registry.Quorum(acked) {
			if majorityAt.IsZero() {
				majorityAt = now
			}
		} else {
			majorityAt = time.Time{} // the registry changed
		}
		if result.Missing = missing; len(missing) > 0 {
			result.Slowest = missing[0]
		}
		// Both times carry a monotonic reading: a wall clock that is set forward must not shorten the wait.
		waited := !majorityAt.IsZero() && now.Sub(majorityAt) > c.permitExpiry()
		if !majorityAt.IsZero() && (len(missing) == 0 || waited) {
			result.State, result.InForceAfter = StateAccepted, now.Sub(began)
			return result, nil
		}
		if own := c.Version(); own.Number == version.Number && own != version {
			return conflictWith(c.Current()), errors.Wrap(ErrConflict, "replaced by another document with the same version after the platform reverted to an older state")
		}
		pause := acknowledgeInterval
		if !majorityAt.IsZero() {
			pause = min(pause, c.permitExpiry()-now.Sub(majorityAt)+time.Millisecond)
		}
		if c.wait(ctx, pause) != nil {
			return result, nil
		}
	}
}

// collectAcks adds to acked the members that have adopted the version, according to their digests or their
// direct answers.
func (c *Controller) collectAcks(ctx context.Context, version rudderpermit.Version, acked map[string]bool) {
	if own, has := c.version(); has && covers(own, version) {
		acked[c.Node.Self.Name] = true
	}
	for _, a := range c.Node.Acks() {
		if covers(a.Version, version) {
			acked[a.Member] = true
		}
	}
	var open []ruddermember.Member
	for _, m := range c.Node.Members() {
		if !acked[m.Name] {
			open = append(open, m)
		}
	}
	registry := c.Node.Registry()
	hadMajority := registry.Quorum(acked)
	c.callMembers(ctx, open, acknowledgeTimeout, func(answers []answer) bool {
		a := answers[len(answers)-1]
		if a.acknowledges && covers(a.Version, version) {
			acked[a.Member] = true
		}
		return !hadMajority && registry.Quorum(acked)
	})
}

// permitExpiry is the time after the acknowledgement by a majority at which every permit for an older version
// has expired.
func (c *Controller) permitExpiry() time.Duration { return c.PermitTTL + c.PermitTTL/driftDivisor }

func unacknowledged(r ruddermember.Registry, acked map[string]bool) []string {
	var missing []string
	for _, name := range r.Names() {
		if !acked[name] {
			missing = append(missing, name)
		}
	}
	return missing
}
