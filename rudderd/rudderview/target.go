// Package rudderview keeps one entry host's picture of the fleet: the routing table, the targets by their
// own word, the entry hosts, the plans and the suspicions, all followed through one watch on the
// key-value service, with the age of the last look.
package rudderview

import (
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
}

// Leaving reports whether the target takes no new work.
func (t *Target) Leaving() bool { return t.State == rudderhost.StateLeaving }

// Entry is one entry host by its registration, which lasts as long as its lease.
type Entry struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Peer       string `json:"peer"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
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
	// Draining groups have a member that is leaving: they serve, but come last.
	Draining bool
}
