// Package rudderview maintains an entry host's snapshot of the fleet: the routing table, the targets as they
// describe themselves, the entry hosts, the plans and the suspicions. All of it comes from one watch on the
// key-value service.
//
// In each data centre a few entry hosts, the watchers, call the service; the others, their followers, long-poll
// a watcher. A view knows its staleness: the time since its last sync, as of which it knows every change.
package rudderview

import (
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// Target is a target as described by its own record in the key-value service.
type Target struct {
	rudderhost.Host
	Service string
	Slots   int
	// Born is the start time of the target's process in Unix milliseconds. A new value means that the target
	// restarted and has lost its earlier state.
	Born int64
	// Staged lists the models whose weights are stored on the host.
	Staged []string
	// Model is the loaded model, or empty.
	Model string
	// Membership is the target's place in its group.
	Membership ruddertarget.Membership
	// ColdFor is how long the target stays cold, counted from the write of its record.
	ColdFor time.Duration
	// Revision of the record in the key-value service.
	Revision int64

	coldUntil       time.Duration // uptime until which the target is cold by its record
	recordedLeaving bool          // the record itself, not an announcement, has the state leaving
}

// Leaving reports whether the target is shutting down and accepts no new work.
func (t *Target) Leaving() bool { return t.State == rudderhost.StateLeaving }

// EntryHost is the registration record of an entry host. It expires with the lease of the entry host.
type EntryHost struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Peer       string `json:"peer"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Capacity is the processor share of the entry host, in cores; 0 if unknown.
	Capacity float64 `json:"capacity,omitempty"`
	// Instance identifies the process. Earlier versions do not set it.
	Instance string `json:"instance,omitempty"`

	unregistered bool // the process has announced itself and has no record yet
}

// highCapacityShare is the fraction of the largest capacity in the fleet that an entry host of high capacity
// has at least.
const highCapacityShare = 0.5

// HighCapacity returns the entry hosts that can take roles whose work grows with the fleet: those with at
// least half of the largest capacity. If all capacities are similar or unknown, it returns all entry hosts.
func HighCapacity(entries []EntryHost) []EntryHost {
	limit := highCapacityShare * largestCapacity(entries)
	return slices.DeleteFunc(slices.Clone(entries), func(e EntryHost) bool { return e.Capacity < limit })
}

// LowCapacity reports whether an entry host with the given capacity is not one of HighCapacity.
func LowCapacity(entries []EntryHost, capacity float64) bool {
	return capacity < highCapacityShare*largestCapacity(entries)
}

func largestCapacity(entries []EntryHost) float64 {
	largest := 0.0
	for _, e := range entries {
		largest = max(largest, e.Capacity)
	}
	return largest
}

// Suspicion is the record of an entry host that found a target dead. It expires with its lease. The planner probes the target
// in any case.
type Suspicion struct {
	Target string `json:"target"`
	Born   int64  `json:"born"`
	By     string `json:"by"`
	Reason string `json:"reason"`
	// Confirmed is set if the entry hosts that have a path to targets agree. Earlier versions reported what a single one saw.
	Confirmed bool `json:"confirmed"`
}

// Group is a group of targets that together serve one model, or a single target of a plain service.
type Group struct {
	// ID is the result of GroupID, or the target's name for a plain service.
	ID      string
	Service string
	Model   string
	Leader  *Target
	Members []*Target
	Slots   int
	// Partition is the index of the partition of the service's groups that holds this group. Each partition
	// has ledgers of its own.
	Partition int
	// Draining is set when a member is leaving. The group still serves but is chosen last.
	Draining bool
}
