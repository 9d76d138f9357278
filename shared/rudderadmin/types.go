// Package rudderadmin contains the wire types of the admin API and a client for it.
package rudderadmin

import (
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// PathPrefix is the path prefix of the admin API.
const PathPrefix = "/admin/v1"

// States of a configuration change.
const (
	StateAccepted = "accepted" // in force at every entry host that is permitted to serve
	StatePending  = "pending"  // written, but not confirmed by every entry host
	StateDryRun   = "dry_run"  // validated, nothing written
	// StateUnchanged means that the configuration already matched, so no new version was written.
	StateUnchanged = "unchanged"
)

// Error codes.
const (
	CodeConflict         = "conflict"
	CodeInvalid          = "invalid"
	CodeNotFound         = "not_found"
	CodeMethodNotAllowed = "method_not_allowed"
	CodeForbidden        = "forbidden"
	CodeUnauthorized     = "unauthorized"
	CodeUnavailable      = "unavailable"
	CodeNoMajority       = "no_majority"
	CodeOutcomeUnknown   = "outcome_unknown"
)

// Finding is one error or warning about a configuration document.
type Finding struct {
	// Severity is "error" or "warning".
	Severity string `json:"severity"`
	Path     string `json:"path"`
	Message  string `json:"message"`
}

// ChangeResult is the response to a configuration change.
type ChangeResult struct {
	Version int64  `json:"version"`
	State   string `json:"state"`
	// Missing lists the entry hosts that have not confirmed a pending change.
	Missing []string `json:"missing,omitempty"`
	// Slowest is one of the entry hosts whose confirmation was missing last.
	Slowest string `json:"slowest,omitempty"`
	// InForceMS is the time from the call until the change was in force, in milliseconds.
	InForceMS int64     `json:"in_force_ms"`
	Diff      []string  `json:"diff"`
	Warnings  []Finding `json:"warnings,omitempty"`
}

// Conflict describes the change that was made before the refused one.
type Conflict struct {
	Version   int64     `json:"version"`
	ChangedBy string    `json:"changed_by"`
	ChangedAt time.Time `json:"changed_at"`
	Summary   string    `json:"summary"`
}

// HistoryEntry is one version of the configuration.
type HistoryEntry struct {
	Version   int64     `json:"version"`
	ChangedBy string    `json:"changed_by"`
	ChangedAt time.Time `json:"changed_at"`
	Summary   string    `json:"summary"`
}

// LabelChange is the request body for changing a host's labels.
type LabelChange struct {
	Set    map[string]string `json:"set,omitempty"`
	Remove []string          `json:"remove,omitempty"`
}

// Host is one target host as shown to operators.
type Host struct {
	Name         string            `json:"name"`
	Address      string            `json:"address"`
	Kind         string            `json:"kind"`
	Region       string            `json:"region"`
	DataCentre   string            `json:"data_centre"`
	FabricDomain string            `json:"fabric_domain"`
	Accelerators int               `json:"accelerators"`
	State        string            `json:"state"`
	Labels       map[string]string `json:"labels"`
	Drain        bool              `json:"drain"`
	Group        string            `json:"group,omitempty"`
}

// DataCentre is one data centre as shown to operators.
type DataCentre struct {
	Name      string `json:"name"`
	Evacuated bool   `json:"evacuated"`
	Hosts     int    `json:"hosts"`
	Groups    int    `json:"groups"`
	// Running and Waiting count the requests at the groups there, as the groups' leaders last reported them.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Unreported counts the groups without a recent report, whose requests are not known.
	Unreported int `json:"unreported"`
}

// Group is one group as shown to operators.
type Group struct {
	ID       string   `json:"id"`
	Domain   string   `json:"fabric_domain"`
	Selector string   `json:"selector"`
	Firm     string   `json:"firm"`
	Work     string   `json:"work"` // model@version or the service's name
	Hosts    []string `json:"hosts"`
	State    string   `json:"state"`
	// NotServingReason says why the group accepts no new work; it is empty if the group does.
	NotServingReason string `json:"why,omitempty"`
	Reason           string `json:"reason,omitempty"`
	Running          int    `json:"running"`
	Waiting          int    `json:"waiting"`
	Slots            int    `json:"slots"`
}

// Reason explains a decision.
type Reason struct {
	Code  string `json:"code"`
	Group string `json:"group,omitempty"`
	Host  string `json:"host,omitempty"`
	Text  string `json:"text"`
}

// DomainShare describes the hosts and groups of a selector in one fabric domain.
type DomainShare struct {
	Domain   string `json:"domain"`
	Matching int    `json:"matching"`
	Usable   int    `json:"usable"`
	Share    int    `json:"share"`
	Loading  int    `json:"loading"`
	Serving  int    `json:"serving"`
	Draining int    `json:"draining"`
}

// Explanation describes the hosts and groups that a selector gets, and why.
type Explanation struct {
	Selector   string        `json:"selector"`
	Active     bool          `json:"active"`
	NextChange time.Time     `json:"next_change,omitzero"`
	Wanted     int           `json:"wanted"` // 0 means as many as possible
	Missing    int           `json:"missing"`
	Domains    []DomainShare `json:"domains"`
	Reasons    []Reason      `json:"reasons"`
}

// EntryHost is one entry host as seen by the responding entry host.
type EntryHost struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	DataCentre    string `json:"data_centre"`
	CallerAddress string `json:"caller_address"`
	Live          bool   `json:"live"`
	Leaving       bool   `json:"leaving"`
	ConfigVersion int64  `json:"config_version"`
	InFlight      int    `json:"in_flight"`
	// AgeMS is the age of these figures in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// AgeUnknown is the AgeMS of an entry host from which the responding one has not received a state yet.
const AgeUnknown = -1

// SelectorStatus summarizes one selector.
type SelectorStatus struct {
	Name    string `json:"name"`
	Active  bool   `json:"active"`
	Wanted  int    `json:"wanted"`
	Serving int    `json:"serving"`
	Missing int    `json:"missing"`
}

// Status summarizes the system as seen by one entry host.
type Status struct {
	Entry         string `json:"entry"`
	ConfigVersion int64  `json:"config_version"`
	Permit        bool   `json:"permit"`
	PermitRule    string `json:"permit_rule"`
	// PermitReason says why the entry host holds no permit.
	PermitReason string           `json:"permit_reason,omitempty"`
	EntryHosts   []EntryHost      `json:"entry_hosts"`
	Selectors    []SelectorStatus `json:"selectors"`
	Hosts        int              `json:"hosts"`
	Stranded     []string         `json:"stranded"`
}

// NewKey is the response to the creation of a workspace key. It is the only response that contains the key.
type NewKey struct {
	Key    string       `json:"key"`
	Change ChangeResult `json:"change"`
}

// Document is the configuration without the hashes of keys and tokens.
type Document = rudderconfig.Document
