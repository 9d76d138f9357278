package rudderview

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

// RecordSet is the snapshot of another entry host: all records up to a revision.
type RecordSet struct {
	// Serving is false when the other entry host has no snapshot that is young enough.
	Serving  bool
	Entries  []rudderstore.Entry
	Revision int64
	// Age of the last look when the answer was given, and Held, how long the call was held.
	Age, Held time.Duration
}

// ErrFirstStart is returned by View.Copy where no entry host has had a snapshot before: there is little history, so that a
// list that may be behind is soon brought up to date.
var ErrFirstStart = errors.New("view: the fleet starts for the first time")

// errNotServing reports that another entry host has no snapshot that is young enough.
var errNotServing = errors.New("view: the other entry host does not serve")

// copied takes the first snapshot from another entry host. Where hundreds of entry hosts start at the same time, lists of
// all records for each of them would fill the link of the service for seconds.
func (v *View) copied(ctx context.Context) error {
	begin := v.Uptime()
	c, err := v.FetchRecords(ctx)
	if err == nil && !c.Serving {
		err = errNotServing
	}
	if err != nil {
		v.Logger.Info().Err(err).Dur("took_ms", v.Uptime()-begin).Msg("no snapshot of another entry host; reading all records")
		return err
	}
	v.answered()
	v.replace(c.Entries, c.Revision)
	v.Logger.Info().Int("records", len(c.Entries)).Int64("revision", c.Revision).Dur("took_ms", v.Uptime()-begin).Dur("age_ms", c.Age).
		Msg("snapshot of another entry host taken")
	v.looked(begin, begin+c.Held-c.Age)
	return nil
}

// Records returns all records for another entry host. It waits for the first look of this one.
func (v *View) Records(ctx context.Context, wait time.Duration) RecordSet {
	begin := v.Uptime()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-v.Synced():
	}
	age, ok := v.Staleness()
	if !ok || age > relayAge || !v.direct.Load() || v.failing.Load() {
		return RecordSet{}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	c := RecordSet{Serving: true, Revision: v.recordsRevision, Age: age, Entries: make([]rudderstore.Entry, 0, len(v.records))}
	for _, e := range v.records {
		c.Entries = append(c.Entries, e)
	}
	c.Held = v.Uptime() - begin
	return c
}

// keep replaces the records. The revision changes together with them: a copy must not tell a newer one.
func (v *View) keep(entries []rudderstore.Entry, revision int64) {
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

// keepChanges changes the records.
func (v *View) keepChanges(events []rudderstore.Event, revision int64) {
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
