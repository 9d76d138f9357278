package rudderview

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

const (
	// maxLogChanges limits the changes that a watcher keeps for its followers. It is above the number of
	// records of a large fleet, so that a follower which was disconnected for a while does not have to read
	// all of them.
	maxLogChanges = 8192
	// maxFollowedChanges limits the changes that a follower keeps in case it becomes a watcher. The other followers are behind
	// it by less than a second.
	maxFollowedChanges = 1024
	// maxRelayStaleness is the staleness up to which a watcher answers its followers.
	maxRelayStaleness = 2200 * time.Millisecond
	// followerTimeout is how long a watcher assumes that it has followers after their last call.
	followerTimeout = 3 * time.Second
	// relayWait is how long a follower's call waits for a change, unless its last sync is old. The staleness of a follower exceeds
	// that of its watcher by at most this time.
	relayWait = 600 * time.Millisecond
	// relayPause is the pause of a follower after an answer with changes.
	relayPause = 100 * time.Millisecond
	// defaultRelayBytes applies where View.RelayBytes is not set.
	defaultRelayBytes = 64 << 10
	// gapWatchTime is how long a follower watches the service itself when it has missed changes and cannot
	// fetch the records from a watcher.
	gapWatchTime = 500 * time.Millisecond
	// followRetry is how long a follower watches the service itself after a failed call to its watcher.
	followRetry = 3 * time.Second
)

// outageProbeInterval is the time between two watches of its own by a follower whose watchers report an
// outage. The service may refuse only the watchers, but calls from hundreds of hosts would keep an overloaded
// service overloaded.
const outageProbeInterval = 3 * time.Second

// errServiceUnavailable reports that the service does not answer the watchers.
var errServiceUnavailable = errors.New("view: the key-value service does not answer the watchers")

// errGap reports that the watcher no longer has all changes after the follower's revision, or cannot pass
// them on.
var errGap = errors.New("view: the watcher lacks changes after this revision, or they are too large to relay")

// errNoWatcher reports that there is no watcher to follow at present.
var errNoWatcher = errors.New("view: no watcher to follow")

// Changes is the answer of a watcher to a follower.
type Changes struct {
	// Serving is false when the answering entry host does not watch the service or its view is too stale.
	Serving bool
	// Unavailable is set when the answering entry host watches the service, and the service does not answer. The answer then
	// tells what it knows since its last sync, if Revision is not 0.
	Unavailable bool
	// Gap is set when not all changes after the requested revision are known any more, or when they are too
	// large to pass on.
	Gap      bool
	Revision int64
	Events   []rudderstore.Event
	// Age is the staleness of the answer when it was sent. Held is how long the call waited before.
	Age, Held time.Duration
}

// appendLog adds changes to the log for followers. It is called only by the goroutine of Run.
func (v *View) appendLog(events []rudderstore.Event, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range events {
		if e.Key != SecretKey {
			v.log = append(v.log, e)
		}
	}
	v.logRevision = max(v.logRevision, revision)
	if v.direct.Load() {
		v.trimLog(maxLogChanges, math.MaxInt)
		return
	}
	// When a follower becomes a watcher, the other followers are behind it.
	v.trimLog(maxFollowedChanges, v.relayBytes())
}

// trimLog bounds the number and the size of the changes in the log. The caller holds v.mu.
func (v *View) trimLog(most, mostBytes int) {
	if len(v.log) <= most && bytesOf(v.log) <= mostBytes {
		return
	}
	v.log = lastOfEachKey(v.log)
	for size := bytesOf(v.log); len(v.log) > most || size > mostBytes; v.log = v.log[1:] {
		size -= len(v.log[0].Value)
		v.logFrom = v.log[0].Revision
	}
}

func bytesOf(events []rudderstore.Event) int {
	size := 0
	for _, e := range events {
		size += len(e.Value)
	}
	return size
}

// lastOfEachKey returns the last change of each key, in the order of the changes. Whatever revision a
// follower is at, it needs no earlier changes.
func lastOfEachKey(log []rudderstore.Event) []rudderstore.Event {
	seen := make(map[string]bool, len(log))
	kept := make([]rudderstore.Event, 0, len(log))
	for _, e := range slices.Backward(log) {
		if !seen[e.Key] {
			seen[e.Key] = true
			kept = append(kept, e)
		}
	}
	slices.Reverse(kept)
	return kept
}

// resetLog discards the log, because the changes up to the revision did not come from a watch.
func (v *View) resetLog(revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.log, v.logFrom, v.logRevision = nil, revision, revision
}

