package rudderview

import (
	"context"
	"time"

	"comfreyrudder.example/shared/rudderstore"
)

// changesInOutage answers a follower or another watcher while the service does not answer this one. The sync that it tells of
// may be that of another watcher.
func (v *View) changesInOutage(after int64, begin time.Duration) Changes {
	held := v.Uptime() - begin
	age, ok := v.Staleness() // after held and before the changes are read, so that they are at least as new
	c := v.changesAfter(after)
	if !ok || c.Gap || after > c.Revision {
		return Changes{Unavailable: true}
	}
	c.Unavailable, c.Age, c.Held = true, age, held
	return c
}

// lookElsewhere takes over the last sync of another watcher, if it is younger than this entry host's own. An outage that comes
// and goes answers some watchers and not others.
func (v *View) lookElsewhere(ctx context.Context) {
	age, synced := v.Staleness()
	if v.FetchLook == nil || !synced || age < outageAfter {
		return
	}
	begin := v.Uptime()
	if c, err := v.FetchLook(ctx, v.Snapshot().Revision); err == nil {
		v.applyLook(c, begin)
	}
}

// applyLook applies what an entry host has told that does not serve its followers now. It does not show that the service answers.
func (v *View) applyLook(c Changes, begin time.Duration) {
	if c.Serving || c.Gap || c.Revision == 0 || c.Revision < v.Snapshot().Revision {
		return
	}
	if len(c.Events) > 0 || c.Revision > v.Snapshot().Revision {
		v.appendLog(c.Events, c.Revision) // a follower may become a watcher
		v.applyChanges(rudderstore.WatchResult{Events: c.Events, Revision: c.Revision})
	}
	v.markSynced(begin, begin+c.Held-c.Age)
}
