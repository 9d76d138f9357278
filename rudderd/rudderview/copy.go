package rudderview

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

// RecordSet holds all records up to a revision, as another entry host knows them.
type RecordSet struct {
	// Serving is false when the other entry host has no sufficiently recent records; the other fields are
	// then empty.
	Serving  bool
	Entries  []rudderstore.Entry
	Revision int64
	// Age is the staleness of the answer when it was sent. Held is how long the call waited before.
	Age, Held time.Duration
}

// ErrFirstStart is returned by View.FetchRecords when no entry host has had a snapshot before. The key-value
// service then has little history, so the watch after a list that may be stale catches up quickly.
var ErrFirstStart = errors.New("view: no entry host has had a snapshot before")

// errNotServing reports that another entry host has no sufficiently recent records.
var errNotServing = errors.New("view: the other entry host has no recent records")

// loadFromPeer replaces the snapshot with the records of another entry host. When hundreds of entry hosts
// start at the same time, reading all records from the service for each of them would saturate its link for
// seconds.
func (v *View) loadFromPeer(ctx context.Context) error {
	begin := v.Uptime()
	c, err := v.FetchRecords(ctx)
	if err == nil && (!c.Serving || c.Revision < v.Snapshot().Revision) {
		err = errNotServing // or the other host has not noticed yet that the service was restored
	}
	if err != nil {
		v.Logger.Info().Err(err).Dur("took_ms", v.Uptime()-begin).Msg("no records from another entry host; reading all records from the key-value service")
		return err
	}
	if v.isRestored(c.Revision) {
		v.askNewerRouting(ctx)
	}
	v.endOutage()
	defer v.markReachable() // after the sync
	v.replace(c.Entries, c.Revision)
	v.Logger.Info().Int("records", len(c.Entries)).Int64("revision", c.Revision).Dur("took_ms", v.Uptime()-begin).Dur("age_ms", c.Age).
		Msg("records loaded from another entry host")
	v.markSynced(begin, begin+c.Held-c.Age)
	return nil
}

// Records returns all records, for another entry host. It waits for the first sync, at most for the given time.
func (v *View) Records(ctx context.Context, wait time.Duration) RecordSet {
	begin := v.Uptime()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-v.Synced():
	}
	held := v.Uptime() - begin // before the age, so that the answer is at least as old as it says
	age, ok := v.Staleness()
	if !ok || age > maxRelayStaleness || !v.direct.Load() || v.failing.Load() {
		return RecordSet{}
	}
	c := RecordSet{Serving: true, Age: age, Held: held}
	c.Entries, c.Revision = v.allRecords()
	return c
}

// allRecords returns all records and their revision.
func (v *View) allRecords() ([]rudderstore.Entry, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	entries := make([]rudderstore.Entry, 0, len(v.records))
	for key, e := range v.records {
		if key == v.Keys.Routing && v.routing.Key != "" {
			e.Value = v.routing.Value
		}
		entries = append(entries, e)
	}
	return entries, v.recordsRevision
}

// setRecords replaces the records. The revision changes under the same lock: a RecordSet must not carry a
// revision newer than its records.
func (v *View) setRecords(entries []rudderstore.Entry, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordsRevision = revision
	v.records = make(map[string]rudderstore.Entry, len(entries))
	for _, e := range entries {
		if e.Key != SecretKey {
			v.records[e.Key] = e
		}
	}
}

// updateRecords applies changes to the records.
func (v *View) updateRecords(events []rudderstore.Event, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordsRevision = max(v.recordsRevision, revision)
	if v.records == nil {
		v.records = map[string]rudderstore.Entry{}
	}
	for _, e := range events {
		switch {
		case e.Key == SecretKey:
		case e.Deleted:
			delete(v.records, e.Key)
		default:
			v.records[e.Key] = e.Entry
		}
	}
}
