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

	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/shared/rudderstore"
)

// goneMemory is how long a target is remembered after its record was removed.
const goneMemory = 30 * time.Second

// Keys of the entry hosts' own records in the key-value service.
const (
	EntryPrefix     = "rudder/entry/"
	PlanPrefix      = "rudder/plan/"
	PlannerKey      = "rudder/planner"
	SuspicionPrefix = "rudder/suspect/"
	SecretKey       = "rudder/secret"
	DeathPrefix     = "rudder/death/"
)

// Keys names the records that others write.
type Keys struct {
	// Routing is the key of the routing document.
	Routing string
	// TargetPrefix stands before the names of targets.
	TargetPrefix string
}

// View follows the key-value service. Set the exported fields before Run.
type View struct {
	Store  *rudderstore.Store
	Keys   Keys
	Logger zerolog.Logger
	// Uptime is a clock that also counts the time for which the machine was suspended.
	Uptime func() time.Duration
	// DecodeRouting and DecodeTarget read the records that others write.
	DecodeRouting func(value []byte) (rudderroute.Document, error)
	DecodeTarget  func(name string, value []byte) (Target, error)
	// ReturnGrace is how long a target that vanished while the service was away is kept after its
	// return, because its record may come back.
	ReturnGrace time.Duration
	// BatchPause is the time between two watches while changes come quickly, so that several changes share
	// one call.
	BatchPause time.Duration
	// OnSync is called after each answered look with the time that it took; optional.
	OnSync func(d time.Duration)
	// Urgent tells whether changes are wanted without delay, at the price of more calls; optional.
	Urgent func() bool
	// FetchChanges asks the entry host that this one follows for changes. It returns ErrWatcher where others follow
	// this one. Optional: without it the service is watched here.
	// away says that the caller knows of an outage and wants to be told of its end.
	FetchChanges func(ctx context.Context, after int64, wait time.Duration, away bool) (Changes, error)
	// RelayBytes bounds the changes that are passed on to one follower, by the link of this entry host; a routing document
	// of several hundred kilobytes would be in force too late. 0 takes a default.
	RelayBytes int
	// FetchRecords asks an entry host that watches the service for all records, for the first snapshot of a process. Optional.
	FetchRecords func(ctx context.Context) (RecordSet, error)
	// OnDeath takes the records below DeathPrefix; optional.
	OnDeath func(e rudderstore.Entry)
	// OnSecret takes the shared secret of the entry hosts; optional.
	OnSecret func(secret []byte)

	current atomic.Pointer[Snapshot]
	look    atomic.Int64 // uptime of the last look, in nanoseconds; 0 for none
	mu      sync.Mutex
	changed chan struct{} // closed and replaced with each new snapshot
	// writing is held from the copy of a snapshot until the next one is published.
	writing       sync.Mutex
	announcements announcements

	direct       atomic.Bool  // the service is watched here
	failing      atomic.Bool  // the last look at the service failed
	unreachable  atomic.Bool  // the last look got no answer, not even the begin of one
	lastFollower atomic.Int64 // uptime of the last call of a follower, in nanoseconds; 0 for none
	log          []rudderstore.Event
	logFrom      int64 // the log holds all changes after this revision
	logRevision  int64
	// records are all records as they came, but for the secret, up to recordsRevision.
	records         map[string]rudderstore.Entry
	recordsRevision int64

	lookedAt   atomic.Int64 // uptime of the first look, in nanoseconds; 0 before it
	lookedOnce sync.Once
	firstLook  chan struct{} // closed with the first look

	nudgeOnce sync.Once
	nudge     chan struct{}

	// Used by the goroutine of Run alone.
	pending      map[string]time.Duration // targets whose removal is held back, until this uptime
	gone         map[string]time.Duration // targets in Snapshot.Gone, since this uptime
	outage       bool
	partial      bool          // the last answer may not have held all changes
	listing      bool          // records come from a list, not from changes
	away         bool          // the watchers say that the service is away
	probing      bool          // the next look of this entry host itself tells whether the service is away for it too
	ownFailed    bool          // the last look of this entry host itself failed
	tried        time.Duration // uptime of the last look of this entry host itself
	alone        time.Duration // until this uptime nobody is followed
	failingSince time.Duration // uptime of the first unanswered look; 0 while the service answers
	returned     time.Duration // uptime at which the service came back last
}

