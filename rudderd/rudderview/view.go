package rudderview

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/rudderstore"
)

// removedRetention is how long a target stays in Snapshot.Removed after its record was removed.
const removedRetention = 30 * time.Second

// Keys and key prefixes of the records that entry hosts write to the key-value service.
const (
	EntryPrefix     = "rudder/entry/"
	PlanPrefix      = "rudder/plan/"
	PlannerKey      = "rudder/planner"
	SuspicionPrefix = "rudder/suspect/"
	SecretKey       = "rudder/secret"
	EvidencePrefix  = "rudder/evidence/"
)

// Keys names the records that are written by other components.
type Keys struct {
	// Routing is the key of the routing document.
	Routing string
	// TargetPrefix is the key prefix of target records; the target's name follows.
	TargetPrefix string
	// EvacuationPrefix is the key prefix of requests to evacuate a data centre; the name of the data centre follows. Without it there
	// are none.
	EvacuationPrefix string
}

// View maintains a snapshot of the fleet from the key-value service, which the comments below call the
// service. Set the exported fields before Run.
type View struct {
	Store  *rudderstore.Store
	Keys   Keys
	Logger zerolog.Logger
	// Uptime is a monotonic clock that includes the time for which the machine was suspended.
	Uptime func() time.Duration
	// DecodeRouting and DecodeTarget decode the records that are written by other components.
	DecodeRouting func(value []byte) (rudderroute.Document, error)
	DecodeTarget  func(name string, value []byte) (Target, error)
	// ReturnGrace is how long after an outage of the service a target whose record lapsed is kept, because
	// the target may write it again.
	ReturnGrace time.Duration
	// BatchPause is the pause between two watches after an answer with changes, so that several changes share
	// one call.
	BatchPause time.Duration
	// OnSync is called after each successful sync with its duration; optional.
	OnSync func(d time.Duration)
	// Urgent reports whether changes are needed without delay, at the cost of more calls; optional.
	Urgent func() bool
	// FetchChanges long-polls a watcher, an entry host that watches the service, for changes after a
	// revision. It returns ErrWatcher if this entry host is itself a watcher. inOutage is set if the caller
	// knows of an outage and waits for its end. Optional: without it this entry host watches the service
	// itself.
	FetchChanges func(ctx context.Context, after int64, wait time.Duration, inOutage bool) (Changes, error)
	// RelayBytes limits the size of the changes in one answer to a follower, according to the bandwidth of
	// this entry host: a routing document of several hundred kilobytes would reach the followers too late. 0
	// means the default.
	RelayBytes int
	// FetchRecords fetches all records from a watcher, for the first snapshot of a process or after changes
	// were missed. Optional.
	FetchRecords func(ctx context.Context) (RecordSet, error)
	// FetchLook asks other watchers for changes after a revision while the service does not answer this entry host, and returns
	// those with the least age. Optional.
	FetchLook func(ctx context.Context, after int64) (Changes, error)
	// FetchKnown asks other entry hosts for all that they know, until one of them has answered or the context ends. It is to
	// begin only once the service has been silent for a while. Optional.
	FetchKnown func(ctx context.Context) (Known, error)
	// FetchRouting asks other entry hosts for the record of a routing document with a version above the given one, which
	// is empty if they know none. answered is false if none of them could be asked. Optional.
	FetchRouting func(ctx context.Context, above int64) (record []byte, answered bool)
	// OnRestored is called after the records of a service that was restored from a copy have been read, with the keys of
	// the records that it has; optional.
	OnRestored func(has map[string]bool)
	// OnEvidence receives the records below EvidencePrefix and their removal; optional. restored is set for
	// a record that was known before the service was restored from a copy.
	OnEvidence func(e rudderstore.Event, restored bool)
	// OnSecret receives the shared secret of the entry hosts; optional.
	OnSecret func(secret []byte)

	current  atomic.Pointer[Snapshot]
	lastSync atomic.Pointer[time.Duration] // uptime as of which all changes are known, which may be before the start; nil before the first sync
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced with each new snapshot
	// snapshotMu serialises the updates of the snapshot: it is held from cloneSnapshot until publish.
	snapshotMu    sync.Mutex
	announcements announcements
	departures    map[process]departure // guarded by snapshotMu
	arrivals      map[string]arrival    // by name, guarded by snapshotMu
	lastDeparture atomic.Int64          // uptime of the last announced departure, in nanoseconds; 0 for none
	running       atomic.Bool
	hasRecords    atomic.Bool // all records have been read, here or elsewhere

	direct       atomic.Bool  // this entry host watches the service itself
	failing      atomic.Bool  // the last call to the service failed
	unreachable  atomic.Bool  // the last call got no answer, not even the start of one
	lastFollower atomic.Int64 // uptime of the last call of a follower, in nanoseconds; 0 for none
	log          []rudderstore.Event
	logFrom      int64 // the log holds all changes after this revision
	logRevision  int64
	// records holds all records undecoded, except for the secret, as of recordsRevision.
	records         map[string]rudderstore.Entry
	recordsRevision int64
	// routing is the record of the routing document in force. That in records may be older.
	routing rudderstore.Entry

	firstSyncAt   atomic.Int64 // uptime of the first sync, in nanoseconds; 0 before it
	firstSyncOnce sync.Once
	firstSync     chan struct{} // closed by the first sync

	skipPauseOnce sync.Once
	skipPause     chan struct{}
	retryOnce     sync.Once
	retry         chan struct{}

	former formerHosts

	// The fields below are used only by the goroutine of Run.
	pendingRemovals map[string]time.Duration // targets whose removal is deferred, with the uptime at which it is due
	removedAt       map[string]time.Duration // targets in Snapshot.Removed, with the uptime of their removal
	// ended holds removed records, by key, and retainedUntil the keys of what was carried over a restore and has not been
	// written again, with the uptime at which it expires.
	ended         map[string]endedRecord
	retainedUntil map[string]time.Duration
	// restoredRecords holds the records of a restored service in whose place older ones are kept for a while.
	restoredRecords  map[string]rudderstore.Entry
	lostRecords      map[string]rudderstore.Entry // the records of before, while those of a restored service are applied
	startedAt        time.Duration
	outage           bool
	partial          bool          // the last answer may not have held all changes
	listing          bool          // the records being applied come from a list, not from a watch
	watchersInOutage bool          // the watchers report that the service is unavailable
	probing          bool          // the next watch shows whether the service is unavailable to this entry host too
	ownWatchFailed   bool          // the last watch by this entry host itself failed
	ownWatchAt       time.Duration // uptime of the last watch by this entry host itself
	followAfter      time.Duration // no watcher is followed until this uptime
	unanswered       int           // consecutive reads of all records that took too long
	failingSince     time.Duration // uptime of the first failed call; 0 while the service answers
	recoveredAt      time.Duration // uptime of the end of the last outage
}

