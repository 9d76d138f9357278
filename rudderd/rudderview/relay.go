package rudderview

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

const (
	// relayLog bounds the changes that are kept for followers.
	relayLog = 4096
	// relayAge is the greatest age of a look that is passed on.
	relayAge = 2200 * time.Millisecond
	// followedFor is how long an entry host counts as followed after the last call of a follower.
	followedFor = 3 * time.Second
	// relayWait is how long a follower's call waits for a change. A follower's look is at most this much
	// older than the look that it follows.
	relayWait = 600 * time.Millisecond
	// relayPause is the time between two calls of a follower while changes come quickly.
	relayPause = 100 * time.Millisecond
	// relayBytes bounds what one answer passes on: to 24 followers over a link of 14 Mbit/s it takes 0.9 s. A
	// routing document of several hundred kilobytes would be in force too late; followers read it themselves.
	relayBytes = 64 << 10
	// relayGap is how long a follower that lacks changes watches the service itself.
	relayGap = 500 * time.Millisecond
	// relayRetry is how long a follower watches the service itself after a failed call.
	relayRetry = 3 * time.Second
)

// errNotFollowed reports that there is nobody to follow now.
var errNotFollowed = errors.New("view: nobody to follow")

// Changes is what an entry host that watches the service tells its followers.
type Changes struct {
	// Serving is false when this entry host does not watch the service or has not heard from it lately.
	Serving bool
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
	if over := len(v.log) - relayLog; over > 0 {
		v.logFrom = v.log[over-1].Revision
		v.log = slices.Delete(v.log, 0, over)
	}
	v.logRevision = max(v.logRevision, revision)
}

// restart forgets all changes, because all records were read anew.
func (v *View) restart(revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.log, v.logFrom, v.logRevision = nil, revision, revision
}

// Changes answers a follower.
func (v *View) Changes(ctx context.Context, after int64, wait time.Duration) Changes {
	begin := v.Uptime()
	v.lastFollower.Store(int64(begin))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; ; {
		changed := v.Changed()
		age, ok := v.LookAge()
		if !ok || age > relayAge || !v.direct.Load() || v.failing.Load() {
			return Changes{}
		}
		c := v.changesAfter(after)
		if c.Gap || len(c.Events) > 0 || !waiting {
			c.Serving, c.Age, c.Held = true, age, v.Uptime()-begin
			return c
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

func (v *View) changesAfter(after int64) Changes {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := Changes{Revision: v.logRevision, Gap: after < v.logFrom || after > v.logRevision}
	size := 0
	seen := map[string]bool{}
	for _, e := range slices.Backward(v.log) {
		if e.Revision <= after {
			break
		}
		// The last change of a key holds; targets write their records several times a second while groups form.
		if !seen[e.Key] {
			seen[e.Key] = true
			c.Events = append(c.Events, e)
			size += len(e.Value)
		}
	}
	slices.Reverse(c.Events)
	if size > relayBytes {
		c.Gap, c.Events = true, nil
	}
	return c
}

// follow asks another entry host for changes once.
func (v *View) follow(ctx context.Context) error {
	if v.Follow == nil || v.Uptime() < v.alone || v.Hurry != nil && v.Hurry() {
		return errNotFollowed
	}
	begin := v.Uptime()
	c, err := v.Follow(ctx, v.Snapshot().Revision, relayWait)
	switch {
	case errors.Is(err, errNotFollowed) || errors.Is(err, ErrWatcher):
		return errNotFollowed
	case err == nil && c.Serving && c.Gap:
		v.alone = v.Uptime() + relayGap
		return errNotFollowed
	case err != nil || !c.Serving:
		v.alone = v.Uptime() + relayRetry
		v.Logger.Info().Err(err).Bool("serving", c.Serving).Msg("watching the key-value service here")
		return errNotFollowed
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

// ErrWatcher is returned by View.Follow on an entry host that others follow.
var ErrWatcher = errors.New("view: this entry host watches the service")
