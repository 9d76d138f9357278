package rudderview

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

const (
	// watchWait is how long a watch waits for a change. An idle watcher makes one call in this time.
	watchWait = 600 * time.Millisecond
	// followedWait and followedTimeout replace watchWait and watchTimeout on an entry host that has
	// followers: they must be notified early that it has lost the service, so that they can watch the service
	// themselves.
	followedWait    = 500 * time.Millisecond
	followedTimeout = 350 * time.Millisecond
	// firstWait is how long the first watch waits after a start or a failure. It is short, so that the
	// staleness is known early.
	firstWait = 50 * time.Millisecond
	// watchTimeout is added to the wait to bound a watch, because a connection may hang.
	watchTimeout = 500 * time.Millisecond
	// urgentPause replaces BatchPause while View.Urgent is true.
	urgentPause = 20 * time.Millisecond
	// outageAfter is the time without an answer after which the service is considered to be in an outage.
	outageAfter = time.Second
)

// OutageDetectionTime is the staleness that a watcher may reach before it detects that the service does not
// answer: a watch proves the state as of its start, and the next one has to fail.
const OutageDetectionTime = 2*watchWait + watchTimeout

// Run keeps the snapshot up to date until the context ends: it reads all records, then follows a watcher or
// watches the service, and reads all records again after it missed changes.
func (v *View) Run(ctx context.Context) error {
	v.removedAt, v.startedAt = map[string]time.Duration{}, v.Uptime()
	v.running.Store(true)
	wait := firstWait
	listed, failures, first := false, 0, true
	b := v.startBootstrap(ctx)
	for ctx.Err() == nil {
		var err error
		if !listed {
			if b.ended {
				b = v.startBootstrap(ctx)
			}
			err = v.readAll(b, first)
			listed, first = err == nil, first && errors.Is(err, errNoOtherHost)
		} else {
			err = v.watch(ctx, wait)
		}
		switch {
		case ctx.Err() != nil:
		case err == nil:
			wait, failures = watchWait, 0
			if _, synced := v.Staleness(); !synced || v.partial || b.adopted {
				wait, b.adopted = firstWait, false
			}
			v.dropExpired()
		case errors.Is(err, rudderstore.ErrCompacted):
			v.Logger.Warn().Msg("key-value service compacted its history; reading all records")
			listed = false
		case errors.Is(err, errGap):
			v.Logger.Info().Int64("revision", v.Snapshot().Revision).Msg("watcher cannot relay all changes; reading all records")
			listed = false
		case errors.Is(err, rudderstore.ErrIncomplete) && listed:
			// The link is too slow for the changes. Their number grows with each attempt, while that of all
			// records does not.
			v.markFailed(err)
			listed = false
		case errors.Is(err, errNoOtherHost):
			sleep(b.reads, firstAnswerPause)
		case errors.Is(err, errServiceUnavailable):
			v.markFailed(err) // the watcher holds the next call until the outage ends
			sleep(ctx, relayPause)
		default:
			v.markFailed(err)
			wait = firstWait
			failures++
			retryAt := v.Uptime() + v.retryAfter(failures)
			v.lookElsewhere(ctx)
			v.pauseUntilRetry(b.reads, retryAt-v.Uptime())
		}
	}
	return nil
}

// markAnswered records that the service answers, and that its answer has been applied.
func (v *View) markAnswered() {
	v.endOutage()
	v.markReachable()
}

// endOutage records that the service answers. It is called before the answer is applied, which may defer removals after an
// outage. Until that is done and markReachable called, the last sync is as old as before, for followers too.
func (v *View) endOutage() {
	if v.outage {
		v.outage = false
		v.recoveredAt = v.Uptime()
		v.Logger.Info().Dur("away_ms", v.recoveredAt-v.failingSince).Msg("key-value service is available again")
	}
	v.failingSince, v.ownWatchFailed = 0, false
}

// markReachable makes this entry host answer its followers again after failed calls.
func (v *View) markReachable() {
	v.unreachable.Store(false)
	if v.failing.Swap(false) {
		v.notifyWaiters() // followers wait for the end of the outage
	}
}

// markFailed records a failed call and logs the start of an outage once.
func (v *View) markFailed(err error) {
	if v.failingSince == 0 {
		v.failingSince = v.Uptime()
		v.failing.Store(true)
		v.notifyWaiters()
	}
	// A service whose answer arrives incomplete is up, and may have changes that this entry host does not know.
	v.unreachable.Store(!errors.Is(err, rudderstore.ErrIncomplete))
	if !v.outage && v.Uptime()-v.failingSince >= outageAfter {
		v.outage = true
		v.Logger.Error().Err(err).Msg("key-value service is unavailable")
	}
}

