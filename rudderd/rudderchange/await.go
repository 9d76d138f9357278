package rudderchange

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderpermit"
)

const (
	// askAgainAfter separates the calls to members that have not acknowledged. The platform's watch
	// informs most of them within milliseconds.
	askAgainAfter = 200 * time.Millisecond
	// askLimit bounds a call to a member that has not acknowledged. A silent member delays the end of
	// the wait by at most this.
	askLimit = 400 * time.Millisecond
	// driftShare of the permit's time is added when waiting for its end, for clocks that differ in
	// speed.
	driftShare = 50
)

// Await waits until the adopted version is in force, as Change does. It serves to ask again about a
// pending change.
func (k *Controller) Await(ctx context.Context) (Result, error) {
	d := k.Current()
	if d == nil {
		return Result{State: StateRefused}, rudderpermit.ErrNoConfiguration
	}
	result := Result{Version: d.Version, ChangedBy: d.ChangedBy, ChangedAt: d.ChangedAt, Summary: d.Summary}
	return k.await(ctx, k.Clock.Now(), k.Version(), result)
}

// await is steps 3 and 4: a majority acknowledges, then each other member does or its permit ends.
func (k *Controller) await(ctx context.Context, began time.Time, version rudderpermit.Version, result Result) (Result, error) {
	result.State = StatePending
	acked := map[string]bool{}
	var majorityAt time.Time
	for {
		k.collect(ctx, version, acked)
		registry := k.Node.Registry()
		missing := missingOf(registry, acked)
		now := k.Clock.Now()
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
		// The monotonic clock alone: a wall clock that is set forward must not shorten the wait.
		waited := !majorityAt.IsZero() && now.Sub(majorityAt) > k.permitsEnd()
		if !majorityAt.IsZero() && (len(missing) == 0 || waited) {
			result.State, result.InForceAfter = StateAccepted, now.Sub(began)
			return result, nil
		}
		if own := k.Version(); own.Number == version.Number && own != version {
			return conflictWith(k.Current()), errors.Wrap(ErrConflict, "replaced after the platform went back to an older state")
		}
		pause := askAgainAfter
		if !majorityAt.IsZero() {
			pause = min(pause, k.permitsEnd()-now.Sub(majorityAt)+time.Millisecond)
		}
		if k.wait(ctx, pause) != nil {
			return result, nil
		}
	}
}

// collect adds the members that have adopted the version, by their digests or by asking them.
func (k *Controller) collect(ctx context.Context, version rudderpermit.Version, acked map[string]bool) {
	if own, has := k.version(); has && covers(own, version) {
		acked[k.Node.Self.Name] = true
	}
	for _, a := range k.Node.Acks() {
		if covers(a.Version, version) {
			acked[a.Member] = true
		}
	}
	var open []ruddermember.Member
	for _, m := range k.Node.Members() {
		if !acked[m.Name] {
			open = append(open, m)
		}
	}
	registry := k.Node.Registry()
	hadMajority := registry.Quorum(acked)
	k.ask(ctx, open, askLimit, func(answers []answer) bool {
		a := answers[len(answers)-1]
		if a.acknowledges && covers(a.Version, version) {
			acked[a.Member] = true
		}
		return !hadMajority && registry.Quorum(acked)
	})
}

// permitsEnd is the time after a majority's acknowledgement when no older permit is left.
func (k *Controller) permitsEnd() time.Duration { return k.PermitTTL + k.PermitTTL/driftShare }

func missingOf(r ruddermember.Registry, acked map[string]bool) []string {
	var missing []string
	for _, name := range r.Names() {
		if !acked[name] {
			missing = append(missing, name)
		}
	}
	return missing
}
