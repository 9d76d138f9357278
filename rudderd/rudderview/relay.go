package rudderview

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

const (
	// relayLog bounds the changes that are kept for followers. It is above the number of records of a large fleet, so
	// that a follower which was away for a while needs no list of all of them.
	relayLog = 8192
	// relayAge is the greatest age of a look that is passed on.
	relayAge = 2200 * time.Millisecond
	// followedFor is how long an entry host counts as followed after the last call of a follower.
	followedFor = 3 * time.Second
	// relayWait is how long a follower's call waits for a change. A follower's look is at most this much
	// older than the look that it follows.
	relayWait = 600 * time.Millisecond
	// relayPause is the time between two calls of a follower while changes come quickly.
	relayPause = 100 * time.Millisecond
	// defaultRelayBytes applies where View.RelayBytes is not set.
	defaultRelayBytes = 64 << 10
	// relayGap is how long a follower that lacks changes and cannot copy a snapshot watches the service itself.
	relayGap = 500 * time.Millisecond
	// relayRetry is how long a follower watches the service itself after a failed call.
	relayRetry = 3 * time.Second
)

// awayProbe is the time between two looks of its own of an entry host whose watchers say that the service is away. The
// service may refuse only the watchers; calls of hundreds of hosts to a busy service keep it busy.
const awayProbe = 3 * time.Second

// errServiceAway reports that the service does not answer the entry hosts that are followed.
var errServiceAway = errors.New("view: the service does not answer the watchers")

// errGap reports changes that the watcher no longer has or cannot pass on.
var errGap = errors.New("view: changes are missing")

// errNotFollowed reports that there is nobody to follow now.
var errNotFollowed = errors.New("view: nobody to follow")

// Changes is what an entry host that watches the service tells its followers.
type Changes struct {
	// Serving is false when this entry host does not watch the service or has not heard from it lately.
	Serving bool
	// Unavailable is set when this entry host watches the service, and the service does not answer.
	Unavailable bool
	// Gap is set when not all changes after the revision are known any more, or are too large to pass on.
	Gap      bool
	Revision int64
	Events   []rudderstore.Event
	// Age of the last look when the answer was given, and Held, how long the call was held.
	Age, Held time.Duration
}

// remember keeps changes for followers. The caller is the goroutine of Run.
func (v *View) remember(events []rudderstore.Event, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range events {
		if e.Key != SecretKey {
			v.log = append(v.log, e)
		}
	}
	if len(v.log) > relayLog {
		v.log = lastOfEachKey(v.log)
	}
	if over := len(v.log) - relayLog; over > 0 {
		v.logFrom = v.log[over-1].Revision
		v.log = slices.Delete(v.log, 0, over)
	}
	v.logRevision = max(v.logRevision, revision)
}

// lastOfEachKey returns the last change of each key, in the order of the changes. A follower needs no earlier ones,
// wherever it starts.
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

// restart forgets all changes, because all records were read anew.
func (v *View) restart(revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.log, v.logFrom, v.logRevision = nil, revision, revision
}

// Changes answers a follower. A follower that knows of an outage is held until the service is back.
func (v *View) Changes(ctx context.Context, after int64, wait time.Duration, away bool) Changes {
	begin := v.Uptime()
	v.lastFollower.Store(int64(begin))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; ; {
		changed := v.Changed()
		age, ok := v.Staleness()
		switch failing := v.failing.Load(); {
		case failing && v.direct.Load() && away && waiting:
		case !ok || age > relayAge || !v.direct.Load() || failing:
			return Changes{Unavailable: failing && v.direct.Load()}
		default:
			c := v.changesAfter(after)
			if c.Gap || len(c.Events) > 0 || !waiting {
				c.Serving, c.Age, c.Held = true, age, v.Uptime()-begin
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

// followed reports whether other entry hosts follow this one.
func (v *View) followed() bool {
	last := v.lastFollower.Load()
	return last > 0 && v.Uptime()-time.Duration(last) < followedFor
}

// wake wakes all that wait for a change.
func (v *View) wake() {
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

func (v *View) changesAfter(after int64) Changes {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := Changes{Revision: v.logRevision, Gap: after < v.logFrom || after > v.logRevision}
	first := len(v.log)
	for first > 0 && v.log[first-1].Revision > after {
		first--
	}
	// Targets write their records several times a second while groups form.
	c.Events = lastOfEachKey(v.log[first:])
	size := 0
	for _, e := range c.Events {
		size += len(e.Value)
	}
	if size > v.relayBytes() {
		c.Gap, c.Events = true, nil
	}
	return c
}

// follow asks another entry host for changes once.
func (v *View) follow(ctx context.Context) error {
	if v.FetchChanges == nil || v.Uptime() < v.alone || v.Urgent != nil && v.Urgent() {
		return errNotFollowed
	}
	begin := v.Uptime()
	c, err := v.FetchChanges(ctx, v.Snapshot().Revision, relayWait, v.away)
	if err := v.usable(c, err, begin); err != nil {
		return err
	}
	v.direct.Store(false)
	if len(c.Events) > 0 || c.Revision > v.Snapshot().Revision {
		v.take(rudderstore.WatchResult{Events: c.Events, Revision: c.Revision})
	}
	v.looked(begin, begin+c.Held-c.Age)
	if len(c.Events) > 0 {
		sleep(ctx, relayPause)
	}
	return nil
}

// usable says why a watcher's answer cannot be taken, or nil, and notes what to do next.
func (v *View) usable(c Changes, err error, now time.Duration) error {
	v.away, v.probing = err == nil && c.Unavailable, false
	switch {
	case errors.Is(err, errNotFollowed) || errors.Is(err, ErrWatcher):
		return errNotFollowed
	case v.away && v.ownFailed && now-v.tried < awayProbe:
		return errServiceAway
	case v.away:
		v.probing = true
		return errNotFollowed
	case err != nil || !c.Serving:
		v.alone = v.Uptime() + relayRetry
		v.Logger.Info().Err(err).Bool("serving", c.Serving).Msg("watching the key-value service here")
		return errNotFollowed
	case c.Gap && v.FetchRecords != nil:
		return errGap
	case c.Gap:
		v.alone = v.Uptime() + relayGap
		return errNotFollowed
	}
	return nil
}

// ErrWatcher is returned by View.Follow on an entry host that others follow.
var ErrWatcher = errors.New("view: this entry host watches the service")
