// Package rudderview keeps one entry host's snapshot of the fleet: the routing table, the targets by their
// own word, the entry hosts, the plans and the suspicions, all followed through one watch on the
// key-value service, with the age of the last look.
package rudderview

import (
	"slices"

	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// Target is a target by its own word in the key-value service.
type Target struct {
	rudderhost.Host
	Service string
	Slots   int
	// Born is the Unix millisecond at which the target's process started; a new value means that it
	// knows nothing of what was before.
	Born int64
	// Staged are the models whose weights lie on the host.
	Staged []string
	// Model is the loaded model, empty for none.
	Model string
	// Membership is the target's group.
	Membership ruddertarget.Membership
	// Revision of the record in the key-value service.
	Revision int64

	recordedLeaving bool // the record says that the target leaves
}

// Leaving reports whether the target takes no new work.
func (t *Target) Leaving() bool { return t.State == rudderhost.StateLeaving }

// EntryHost is one entry host by its registration, which lasts as long as its lease.
type EntryHost struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Peer       string `json:"peer"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Capacity is the processor share of the entry host, in cores; 0 where it is not known.
	Capacity float64 `json:"capacity,omitempty"`
}

// strongShare is the part of the largest capacity in the fleet from which on an entry host counts as strong.
const strongShare = 0.5

// HighCapacity lists the entry hosts that can carry roles whose work grows with the fleet: those with at least half of the
// largest capacity. Where capacities are alike or not known, these are all.
func HighCapacity(entries []EntryHost) []EntryHost {
	limit := strongShare * largestCapacity(entries)
	return slices.DeleteFunc(slices.Clone(entries), func(e EntryHost) bool { return e.Capacity < limit })
}

// LowCapacity reports whether an entry host of a capacity leaves those roles to others.
func LowCapacity(entries []EntryHost, capacity float64) bool {
	return capacity < strongShare*largestCapacity(entries)
}

func largestCapacity(entries []EntryHost) float64 {
	largest := 0.0
	for _, e := range entries {
		largest = max(largest, e.Capacity)
	}
	return largest
}

// Suspicion says that an entry host found a target dead. It lasts as long as its lease.
type Suspicion struct {
	Target string `json:"target"`
	Born   int64  `json:"born"`
	By     string `json:"by"`
	Reason string `json:"reason"`
}

// Group is a group of targets that serves one model, or one target of a plain service.
type Group struct {
	// ID is the group's name and epoch, or the target's name for a plain service.
	ID      string
	Service string
	Model   string
	Leader  *Target
	Members []*Target
	Slots   int
	// Part is the ledger that holds the group, of those of its service.
	Part int
	// Draining groups have a member that is leaving: they serve, but come last.
	Draining bool
}
