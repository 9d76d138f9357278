package rudderview

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

const (
	// watchWait is how long a watch waits for a change. An idle entry host that watches makes one call in
	// this time.
	watchWait = 1200 * time.Millisecond
	// followedWait and followedTimeout are the same, and the time beyond it, for an entry host that others
	// follow: they must notice soon that it has lost the service, and watch it themselves.
	followedWait    = 500 * time.Millisecond
	followedTimeout = 350 * time.Millisecond
	// firstWait is the wait of the first watch after a failure, so that the age of the look recovers.
	firstWait = 50 * time.Millisecond
	// watchTimeout bounds a watch beyond its wait; a connection may have gone silent.
	watchTimeout = 700 * time.Millisecond
	// listTimeout bounds a read of all records.
	listTimeout = 3 * time.Second
	// hurriedPause is the time between two watches while changes come quickly, for an entry host that
	// acts on each change.
	hurriedPause = 20 * time.Millisecond
	// retryPause is the time after the first unanswered call. It doubles with each further one up to
	// retryLongest: a service that refuses calls because it is busy would get hundreds of calls a second from a
	// hundred entry hosts.
	retryPause   = 150 * time.Millisecond
	retryLongest = 1200 * time.Millisecond
	// outageAfter is the time without an answer after which the service counts as away.
	outageAfter = time.Second
)

// OutageDetectionTime is the age that a look may reach before an entry host that watches the service notices that the service
// does not answer.
const OutageDetectionTime = watchWait + watchTimeout

// Run follows the key-value service until the context ends.
func (v *View) Run(ctx context.Context) error {
	v.gone = map[string]time.Duration{}
	wait := firstWait
	listed, failures, first := false, 0, true
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = v.list(ctx, first)
			listed, first = err == nil, false
		} else {
			err = v.watch(ctx, wait)
		}
		switch {
		case ctx.Err() != nil:
		case err == nil:
			wait, failures = watchWait, 0
			if _, looked := v.Staleness(); !looked || v.partial {
				wait = firstWait
			}
			v.dropDue()
		case errors.Is(err, rudderstore.ErrCompacted):
			v.Logger.Warn().Msg("key-value service dropped its history; reading all records")
			listed = false
		case errors.Is(err, errGap):
			v.Logger.Info().Int64("revision", v.Snapshot().Revision).Msg("changes are missing; reading all records")
			listed = false
		case errors.Is(err, rudderstore.ErrIncomplete) && listed:
			// The changes do not fit the link in time. They become more, while a snapshot of all records does not.
			v.failed(err)
			listed = false
		case errors.Is(err, errServiceAway):
			v.failed(err) // the next call is held by a watcher until the service is back
			sleep(ctx, relayPause)
		default:
			v.failed(err)
			wait = firstWait
			failures++
			sleep(ctx, RetryAfter(failures, rand.Float64()))
		}
	}
	return nil
}

// RetryAfter is the pause after a number of calls to the key-value service in a row that failed. chance, 0 to 1,
// spreads the entry hosts over the second half of the pause.
func RetryAfter(failures int, chance float64) time.Duration {
	longest := min(retryPause<<min(failures-1, 8), retryLongest)
	return longest/2 + time.Duration(chance*float64(longest)/2)
}

// answered notes that the service answers, before what it says is taken.
func (v *View) answered() {
	if v.outage {
		v.outage = false
		v.returned = v.Uptime()
		v.Logger.Info().Dur("away_ms", v.returned-v.failingSince).Msg("key-value service is back")
	}
	v.failingSince = 0
	v.failing.Store(false)
	v.unreachable.Store(false)
}

// failed notes an unanswered look and logs the begin of an outage once.
func (v *View) failed(err error) {
	if v.failingSince == 0 {
		v.failingSince = v.Uptime()
		v.failing.Store(true)
		v.wake()
	}
	// A service whose answer does not arrive whole may have changes that are not known here.
	v.unreachable.Store(!errors.Is(err, rudderstore.ErrIncomplete))
	if !v.outage && v.Uptime()-v.failingSince >= outageAfter {
		v.outage = true
		v.Logger.Error().Err(err).Msg("key-value service is away")
	}
}

