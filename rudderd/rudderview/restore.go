package rudderview

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

const (
	// retainedEntryTime is how long the registration of an entry host is kept that a restore of the service has lost. The
	// host registers again within this time if it lives.
	retainedEntryTime = 4500 * time.Millisecond
	// retainedSuspicionTime is how long a suspicion is kept that a restore has lost: the longest time that it had left.
	retainedSuspicionTime = 6 * time.Second
	// endedRetention is how long removed records are remembered, so that a restore does not bring them back. A copy is
	// seconds old.
	endedRetention = 10 * time.Minute
	// maxEnded bounds the removed records that are remembered; a large fleet stays below it.
	maxEnded = 4096
	// routingTimeout bounds the question to other entry hosts whether they know a newer routing document.
	routingTimeout = 300 * time.Millisecond
	// firstAnswerTime is how long a process that starts on a service which was restored at some time waits for another
	// entry host that can be asked, and firstAnswerPause the pause between two attempts.
	firstAnswerTime  = 1200 * time.Millisecond
	firstAnswerPause = 150 * time.Millisecond
)

// errNoOtherHost reports that no other entry host could be asked whether it knows a newer routing document.
var errNoOtherHost = errors.New("view: no other entry host has answered")

// endedRecord is a record that was removed.
type endedRecord struct {
	revision int64 // within its era
	value    []byte
	at       time.Duration
}

// noteEnded remembers a removed record.
func (v *View) noteEnded(key string) {
	v.mu.Lock()
	old, known := v.records[key]
	v.mu.Unlock()
	if !known {
		return
	}
	now := v.Uptime()
	if len(v.ended) >= maxEnded {
		for k, e := range v.ended {
			if now-e.at > endedRetention {
				delete(v.ended, k)
			}
		}
	}
	if v.ended == nil {
		v.ended = map[string]endedRecord{}
	}
	if len(v.ended) < maxEnded {
		_, revision := rudderstore.SplitRevision(old.Revision)
		v.ended[key] = endedRecord{revision: revision, value: old.Value, at: now}
	}
}

// isRestored reports whether a list of all records is of a later era than the snapshot: the service has been restored from
// a copy since, and the records in the list may be older than those in the snapshot.
func (v *View) isRestored(revision int64) bool {
	known := v.Snapshot().Revision
	return known > 0 && rudderstore.EraStart(revision) > rudderstore.EraStart(known)
}

// withoutEnded returns the records of a restored service without those that had been removed before the restore. A record
// that was written again since has another revision or another value.
func (v *View) withoutEnded(entries []rudderstore.Entry) []rudderstore.Entry {
	kept := make([]rudderstore.Entry, 0, len(entries))
	for _, e := range entries {
		_, revision := rudderstore.SplitRevision(e.Revision)
		if old, ended := v.ended[e.Key]; ended && old.revision == revision && bytes.Equal(old.value, e.Value) {
			v.Logger.Info().Str("key", e.Key).Msg("record of the restored key-value service ignored: it had been removed")
			continue
		}
		kept = append(kept, e)
	}
	return kept
}

// keepNewer carries over from an older snapshot what a restore has lost. The restored records are in s.
func (v *View) keepNewer(s, old *Snapshot) {
	now := v.Uptime()
	v.recoveredAt = now // records of targets may still be written again
	v.retainedUntil, v.restoredRecords = map[string]time.Duration{}, map[string]rudderstore.Entry{}
	for name, t := range old.Targets {
		v.keepTarget(s, name, t)
	}
	v.keepEvacuations(s, old)
	for _, x := range old.EntryHosts {
		if !s.hasEntryHost(x.Name) {
			s.addEntryHost(x)
			v.retainedUntil[EntryPrefix+x.Name] = now + retainedEntryTime
		}
	}
	for key, x := range old.Suspicions {
		if _, found := s.Suspicions[key]; !found {
			s.Suspicions[key] = x
			v.retainedUntil[key] = now + retainedSuspicionTime
		}
	}
	for key, record := range old.Plans {
		restored := s.Plans[key]
		if restored.Plan.Serial >= record.Plan.Serial {
			continue
		}
		s.Plans[key] = PlanRecord{Plan: record.Plan, Revision: restored.Revision, RetiringSince: record.RetiringSince, Unsaved: true}
		v.keepRecord(key, restored.Revision)
		v.Logger.Warn().Str("plan", key).Int64("serial", record.Plan.Serial).Int64("restored_serial", restored.Plan.Serial).
			Msg("plan kept that a restore of the key-value service has lost")
	}
}