// Changes answers a follower's long poll. The call of a follower that knows of an outage waits for the end of
// the outage, at most for the given time.
func (v *View) Changes(ctx context.Context, after int64, wait time.Duration, inOutage bool) Changes {
	begin := v.Uptime()
	v.noteFollower(begin, wait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; ; {
		changed := v.Changed()
		held := v.Uptime() - begin // before the age, so that the answer is at least as old as it says
		age, ok := v.Staleness()
		switch failing, direct := v.failing.Load(), v.direct.Load(); {
		case failing && direct && inOutage && waiting:
		case failing && direct:
			return v.changesInOutage(after, begin)
		case !ok || age > maxRelayStaleness || !direct || failing:
			return Changes{}
		default:
			c := v.changesAfter(after)
			if c.Gap || len(c.Events) > 0 || !waiting {
				c.Serving, c.Age, c.Held = true, age, held
				return c
			}
		}
		select {
		case <-ctx.Done():
			return Changes{}
		case <-changed:
		case <-timer.C:
			waiting = false
		}
	}
}

// noteFollower records a call of a follower. One that does not wait may be that of another watcher.
func (v *View) noteFollower(now, wait time.Duration) {
	if wait > 0 {
		v.lastFollower.Store(int64(now))
	}
}

// hasFollowers reports whether other entry hosts follow this one.
func (v *View) hasFollowers() bool {
	last := v.lastFollower.Load()
	return last > 0 && v.Uptime()-time.Duration(last) < followerTimeout
}

// notifyWaiters closes the channel that Changed returned.
func (v *View) notifyWaiters() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.changed != nil {
		close(v.changed)
	}
	v.changed = make(chan struct{})
}

func (v *View) relayBytes() int {
	if v.RelayBytes > 0 {
		return v.RelayBytes
	}
	return defaultRelayBytes
}

// changesAfter returns the logged changes after a revision. A follower may be ahead, because it has followed another watcher: it
// then lacks nothing that this watcher knows.
func (v *View) changesAfter(after int64) Changes {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := Changes{Revision: v.logRevision, Gap: after < v.logFrom}
	first := len(v.log)
	for first > 0 && v.log[first-1].Revision > after {
		first--
	}
	// While groups form, targets write their records several times a second.
	c.Events = lastOfEachKey(v.log[first:])
	if bytesOf(c.Events) > v.relayBytes() {
		c.Gap, c.Events = true, nil
	}
	return c
}

// followOnce fetches changes from a watcher once and applies them.
func (v *View) followOnce(ctx context.Context) error {
	if v.FetchChanges == nil || v.Uptime() < v.followAfter || v.Urgent != nil && v.Urgent() {
		return errNoWatcher
	}
	wait := relayWait
	if !v.watchersInOutage {
		wait = v.boundWait(wait, 0)
	}
	begin := v.Uptime()
	c, err := v.FetchChanges(ctx, v.Snapshot().Revision, wait, v.watchersInOutage)
	v.applyLook(c, begin)
	if err := v.checkChanges(c, err, begin); err != nil {
		return err
	}
	v.direct.Store(false)
	if len(c.Events) > 0 || c.Revision > v.Snapshot().Revision {
		v.appendLog(c.Events, c.Revision)
		v.applyChanges(rudderstore.WatchResult{Events: c.Events, Revision: c.Revision})
	}
	v.markSynced(begin, begin+c.Held-c.Age)
	if len(c.Events) > 0 {
		sleep(ctx, relayPause)
	}
	return nil
}

// checkChanges returns nil if a watcher's answer can be applied, or else the reason. It also updates the
// state that decides whether the next sync follows a watcher or watches the service.
func (v *View) checkChanges(c Changes, err error, now time.Duration) error {
	v.watchersInOutage, v.probing = err == nil && c.Unavailable, false
	switch {
	case errors.Is(err, errNoWatcher) || errors.Is(err, ErrWatcher):
		return errNoWatcher
	case v.watchersInOutage && v.ownWatchFailed && now-v.ownWatchAt < outageProbeInterval:
		return errServiceUnavailable
	case v.watchersInOutage:
		v.probing = true
		return errNoWatcher
	case err != nil || !c.Serving || rudderstore.EraStart(c.Revision) < rudderstore.EraStart(v.Snapshot().Revision):
		v.followAfter = v.Uptime() + followRetry
		v.Logger.Info().Err(err).Bool("serving", c.Serving).Msg("no usable watcher; watching the key-value service directly")
		return errNoWatcher
	case c.Gap && c.Revision > 0 && c.Revision < v.Snapshot().Revision:
		// This host has read newer records than the watcher, and would read all of them again until the watcher catches up.
		v.followAfter = v.Uptime() + gapWatchTime
		return errNoWatcher
	case c.Gap && v.FetchRecords != nil:
		return errGap
	case c.Gap:
		v.followAfter = v.Uptime() + gapWatchTime
		return errNoWatcher
	}
	return nil
}

// ErrWatcher is returned by View.FetchChanges on an entry host that is itself a watcher.
var ErrWatcher = errors.New("view: this entry host watches the key-value service itself")