// Snapshot returns the current snapshot. It is never nil.
func (v *View) Snapshot() *Snapshot {
	if s := v.current.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Unreachable reports whether the last call to the service got no answer. While the service is down it
// accepts no new routing document, so this entry host misses none, unless the service is unreachable from
// this entry host only.
func (v *View) Unreachable() bool { return v.unreachable.Load() }

// WatchesDirectly reports whether this entry host watches the service itself.
func (v *View) WatchesDirectly() bool { return v.direct.Load() }

// Changed returns a channel that is closed when the next snapshot is published or the service starts or stops
// answering.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.changed == nil {
		v.changed = make(chan struct{})
	}
	return v.changed
}

// AwaitsRecords reports whether the view runs and has not read any records yet.
func (v *View) AwaitsRecords() bool { return v.running.Load() && !v.hasRecords.Load() }

// Staleness returns the time since the last sync, as of which every change of the routing document is known.
// ok is false before the first sync.
func (v *View) Staleness() (age time.Duration, ok bool) {
	at := v.lastSync.Load()
	if at == nil {
		return 0, false
	}
	return v.Uptime() - *at, true
}

// WithinStartupGrace reports whether less than ReturnGrace has passed since the first sync, so that records
// which lapsed before it may still be written again.
func (v *View) WithinStartupGrace() bool {
	at := v.firstSyncAt.Load()
	return at == 0 || v.Uptime()-time.Duration(at) < v.ReturnGrace
}

// Synced returns a channel that is closed by the first sync, as of which every change of the routing document
// is known.
func (v *View) Synced() <-chan struct{} { return v.firstSyncChannel() }

func (v *View) firstSyncChannel() chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.firstSync == nil {
		v.firstSync = make(chan struct{})
	}
	return v.firstSync
}

// publish replaces the snapshot and wakes the waiters. The caller holds v.snapshotMu.
func (v *View) publish(s *Snapshot) {
	v.applyAnnounced(s)
	v.applyProcesses(s)
	v.noteEvacuations(s)
	s.index()
	v.current.Store(s)
	v.notifyWaiters()
}

