package ruddermember

import (
	"time"

	"comfreyrudder.example/rudderd/rudderpermit"
)

// Load is what an entry host says about its load.
type Load struct {
	InFlight int
	// QueuePermille is the used part of its queues, 0 to 1000.
	QueuePermille int
}

// Entry is what is known of one member: a snapshot that the member took, and its age.
type Entry struct {
	name        string
	incarnation uint32
	heartbeat   uint32
	config      rudderpermit.Version
	hasConfig   bool
	registry    int64
	load        Load
	leaving     bool

	observed time.Time // the snapshot was taken at this time or later
	progress time.Time // when the heartbeat last advanced here
}

// Name of the member.
func (e Entry) Name() string { return e.name }

// Config is the configuration that the member has adopted; false if it has none.
func (e Entry) Config() (rudderpermit.Version, bool) { return e.config, e.hasConfig }

// RegistryVersion that the member has adopted.
func (e Entry) RegistryVersion() int64 { return e.registry }

// Load of the member.
func (e Entry) Load() Load { return e.load }

// Leaving is set when the member has begun to stop.
func (e Entry) Leaving() bool { return e.leaving }

// Observed is a time at or after which the member took the snapshot, on the local clock.
func (e Entry) Observed() time.Time { return e.observed }

// Age is an upper bound of the snapshot's age.
func (e Entry) Age(now time.Time) time.Duration { return rudderpermit.Elapsed(e.observed, now) }

// newerThan orders snapshots of one member. Each pair of incarnation and heartbeat names one content.
func (e Entry) newerThan(o Entry) bool {
	if e.incarnation != o.incarnation {
		return e.incarnation > o.incarnation
	}
	return e.heartbeat > o.heartbeat
}

// table holds the newest snapshot of each member. It is not safe for concurrent use.
type table struct {
	entries map[uint32]Entry
}

// merge takes over a received snapshot and reports whether it is newer than the one held. The same
// snapshot with a smaller age narrows the bound on its age.
func (t *table) merge(e Entry, now time.Time) bool {
	if t.entries == nil {
		t.entries = map[uint32]Entry{}
	}
	id := memberID(e.name)
	old, found := t.entries[id]
	if !found || e.newerThan(old) {
		e.progress = now
		t.entries[id] = e
		return true
	}
	if !old.newerThan(e) && e.observed.After(old.observed) {
		old.observed = e.observed
		t.entries[id] = old
	}
	return false
}

// keep drops the entries of names that the registry does not list.
func (t *table) keep(r Registry) {
	listed := make(map[uint32]bool, len(r.Members))
	for _, m := range r.Members {
		listed[memberID(m.Name)] = true
	}
	for id := range t.entries {
		if !listed[id] {
			delete(t.entries, id)
		}
	}
}