// list reads all records and replaces the snapshot. At the first start of a fleet the list may be stale,
// because all entry hosts read it, and the watch that follows brings it up to date before anything is served
// from it. Later there may be too many changes since a stale list, and a service that has compacted its
// history no longer has them.
func (v *View) list(ctx context.Context, first bool) error {
	stale := first && v.Store.ListStale != nil
	if v.FetchRecords != nil {
		err := v.loadFromPeer(ctx)
		if err == nil {
			return nil
		}
		stale = stale && errors.Is(err, ErrFirstStart)
	}
	ctx, cancel := v.readContext(ctx, stale)
	defer cancel()
	begin := v.Uptime()
	read := v.Store.List
	if stale {
		read = v.Store.ListStale
	}
	entries, revision, err := read(ctx, "")
	v.noteRead(ctx, err)
	if err != nil {
		return err
	}
	restored := v.isRestored(revision)
	if restored {
		v.askNewerRouting(ctx) // before the service counts as available: requests are served as in its outage until then
	}
	v.endOutage()
	defer v.markReachable() // after the sync
	v.replace(entries, revision)
	if first && rudderstore.EraStart(revision) > 0 && !v.askNewerRouting(ctx) && v.Uptime()-v.startedAt < firstAnswerTime {
		return errNoOtherHost
	}
	v.Logger.Info().Int("records", len(entries)).Bool("may_be_stale", stale).Bool("restored", restored).Int64("revision", revision).Dur("took_ms", v.Uptime()-begin).
		Msg("all records read")
	v.direct.Store(true)
	if !stale {
		v.markSynced(begin, begin)
	}
	return nil
}

// noteRemovals remembers the records that changes remove, before they are applied.
func (v *View) noteRemovals(events []rudderstore.Event) {
	for _, e := range events {
		if e.Deleted {
			v.noteEnded(e.Key)
		} else {
			delete(v.ended, e.Key)
		}
	}
}

// replace builds the snapshot anew from a list of all records.
func (v *View) replace(entries []rudderstore.Entry, revision int64) {
	before := v.Snapshot()
	restored := v.isRestored(revision)
	if restored {
		entries = v.withoutEnded(entries)
		v.mu.Lock()
		v.lostRecords = v.records
		v.mu.Unlock()
	}
	listed := keysOf(entries)
	v.setRecords(entries, revision)
	v.snapshotMu.Lock()
	defer v.snapshotMu.Unlock()
	s := v.cloneSnapshot()
	old := s.Targets
	s.Targets, s.EntryHosts = map[string]*Target{}, nil
	s.Plans, s.Suspicions = map[string]PlanRecord{}, map[string]Suspicion{}
	s.evacuated = map[string]bool{}
	s.PlannerHeld, s.PlannerName = false, ""
	v.listing = true
	for _, e := range entries {
		v.apply(s, e)
	}
	v.listing = false
	s.Revision = revision
	if restored {
		v.keepNewer(s, before)
		v.lostRecords = nil
		if v.OnRestored != nil {
			v.OnRestored(listed)
		}
	}
	v.noteFormer(before.EntryHosts, func(x EntryHost) bool { return !s.hasEntryHost(x.Name) })
	for name, target := range old {
		if s.Targets[name] == nil && !listed[v.Keys.TargetPrefix+name] { // a listed one is malformed
			s.Targets[name] = target
			v.removeTarget(s, name)
		}
	}
	v.resetLog(revision)
	v.publish(s)
	v.hasRecords.Store(true)
}

func keysOf(entries []rudderstore.Entry) map[string]bool {
	keys := make(map[string]bool, len(entries))
	for _, e := range entries {
		keys[e.Key] = true
	}
	return keys
}

