package rudderverdict

import (
	"context"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderview"
)

// maxEndWitnesses bounds the number of other entry hosts that have to confirm that a target has ended.
const maxEndWitnesses = 8

// Ended reports whether a target that refuses the connections of this entry host has ended.
func (d *Detector) Ended(ctx context.Context, t *rudderview.Target) bool {
	return !d.streaming(t) && d.HasPath(ctx, t) && d.confirmRefusal(ctx, t).Ended()
}

// EndWitnesses returns how many of some other entry hosts are asked whether a target has ended.
func EndWitnesses(others int) int { return min(maxEndWitnesses, others) }

// EndConfirmed reports whether the end of a target that refuses the connections of an entry host is confirmed by the refusals of some of
// the others: a cut between the target and a part of the entry hosts may include the one that asks and some that are asked. In a small
// fleet, half of the others suffice if the rest does not answer or has no path. One that reaches the target or finds it silent leaves it
// open.
func EndConfirmed(others, refused int, leftOpen bool) bool {
	return others > 0 && refused >= min(maxEndWitnesses, (others+1)/2) && !leftOpen
}

// confirmRefusal asks other entry hosts about a target that refuses the connections of this one. The target has also ended if
// another process answers at its address.
func (d *Detector) confirmRefusal(ctx context.Context, t *rudderview.Target) Finding {
	others := d.endWitnesses(t)
	begin := d.Uptime()
	statements := d.ask(ctx, others, t, Question{since: begin}, EndWitnesses(len(others)))
	found, refused := Finding{Path: true}, 0
	for _, s := range statements {
		if s.refused() {
			refused++
		}
	}
	if answer := answered(statements); answer != nil {
		found = *answer
	} else {
		found.Refused = EndConfirmed(len(others), refused, slices.ContainsFunc(statements, statement.leavesOpen))
	}
	conclusion := "not confirmed"
	if found.Ended() {
		conclusion = "ended"
	}
	d.logVerdict(t, begin, Finding{Refused: true}.String(), statements, conclusion)
	return found
}

// endWitnesses returns the other entry hosts in the order in which they are asked whether a target has ended. Some of those in its
// own data centre come first: cuts between data centres do not affect them.
func (d *Detector) endWitnesses(t *rudderview.Target) []rudderview.EntryHost {
	var near, rest []rudderview.EntryHost
	for _, x := range d.others(t) {
		if x.DataCentre == t.DataCentre && len(near) < minWitnesses {
			near = append(near, x)
		} else {
			rest = append(rest, x)
		}
	}
	return append(near, rest...)
}

// isRefused reports whether nothing seems to listen at the address of a target.
func (d *Detector) isRefused(ctx context.Context, t *rudderview.Target) bool {
	return d.refusal(t, d.tryConnect(ctx, t))
}

// refusal reports whether an error of a connection to a target is a refusal that may come from its host. Open connections may live on
// while new ones are refused on the way.
func (d *Detector) refusal(t *rudderview.Target, err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) && !d.streaming(t)
}

func (d *Detector) streaming(t *rudderview.Target) bool { return d.Streaming != nil && d.Streaming(t) }
