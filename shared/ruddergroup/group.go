// Package ruddergroup holds the plan of a fabric domain: which groups of hosts exist and what they serve.
package ruddergroup

// PlanPrefix is the key prefix of plans; the fabric domain's name follows.
const PlanPrefix = "control/plan/"

// LeasePrefix is the key prefix of planner leases; the fabric domain's name follows.
const LeasePrefix = "control/lease/"

// State of a group in a plan.
type State string

// States of a group.
const (
	StateLoading  State = "loading"  // members are being assigned and load weights
	StateServing  State = "serving"  // takes new work when every member confirms
	StateDraining State = "draining" // takes no new work, finishes what runs
)

// Member is one host of a group, in rank order.
type Member struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	// Incarnation of the target's process when it joined; a restart leaves the group.
	Incarnation string `json:"incarnation,omitempty"`
}

// Group is a set of hosts that serves one model replica, or one host of a plain service.
type Group struct {
	// ID is unique over time: it contains the fencing number and the plan sequence that formed it.
	ID           string   `json:"id"`
	Selector     string   `json:"selector"`
	Firm         string   `json:"firm"`
	Model        string   `json:"model,omitempty"`
	ModelVersion string   `json:"model_version,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Service      string   `json:"service,omitempty"`
	Members      []Member `json:"members"`
	State        State    `json:"state"`
	Slots        int      `json:"slots"`
	// Reason says why the group is draining, for operators.
	Reason string `json:"reason,omitempty"`
	// SinceUnixMS is when the group got its state, in milliseconds since the Unix epoch.
	SinceUnixMS int64 `json:"since_unix_ms"`
}

// Leader is the address that takes the group's requests.
func (g Group) Leader() string {
	if len(g.Members) == 0 {
		return ""
	}
	return g.Members[0].Address
}

// Plan is the whole plan of one fabric domain, stored as one value.
type Plan struct {
	Domain     string `json:"domain"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Seq rises with each write of the plan.
	Seq int64 `json:"seq"`
	// Fencing is the number of the planner that wrote the plan.
	Fencing int64 `json:"fencing"`
	// ConfigVersion is the configuration version that the plan follows.
	ConfigVersion int64   `json:"config_version"`
	Planner       string  `json:"planner"`
	Groups        []Group `json:"groups"`
	// Unresponsive names, in order, the hosts of the domain that do not answer its planner's polls. Planners of
	// other domains take them out of the division of groups.
	Unresponsive []string `json:"silent,omitempty"`
}