// watch waits for changes once, at a watcher or else at the service, and applies them.
func (v *View) watch(ctx context.Context, wait time.Duration) error {
	switch err := v.followOnce(ctx); {
	case ctx.Err() != nil:
		return ctx.Err()
	case err == nil:
		v.markAnswered()
		return nil
	case errors.Is(err, errServiceUnavailable) || errors.Is(err, errGap):
		return err
	}
	v.ownWatchAt = v.Uptime()
	v.direct.Store(true)
	if v.probing {
		wait = firstWait // requests may be refused until it is known whether the service is down
	}
	begin := v.Uptime()
	beyond := watchTimeout
	if v.hasFollowers() {
		wait, beyond = min(wait, followedWait), followedTimeout
	}
	wait = v.boundWait(wait, beyond)
	watchContext, cancel := context.WithTimeout(ctx, wait+beyond)
	defer cancel()
	result, err := v.Store.Watch(watchContext, rudderstore.WatchRequest{
		Prefixes: []string{""}, After: v.Snapshot().Revision, Wait: wait,
	})
	// A service that lacks the changes, or whose answer arrives incomplete, has answered.
	v.ownWatchFailed = err != nil && !errors.Is(err, rudderstore.ErrCompacted) && !errors.Is(err, rudderstore.ErrIncomplete)
	if err != nil {
		return err
	}
	if v.probing {
		v.probing, v.followAfter = false, v.Uptime()+followRetry // only the watchers cannot reach the service
	}
	v.endOutage()
	v.appendLog(result.Events, result.Revision)
	if len(result.Events) > 0 || result.Revision != v.Snapshot().Revision {
		v.applyChanges(result)
	}
	if v.partial = !complete(result.Events); v.partial {
		v.markReachable()
		v.Logger.Info().Int("changes", len(result.Events)).Int64("revision", result.Revision).Msg("answer may be truncated; watching again at once")
		return nil
	}
	// The answer may have been on its way or unread for long, so it only proves the state as of the start of
	// the call.
	v.markSynced(begin, begin)
	v.markReachable()
	if len(result.Events) > 0 {
		v.pauseBetweenWatches(ctx)
	}
	return nil
}

// boundWait shortens the wait for a change after an answer that was late, so that the last sync does not exceed OutageDetectionTime if
// the next answer, too, comes as late as beyond the wait.
func (v *View) boundWait(wait, beyond time.Duration) time.Duration {
	age, synced := v.Staleness()
	if !synced {
		return wait
	}
	return min(wait, max(OutageDetectionTime-beyond-age, firstWait))
}

const (
	// completeEvents and completeBytes are the size below which an answer is certain to hold all changes. The
	// service may truncate its answers, as it does with lists at about 500 items or 1 MB, encoded. An answer
	// that may be truncated does not count as a sync, and the next call follows without a pause.
	completeEvents = 250
	completeBytes  = 400 << 10
)

func complete(events []rudderstore.Event) bool {
	return len(events) < completeEvents && bytesOf(events) < completeBytes
}

// pauseBetweenWatches lets changes accumulate, so that the next answer holds several of them.
func (v *View) pauseBetweenWatches(ctx context.Context) {
	pause := v.BatchPause
	if v.Urgent != nil && v.Urgent() {
		pause = urgentPause
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-v.skipPauseChannel():
	}
}

// SkipBatchPause ends the current or the next pause between two watches. It is called when another entry host
// has shown that it knows of changes which this one lacks.
func (v *View) SkipBatchPause() {
	select {
	case v.skipPauseChannel() <- struct{}{}:
	default:
	}
}

func (v *View) skipPauseChannel() chan struct{} {
	v.skipPauseOnce.Do(func() { v.skipPause = make(chan struct{}, 1) })
	return v.skipPause
}

func (v *View) applyChanges(result rudderstore.WatchResult) {
	v.noteRemovals(result.Events)
	v.updateRecords(result.Events, result.Revision)
	v.snapshotMu.Lock()
	defer v.snapshotMu.Unlock()
	s := v.cloneSnapshot()
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

// markSynced records a sync that began at begin and as of which, at asOf, every change is known.
func (v *View) markSynced(begin, asOf time.Duration) {
	if last := v.lastSync.Load(); last == nil || asOf > *last {
		v.lastSync.Store(&asOf)
	}
	v.firstSyncOnce.Do(func() {
		v.firstSyncAt.Store(max(int64(v.Uptime()), 1))
		close(v.firstSyncChannel())
	})
	if v.OnSync != nil {
		v.OnSync(v.Uptime() - begin)
	}
}

// dropExpired drops the targets that did not write their records again within ReturnGrace after an outage.
func (v *View) dropExpired() {
	v.expireArrivals()
	var due []string
	for name, until := range v.pendingRemovals {
		if v.Uptime() >= until {
			due = append(due, name)
		}
	}
	retained := false
	for _, until := range v.retainedUntil {
		retained = retained || v.Uptime() >= until
	}
	if len(due) == 0 && !retained {
		return
	}
	v.snapshotMu.Lock()
	defer v.snapshotMu.Unlock()
	s := v.cloneSnapshot()
	for _, name := range due {
		v.dropTarget(s, name, "record not written again after an outage")
	}
	v.expireRetained(s)
	v.publish(s)
}