// list reads all records and replaces the snapshot. The first list of a fleet may be an older snapshot: all entry
// hosts read it, and the watch that follows brings it up to date before anything is served from it. Later on the changes
// since an older snapshot may be many, and a service that has dropped its history has none of them.
func (v *View) list(ctx context.Context, first bool) error {
	stale := first && v.Store.ListStale != nil
	if v.FetchRecords != nil {
		err := v.copied(ctx)
		if err == nil {
			return nil
		}
		stale = stale && errors.Is(err, ErrFirstStart)
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	begin := v.Uptime()
	read := v.Store.List
	if stale {
		read = v.Store.ListStale
	}
	entries, revision, err := read(ctx, "")
	if err != nil {
		return err
	}
	v.answered()
	v.replace(entries, revision)
	v.Logger.Info().Int("records", len(entries)).Bool("may_be_stale", stale).Int64("revision", revision).Dur("took_ms", v.Uptime()-begin).
		Msg("all records read")
	v.direct.Store(true)
	if !stale {
		v.looked(begin, begin)
	}
	return nil
}

// replace takes a list of all records as the snapshot.
func (v *View) replace(entries []rudderstore.Entry, revision int64) {
	v.keep(entries, revision)
	v.writing.Lock()
	defer v.writing.Unlock()
	s := v.edit()
	old := s.Targets
	s.Targets, s.EntryHosts = map[string]*Target{}, nil
	s.Plans, s.Suspicions = map[string]PlanRecord{}, map[string]Suspicion{}
	s.PlannerHeld, s.PlannerName = false, ""
	v.listing = true
	for _, e := range entries {
		v.apply(s, e)
	}
	v.listing = false
	for name, target := range old {
		if s.Targets[name] == nil {
			s.Targets[name] = target
			v.removeTarget(s, name)
		}
	}
	s.Revision = revision
	v.restart(revision)
	v.publish(s)
}

// watch waits for changes once and takes them.
func (v *View) watch(ctx context.Context, wait time.Duration) error {
	switch err := v.follow(ctx); {
	case ctx.Err() != nil:
		return ctx.Err()
	case err == nil:
		v.answered()
		return nil
	case errors.Is(err, errServiceAway) || errors.Is(err, errGap):
		return err
	}
	v.tried = v.Uptime()
	if !v.direct.Load() {
		v.restart(v.Snapshot().Revision)
		v.direct.Store(true)
	}
	begin := v.Uptime()
	beyond := watchTimeout
	if v.followed() {
		wait, beyond = min(wait, followedWait), followedTimeout
	}
	watchContext, cancel := context.WithTimeout(ctx, wait+beyond)
	defer cancel()
	result, err := v.Store.Watch(watchContext, rudderstore.WatchRequest{
		Prefixes: []string{""}, After: v.Snapshot().Revision, Wait: wait,
	})
	v.ownFailed = err != nil
	if err != nil {
		return err
	}
	if v.probing {
		v.probing, v.alone = false, v.Uptime()+relayRetry // the service refuses the watchers alone
	}
	failed := v.failing.Load()
	v.answered()
	v.remember(result.Events, result.Revision)
	if len(result.Events) > 0 || result.Revision != v.Snapshot().Revision {
		v.take(result)
	}
	if v.partial = !whole(result.Events); v.partial {
		v.Logger.Info().Int("changes", len(result.Events)).Int64("revision", result.Revision).Msg("many changes; there may be more")
		return nil
	}
	// The answer may have waited for this process, or taken long to arrive: it tells what was before the call.
	v.looked(begin, begin)
	if failed {
		v.wake() // followers wait for the end of the outage
	}
	if len(result.Events) > 0 {
		v.rest(ctx)
	}
	return nil
}

const (
	// wholeEvents and wholeBytes are the size below which an answer surely holds all changes. The service may cut its
	// answers, as it does its lists at about 500 items or 1 MB, encoded; an answer that may have been cut says nothing of
	// what comes after it, and is followed by the next call without a pause.
	wholeEvents = 250
	wholeBytes  = 400 << 10
)

func whole(events []rudderstore.Event) bool {
	size := 0
	for _, e := range events {
		size += len(e.Value)
	}
	return len(events) < wholeEvents && size < wholeBytes
}

// rest lets changes gather, unless they are wanted at once.
func (v *View) rest(ctx context.Context) {
	pause := v.BatchPause
	if v.Urgent != nil && v.Urgent() {
		pause = hurriedPause
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-v.nudges():
	}
}

// SkipBatchPause ends the pause between two watches, because another entry host knows something that this one does
// not.
func (v *View) SkipBatchPause() {
	select {
	case v.nudges() <- struct{}{}:
	default:
	}
}

func (v *View) nudges() chan struct{} {
	v.nudgeOnce.Do(func() { v.nudge = make(chan struct{}, 1) })
	return v.nudge
}

func (v *View) take(result rudderstore.WatchResult) {
	v.keepChanges(result.Events, result.Revision)
	v.writing.Lock()
	defer v.writing.Unlock()
	s := v.edit()
	for _, e := range result.Events {
		if e.Deleted {
			v.remove(s, e.Entry)
		} else {
			v.apply(s, e.Entry)
		}
	}
	s.Revision = max(s.Revision, result.Revision)
	v.publish(s)
}

// looked records the time as of which every change is known.
func (v *View) looked(begin, asOf time.Duration) {
	if int64(asOf) > v.look.Load() {
		v.look.Store(int64(asOf))
	}
	v.lookedOnce.Do(func() {
		v.lookedAt.Store(max(int64(v.Uptime()), 1))
		close(v.lookedChannel())
	})
	if v.OnSync != nil {
		v.OnSync(v.Uptime() - begin)
	}
}

// dropDue drops the targets that did not come back after an outage.
func (v *View) dropDue() {
	var due []string
	for name, until := range v.pending {
		if v.Uptime() >= until {
			due = append(due, name)
		}
	}
	if len(due) == 0 {
		return
	}
	v.writing.Lock()
	defer v.writing.Unlock()
	s := v.edit()
	for _, name := range due {
		v.dropTarget(s, name, "record did not come back after an outage")
	}
	v.publish(s)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
