// Package rudderadmin holds the wire types of the admin API and its client.
package rudderadmin

import (
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// PathPrefix of the admin API.
const PathPrefix = "/admin/v1"

// States of a change of the configuration.
const (
	StateAccepted = "accepted" // in force at every entry host that may serve
	StatePending  = "pending"  // written, but not every entry host is known to follow it
	StateDryRun   = "dry_run"  // checked, nothing written
	// StateUnchanged: the configuration says so already, and no new version was written.
	StateUnchanged = "unchanged"
)

// Codes of errors.
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

// Finding is one fault or doubt about a document.
type Finding struct {
	// Severity is "error" or "warning".
	Severity string `json:"severity"`
	Path     string `json:"path"`
	Message  string `json:"message"`
}

// ChangeResult is the answer to a change of the configuration.
type ChangeResult struct {
	Version int64  `json:"version"`
	State   string `json:"state"`
	// Missing names the entry hosts that have not confirmed a pending change.
	Missing []string `json:"missing,omitempty"`
	// Slowest is the entry host that was waited for last.
	Slowest string `json:"slowest,omitempty"`
	// InForceMS is the time from the call until the change was in force, in milliseconds.
	InForceMS int64     `json:"in_force_ms"`
	Diff      []string  `json:"diff"`
	Warnings  []Finding `json:"warnings,omitempty"`
}

// Conflict names the change that won over another one.
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

// LabelChange is the body of a change of a host's labels.
type LabelChange struct {
	Set    map[string]string `json:"set,omitempty"`
	Remove []string          `json:"remove,omitempty"`
}

// Host is one target host as operators see it.
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

// Group is one group as operators see it.
type Group struct {
	ID       string   `json:"id"`
	Domain   string   `json:"fabric_domain"`
	Selector string   `json:"selector"`
	Firm     string   `json:"firm"`
	Work     string   `json:"work"` // model@version or the service's name
	Hosts    []string `json:"hosts"`
	State    string   `json:"state"`
	// NotServingReason says why the group takes no new work; empty when it does.
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

// DomainShare is what one fabric domain holds of a selector.
type DomainShare struct {
	Domain   string `json:"domain"`
	Matching int    `json:"matching"`
	Usable   int    `json:"usable"`
	Share    int    `json:"share"`
	Loading  int    `json:"loading"`
	Serving  int    `json:"serving"`
	Draining int    `json:"draining"`
}

// Explanation says what a selector gets and why.
type Explanation struct {
	Selector   string        `json:"selector"`
	Active     bool          `json:"active"`
	NextChange time.Time     `json:"next_change,omitzero"`
	Wanted     int           `json:"wanted"` // 0 means as many as possible
	Missing    int           `json:"missing"`
	Domains    []DomainShare `json:"domains"`
	Reasons    []Reason      `json:"reasons"`
}

// EntryHost is one entry host as the answering one sees it.
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

// AgeUnknown is the age of an entry host that this one has not heard of yet.
const AgeUnknown = -1

// SelectorStatus sums up one selector.
type SelectorStatus struct {
	Name    string `json:"name"`
	Active  bool   `json:"active"`
	Wanted  int    `json:"wanted"`
	Serving int    `json:"serving"`
	Missing int    `json:"missing"`
}

// Status sums up the system as one entry host sees it.
type Status struct {
	Entry         string `json:"entry"`
	ConfigVersion int64  `json:"config_version"`
	Permit        bool   `json:"permit"`
	PermitRule    string `json:"permit_rule"`
	// PermitReason says why no permit is held.
	PermitReason string           `json:"permit_reason,omitempty"`
	EntryHosts   []EntryHost      `json:"entry_hosts"`
	Selectors    []SelectorStatus `json:"selectors"`
	Hosts        int              `json:"hosts"`
	Stranded     []string         `json:"stranded"`
}

// NewKey is the answer to the making of a workspace key. The key is shown only here.
type NewKey struct {
	Key    string       `json:"key"`
	Change ChangeResult `json:"change"`
}

// Document is the configuration, without the hashes of keys and tokens.
type Document = rudderconfig.Document