// cloneSnapshot returns a copy of the current snapshot whose maps and slices may be modified.
func (v *View) cloneSnapshot() *Snapshot {
	old := v.Snapshot()
	s := *old
	s.Targets = cloneMap(old.Targets)
	s.Removed = cloneMap(old.Removed)
	s.Plans = cloneMap(old.Plans)
	s.Suspicions = cloneMap(old.Suspicions)
	s.evacuated, s.restored = cloneMap(old.evacuated), cloneMap(old.restored)
	s.EntryHosts = slices.Clone(old.EntryHosts)
	s.groups = nil
	return &s
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// apply updates a snapshot with a written record.
func (v *View) apply(s *Snapshot, e rudderstore.Entry) {
	delete(v.retainedUntil, e.Key)
	dataCentre, evacuates := v.evacuationOf(e.Key)
	switch {
	case evacuates:
		s.evacuated[dataCentre] = true
	case e.Key == v.Keys.Routing:
		v.applyRouting(s, e)
	case strings.HasPrefix(e.Key, v.Keys.TargetPrefix):
		v.applyTarget(s, strings.TrimPrefix(e.Key, v.Keys.TargetPrefix), e)
	case strings.HasPrefix(e.Key, EntryPrefix):
		v.applyEntryHost(s, e)
	case strings.HasPrefix(e.Key, PlanPrefix):
		v.applyPlan(s, e)
	case strings.HasPrefix(e.Key, SuspicionPrefix):
		var x Suspicion
		if err := json.Unmarshal(e.Value, &x); err != nil {
			v.malformed(e.Key, err)
			return
		}
		s.Suspicions[e.Key] = x
		v.Logger.Info().Str("target", x.Target).Str("by", x.By).Str("reason", x.Reason).Msg("target suspected dead")
	case strings.HasPrefix(e.Key, EvidencePrefix) && v.OnEvidence != nil:
		v.OnEvidence(rudderstore.Event{Entry: e}, v.lostRecords[e.Key].Key != "")
	case e.Key == PlannerKey:
		s.PlannerHeld, s.PlannerName = true, string(e.Value)
	case e.Key == SecretKey && v.OnSecret != nil:
		v.OnSecret(e.Value)
	}
}

func (v *View) applyEntryHost(s *Snapshot, e rudderstore.Entry) {
	var x EntryHost
	err := json.Unmarshal(e.Value, &x)
	if err == nil && EntryPrefix+x.Name != e.Key {
		err = errors.Newf("registration of entry host %q", x.Name)
	}
	if err != nil {
		v.malformed(e.Key, err)
		return
	}
	s.removeEntryHost(x.Name)
	s.addEntryHost(x)
}

// applyPlan updates a snapshot with a written plan. A malformed one does not replace the plan that is known, but its
// revision is needed for the next write.
func (v *View) applyPlan(s *Snapshot, e rudderstore.Entry) {
	plan, err := rudderroster.Decode(e.Value)
	if err == nil && PlanPrefix+plan.Key() != e.Key {
		err = errors.Newf("plan of %q", plan.Key())
	}
	if err == nil {
		s.Plans[e.Key] = v.planRecord(s.Plans[e.Key], plan, e.Revision)
		return
	}
	v.malformed(e.Key, err)
	kept, known := s.Plans[e.Key]
	if !known {
		kept.Plan.Service, kept.Plan.Domain, _ = strings.Cut(strings.TrimPrefix(e.Key, PlanPrefix), "/")
	}
	kept.Revision, kept.Unsaved = e.Revision, known
	s.Plans[e.Key] = kept
}

// planRecord carries over the time at which this entry host first saw each group retire, in case it becomes
// the planner.
func (v *View) planRecord(old PlanRecord, plan rudderroster.Plan, revision int64) PlanRecord {
	record := PlanRecord{Plan: plan, Revision: revision, RetiringSince: map[string]time.Duration{}}
	for _, g := range plan.Groups {
		if !g.Retiring || g.Unconfirmed {
			continue // no member has been ordered to leave
		}
		id := GroupID(g.Name, g.Epoch)
		record.RetiringSince[id] = v.Uptime()
		if since, known := old.RetiringSince[id]; known {
			record.RetiringSince[id] = since
		}
	}
	return record
}

func (v *View) applyRouting(s *Snapshot, e rudderstore.Entry) {
	document, err := v.DecodeRouting(e.Value)
	if err != nil {
		v.malformed(e.Key, err)
		return
	}
	if s.Table != nil && document.Version < s.Table.Version() {
		v.Logger.Error().Int64("version", document.Version).Int64("in_force", s.Table.Version()).Msg("ignored routing document older than the one in force")
		return
	}
	s.Table = rudderroute.NewTable(document)
	v.mu.Lock()
	v.routing = e
	v.mu.Unlock()
	v.Logger.Info().Int64("version", document.Version).Int("routes", len(document.Routes)).Int64("revision", e.Revision).
		Msg("routing document applied")
}

func (v *View) applyTarget(s *Snapshot, name string, e rudderstore.Entry) {
	target, err := v.DecodeTarget(name, e.Value)
	if err != nil {
		// A target whose record is malformed must not be used.
		v.malformed(e.Key, err)
		delete(s.Targets, name)
		delete(s.Removed, name)
		delete(v.pendingRemovals, name)
		return
	}
	target.Revision, target.recordedLeaving = e.Revision, target.Leaving()
	if target.ColdFor > 0 {
		target.coldUntil = v.Uptime() + target.ColdFor
	}
	if old := s.Targets[name]; v.listing {
		// A list is logged once, with the number of its records.
	} else if old == nil || old.recordedLeaving != target.recordedLeaving || old.Born != target.Born {
		v.Logger.Info().Str("target", name).Str("service", target.Service).Str("address", target.Address).
			Str("state", string(target.State)).Int64("born", target.Born).Int64("revision", e.Revision).Msg("target changed")
	}
	s.Targets[name] = &target
	delete(s.Removed, name)
	delete(v.pendingRemovals, name)
}

// remove updates a snapshot with the removal of a record.
func (v *View) remove(s *Snapshot, e rudderstore.Entry) {
	dataCentre, evacuates := v.evacuationOf(e.Key)
	switch {
	case evacuates:
		delete(s.evacuated, dataCentre)
	case strings.HasPrefix(e.Key, v.Keys.TargetPrefix):
		v.removeTarget(s, strings.TrimPrefix(e.Key, v.Keys.TargetPrefix))
	case strings.HasPrefix(e.Key, EntryPrefix):
		name := strings.TrimPrefix(e.Key, EntryPrefix)
		v.noteFormer(s.EntryHosts, func(x EntryHost) bool { return x.Name == name })
		s.removeEntryHost(name)
	case strings.HasPrefix(e.Key, PlanPrefix):
		delete(s.Plans, e.Key)
	case strings.HasPrefix(e.Key, SuspicionPrefix):
		delete(s.Suspicions, e.Key)
	case strings.HasPrefix(e.Key, EvidencePrefix) && v.OnEvidence != nil:
		v.OnEvidence(rudderstore.Event{Entry: e, Deleted: true}, false)
	case e.Key == PlannerKey:
		s.PlannerHeld, s.PlannerName = false, ""
	}
}

// removeTarget drops a target. Within ReturnGrace after an outage it defers the removal, because the target
// may write its record again.
func (v *View) removeTarget(s *Snapshot, name string) {
	old := s.Targets[name]
	if old == nil {
		return
	}
	if grace := v.recoveredAt + v.ReturnGrace; v.recoveredAt > 0 && v.Uptime() < grace && !old.Leaving() {
		if v.pendingRemovals == nil {
			v.pendingRemovals = map[string]time.Duration{}
		}
		v.pendingRemovals[name] = grace
		return
	}
	v.dropTarget(s, name, "record removed")
}

func (v *View) dropTarget(s *Snapshot, name, reason string) {
	if t := s.Targets[name]; t != nil {
		s.Removed[name] = t
		v.removedAt[name] = v.Uptime()
	}
	for old, since := range v.removedAt {
		if v.Uptime()-since > removedRetention {
			delete(s.Removed, old)
			delete(v.removedAt, old)
		}
	}
	delete(s.Targets, name)
	delete(v.pendingRemovals, name)
	v.Logger.Info().Str("target", name).Str("reason", reason).Msg("target removed")
}

func (s *Snapshot) addEntryHost(x EntryHost) {
	s.EntryHosts = append(s.EntryHosts, x)
	slices.SortFunc(s.EntryHosts, func(a, b EntryHost) int { return cmp.Compare(a.Name, b.Name) })
}

func (s *Snapshot) hasEntryHost(name string) bool {
	return slices.ContainsFunc(s.EntryHosts, func(e EntryHost) bool { return e.Name == name })
}

func (s *Snapshot) removeEntryHost(name string) {
	s.EntryHosts = slices.DeleteFunc(s.EntryHosts, func(e EntryHost) bool { return e.Name == name })
}

// maxLoggedError bounds the part of a decoding error that is logged, in bytes: it may quote the record.
const maxLoggedError = 256

func (v *View) malformed(key string, err error) {
	text := err.Error()
	v.Logger.Warn().Str("error", text[:min(len(text), maxLoggedError)]).Str("key", key).Msg("malformed record ignored")
}