// keepTarget keeps a target's newer record: the epochs of a process only rise, and a process that leaves stays no longer. A
// record that names a lower epoch may also be news, of a target that has left its group; it is applied after ReturnGrace.
func (v *View) keepTarget(s *Snapshot, name string, old *Target) {
	t := s.Targets[name]
	switch {
	case t == nil || t.Born > old.Born:
		return
	case t.Born < old.Born, t.Membership.Epoch < old.Membership.Epoch:
		kept, key := *old, v.Keys.TargetPrefix+name
		kept.Revision = t.Revision
		if t.Born == old.Born {
			if t.Leaving() {
				kept.State, kept.recordedLeaving = t.State, true
			}
			v.restoredRecords[key] = v.record(key)
			v.retainedUntil[key] = v.Uptime() + v.ReturnGrace
		}
		s.Targets[name] = &kept
		v.keepRecord(key, t.Revision)
	case old.recordedLeaving && !t.Leaving():
		v.announceLocked(Announcement{Target: name, Born: old.Born})
	}
}

// keepRecord restores the value of a record that is newer than that of the restored service, for followers.
func (v *View) keepRecord(key string, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old, known := v.lostRecords[key]; known {
		old.Revision = max(revision, rudderstore.EraStart(v.recordsRevision))
		v.records[key] = old
	}
}

// expireRetained drops what was carried over and has not been written again.
func (v *View) expireRetained(s *Snapshot) {
	now := v.Uptime()
	for key, until := range v.retainedUntil {
		if now < until {
			continue
		}
		delete(v.retainedUntil, key)
		v.Logger.Info().Str("key", key).Msg("record was not written again after a restore of the key-value service")
		if e, found := v.restoredRecords[key]; found {
			delete(v.restoredRecords, key)
			v.updateRecords([]rudderstore.Event{{Entry: e}}, s.Revision)
			v.apply(s, e)
		} else {
			v.remove(s, rudderstore.Entry{Key: key})
		}
	}
}

func (v *View) record(key string) rudderstore.Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.records[key]
}

// askNewerRouting applies a newer routing document than that of the service, if another entry host knows one: a service
// that was restored from a copy may lack versions that were in force. It returns false if none could be asked.
func (v *View) askNewerRouting(ctx context.Context) bool {
	if v.FetchRouting == nil {
		return true
	}
	snapshot := v.Snapshot()
	version := int64(0)
	if snapshot.Table != nil {
		version = snapshot.Table.Version()
	}
	ctx, cancel := context.WithTimeout(ctx, routingTimeout)
	defer cancel()
	value, answered := v.FetchRouting(ctx, version)
	if len(value) == 0 {
		return answered
	}
	v.snapshotMu.Lock()
	defer v.snapshotMu.Unlock()
	s := v.cloneSnapshot()
	v.applyRouting(s, rudderstore.Entry{Key: v.Keys.Routing, Value: value, Revision: s.Revision})
	v.publish(s)
	return true
}

// Routing returns the routing document's record and its version, for another entry host, or nil if its version is not
// above the given one.
func (v *View) Routing(above int64) (version int64, record []byte) {
	s := v.Snapshot()
	if s.Table == nil || s.Table.Version() <= above {
		return 0, nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return s.Table.Version(), v.routing.Value
}
