package ruddermember

import (
	"time"

	"comfreyrudder.example/rudderd/rudderpermit"
)

// Load is the load that an entry host reports.
type Load struct {
	InFlight int
	// QueuePermille is the utilisation of its queues, 0 to 1000.
	QueuePermille int
}

// Entry is a snapshot of a member's state that the member itself took, with its age.
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
	progress time.Time // when this node last saw the heartbeat advance
}

// Name returns the name of the member.
func (e Entry) Name() string { return e.name }

// Config returns the configuration version that the member has adopted, or false if it has none.
func (e Entry) Config() (rudderpermit.Version, bool) { return e.config, e.hasConfig }

// RegistryVersion returns the registry version that the member has adopted.
func (e Entry) RegistryVersion() int64 { return e.registry }

// Load returns the load of the member.
func (e Entry) Load() Load { return e.load }

// Leaving reports whether the member is shutting down.
func (e Entry) Leaving() bool { return e.leaving }

// Observed returns a time on the local clock at or after which the member took the snapshot.
func (e Entry) Observed() time.Time { return e.observed }

// Age returns an upper bound of the snapshot's age.
func (e Entry) Age(now time.Time) time.Duration { return rudderpermit.Elapsed(e.observed, now) }

// newerThan orders the snapshots of one member. Incarnation and heartbeat together identify a snapshot.
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

// merge stores a received snapshot if it is newer than the known one, and reports whether it is. If it is the
// known snapshot with a smaller age, only the bound on the age is tightened.
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

// retain deletes the entries of members that the registry does not list.
func (t *table) retain(r Registry) {
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
