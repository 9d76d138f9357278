package rudderowner

import "time"

const (
	// overAdmissionLogDelay is how long engines must report more work than was granted before it is logged.
	// After a change of owner the holders register their slots within one renewal, and reports lag by
	// seconds.
	overAdmissionLogDelay = 2 * renewInterval
	// overAdmissionLogInterval limits how often a lasting over-admission is logged.
	overAdmissionLogInterval = time.Minute
)

// overAdmitted is a group whose engine reports more work than this entry host granted.
type overAdmitted struct {
	since, logged time.Time
}

// logOverAdmission logs groups that stay over-admitted: another owner grants their slots as well, or a holder
// runs work without a slot. Meanwhile the excess counts as used slots, so this owner grants fewer. o.mu is
// held.
func (o *Owner) logOverAdmission(now time.Time) {
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
			if now.Sub(known.since) < overAdmissionLogDelay || now.Sub(known.logged) < overAdmissionLogInterval {
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
