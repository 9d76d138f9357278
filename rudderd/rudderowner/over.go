package rudderowner

import "time"

const (
	// overAdmittedAfter is how long engines must report more work than was granted before it is logged.
	// Holders re-register within a renewal after a change of owner, and reports lag by seconds.
	overAdmittedAfter = 2 * renewInterval
	// overAdmittedEvery bounds the log of a state that lasts.
	overAdmittedEvery = time.Minute
)

// overAdmitted is a group whose engine reports more work than this entry host granted.
type overAdmitted struct {
	since, logged time.Time
}

// watchOverAdmission logs groups that stay over-admitted: another owner grants their slots as well, or a
// holder runs work without a slot. The excess counts as used slots, so that this owner grants less
// meanwhile. o.mu is held.
func (o *Owner) watchOverAdmission(now time.Time) {
	over := map[string]bool{}
	for id, owned := range o.owned {
		if o.rank(id) != 0 {
			continue
		}
		for _, group := range owned.shard.OverAdmitted() {
			over[group] = true
			known := o.over[group]
			if known == nil {
				known = &overAdmitted{since: now}
				o.over[group] = known
			}
			if now.Sub(known.since) < overAdmittedAfter || now.Sub(known.logged) < overAdmittedEvery {
				continue
			}
			known.logged = now
			o.Logger.Warn().Str("group", group).Str("shard", id).Dur("since_ms", now.Sub(known.since)).
				Int("granted", owned.shard.HeldCount(group)).
				Msg("group runs more work than its shard owner granted, a second owner may grant its slots")
		}
	}
	for group := range o.over {
		if !over[group] {
			delete(o.over, group)
		}
	}
}
