// Package ruddergroup defines the stored plan of a fabric domain: which groups of hosts exist and what they serve.
package ruddergroup

// PlanPrefix is the key prefix of plans. The fabric domain's name follows it.
const PlanPrefix = "control/plan/"

// LeasePrefix is the key prefix of planner leases. The fabric domain's name follows it.
const LeasePrefix = "control/lease/"

// State is the state of a group in a plan.
type State string

// States of a group.
const (
	StateLoading  State = "loading"  // members are being assigned and are loading weights
	StateServing  State = "serving"  // accepts new work while every member confirms its role
	StateDraining State = "draining" // accepts no new work, finishes requests in flight
)

// Member is one host of a group.
type Member struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	// Incarnation identifies the target's process that joined the group. A restarted process is not a member.
	Incarnation string `json:"incarnation,omitempty"`
}

// Group is a set of hosts that serves one model replica, or one host of a plain service.
type Group struct {
	// ID is never reused: it contains the fencing number and the sequence number of the plan that formed the group.
	ID           string   `json:"id"`
	Selector     string   `json:"selector"`
	Firm         string   `json:"firm"`
	Model        string   `json:"model,omitempty"`
	ModelVersion string   `json:"model_version,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Service      string   `json:"service,omitempty"`
	Members      []Member `json:"members"` // in rank order
	State        State    `json:"state"`
	Slots        int      `json:"slots"`
	// Reason tells operators why the group is draining.
	Reason string `json:"reason,omitempty"`
	// SinceUnixMS is the time of the last state change, in milliseconds since the Unix epoch.
	SinceUnixMS int64 `json:"since_unix_ms"`
}

// Leader returns the address of the member that accepts the group's requests, or "" if the group has no members.
func (g Group) Leader() string {
	if len(g.Members) == 0 {
		return ""
	}
	return g.Members[0].Address
}

// Plan is the plan of one fabric domain. It is stored as a single value.
type Plan struct {
	Domain     string `json:"domain"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Seq increases with each write of the plan.
	Seq int64 `json:"seq"`
	// Fencing is the fencing number of the planner that wrote the plan.
	Fencing int64 `json:"fencing"`
	// ConfigVersion is the configuration version on which the plan is based.
	ConfigVersion int64   `json:"config_version"`
	Planner       string  `json:"planner"`
	Groups        []Group `json:"groups"`
	// Unresponsive lists the names, sorted, of the domain's hosts that do not respond to its planner's polls.
	// Planners of other domains exclude them when they divide a selector's groups among the domains.
	Unresponsive []string `json:"silent,omitempty"`
}