// Snapshot returns the current snapshot. It is never nil.
func (v *View) Snapshot() *Snapshot {
	if s := v.current.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Unreachable reports whether the service did not answer the last look. It then accepts no change of the routing
// document that this entry host could miss, unless it refuses this entry host alone.
func (v *View) Unreachable() bool { return v.unreachable.Load() }

// Direct reports whether this entry host watches the service itself.
func (v *View) Direct() bool { return v.direct.Load() }

// Changed returns a channel that is closed with the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.changed == nil {
		v.changed = make(chan struct{})
	}
	return v.changed
}

// Staleness is the age of the last look that saw every change of the routing document. ok is false before
// the first one.
func (v *View) Staleness() (age time.Duration, ok bool) {
	at := v.look.Load()
	if at == 0 {
		return 0, false
	}
	return v.Uptime() - time.Duration(at), true
}

// WithinStartupGrace reports whether the first look was so short a time ago that records which lapsed before may still come back.
func (v *View) WithinStartupGrace() bool {
	at := v.lookedAt.Load()
	return at == 0 || v.Uptime()-time.Duration(at) < v.ReturnGrace
}

// Synced returns a channel that is closed with the first look that saw every change of the routing document.
func (v *View) Synced() <-chan struct{} { return v.lookedChannel() }

func (v *View) lookedChannel() chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.firstLook == nil {
		v.firstLook = make(chan struct{})
	}
	return v.firstLook
}

// publish replaces the snapshot. The caller holds v.writing.
func (v *View) publish(s *Snapshot) {
	v.applyAnnounced(s)
	s.index()
	v.current.Store(s)
	v.wake()
}

// edit returns a copy of the current snapshot whose maps may be changed.
func (v *View) edit() *Snapshot {
	old := v.Snapshot()
	s := *old
	s.Targets = cloneMap(old.Targets)
	s.Removed = cloneMap(old.Removed)
	s.Plans = cloneMap(old.Plans)
	s.Suspicions = cloneMap(old.Suspicions)
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

// apply takes one written record.
func (v *View) apply(s *Snapshot, e rudderstore.Entry) {
	switch {
	case e.Key == v.Keys.Routing:
		v.applyRouting(s, e)
	case strings.HasPrefix(e.Key, v.Keys.TargetPrefix):
		v.applyTarget(s, strings.TrimPrefix(e.Key, v.Keys.TargetPrefix), e)
	case strings.HasPrefix(e.Key, EntryPrefix):
		var entry EntryHost
		if err := json.Unmarshal(e.Value, &entry); err != nil {
			v.malformed(e.Key, err)
			return
		}
		s.removeEntry(strings.TrimPrefix(e.Key, EntryPrefix))
		s.EntryHosts = append(s.EntryHosts, entry)
		slices.SortFunc(s.EntryHosts, func(a, b EntryHost) int { return cmp.Compare(a.Name, b.Name) })
	case strings.HasPrefix(e.Key, PlanPrefix):
		plan, err := rudderroster.Decode(e.Value)
		if err != nil {
			v.malformed(e.Key, err)
			return
		}
		s.Plans[e.Key] = v.planRecord(s.Plans[e.Key], plan, e.Revision)
	case strings.HasPrefix(e.Key, SuspicionPrefix):
		var x Suspicion
		if err := json.Unmarshal(e.Value, &x); err != nil {
			v.malformed(e.Key, err)
			return
		}
		s.Suspicions[e.Key] = x
		v.Logger.Info().Str("target", x.Target).Str("by", x.By).Str("reason", x.Reason).Msg("target suspected")
	case strings.HasPrefix(e.Key, DeathPrefix) && v.OnDeath != nil:
		v.OnDeath(e)
	case e.Key == PlannerKey:
		s.PlannerHeld, s.PlannerName = true, string(e.Value)
	case e.Key == SecretKey && v.OnSecret != nil:
		v.OnSecret(e.Value)
	}
}

// planRecord keeps when this entry host first saw each group retire, for the next planner.
func (v *View) planRecord(old PlanRecord, plan rudderroster.Plan, revision int64) PlanRecord {
	record := PlanRecord{Plan: plan, Revision: revision, RetiringSince: map[string]time.Duration{}}
	for _, g := range plan.Groups {
		if !g.Retiring {
			continue
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
		v.Logger.Error().Int64("version", document.Version).Int64("in_force", s.Table.Version()).Msg("older routing document ignored")
		return
	}
	s.Table = rudderroute.NewTable(document)
	v.Logger.Info().Int64("version", document.Version).Int("routes", len(document.Routes)).Int64("revision", e.Revision).
		Msg("routing document in force")
}

func (v *View) applyTarget(s *Snapshot, name string, e rudderstore.Entry) {
	target, err := v.DecodeTarget(name, e.Value)
	if err != nil {
		// A record that cannot be read names no target to use.
		v.malformed(e.Key, err)
		delete(s.Targets, name)
		return
	}
	target.Revision, target.recordedLeaving = e.Revision, target.Leaving()
	if old := s.Targets[name]; v.listing {
		// One line tells how many targets a list holds.
	} else if old == nil || old.recordedLeaving != target.recordedLeaving || old.Born != target.Born {
		v.Logger.Info().Str("target", name).Str("service", target.Service).Str("address", target.Address).
			Str("state", string(target.State)).Int64("born", target.Born).Int64("revision", e.Revision).Msg("target changed")
	}
	s.Targets[name] = &target
	delete(s.Removed, name)
	delete(v.pending, name)
}

// remove takes the removal of a record.
func (v *View) remove(s *Snapshot, e rudderstore.Entry) {
	switch {
	case strings.HasPrefix(e.Key, v.Keys.TargetPrefix):
		v.removeTarget(s, strings.TrimPrefix(e.Key, v.Keys.TargetPrefix))
	case strings.HasPrefix(e.Key, EntryPrefix):
		s.removeEntry(strings.TrimPrefix(e.Key, EntryPrefix))
	case strings.HasPrefix(e.Key, PlanPrefix):
		delete(s.Plans, e.Key)
	case strings.HasPrefix(e.Key, SuspicionPrefix):
		delete(s.Suspicions, e.Key)
	case e.Key == PlannerKey:
		s.PlannerHeld, s.PlannerName = false, ""
	}
}

// removeTarget drops a target, or keeps it for a while when the service has just come back.
func (v *View) removeTarget(s *Snapshot, name string) {
	old := s.Targets[name]
	if old == nil {
		return
	}
	if grace := v.returned + v.ReturnGrace; v.returned > 0 && v.Uptime() < grace && !old.Leaving() {
		if v.pending == nil {
			v.pending = map[string]time.Duration{}
		}
		v.pending[name] = grace
		return
	}
	v.dropTarget(s, name, "record removed")
}

func (v *View) dropTarget(s *Snapshot, name, reason string) {
	if t := s.Targets[name]; t != nil {
		s.Removed[name] = t
		v.gone[name] = v.Uptime()
	}
	for old, since := range v.gone {
		if v.Uptime()-since > goneMemory {
			delete(s.Removed, old)
			delete(v.gone, old)
		}
	}
	delete(s.Targets, name)
	delete(v.pending, name)
	v.Logger.Info().Str("target", name).Str("reason", reason).Msg("target gone")
}

func (s *Snapshot) removeEntry(name string) {
	s.EntryHosts = slices.DeleteFunc(s.EntryHosts, func(e EntryHost) bool { return e.Name == name })
}

func (v *View) malformed(key string, err error) {
	v.Logger.Warn().Err(err).Str("key", key).Msg("record cannot be read; ignored")
}
