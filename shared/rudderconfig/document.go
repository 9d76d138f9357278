// Package rudderconfig defines the operators' configuration: a single document whose version increases with every
// change. It parses, validates, merges and compares documents, and evaluates selectors.
package rudderconfig

import "time"

// Document is the whole configuration. It is stored as JSON under Key.
type Document struct {
	// Version increases by one with each change and never decreases.
	Version   int64     `json:"version"`
	ChangedBy string    `json:"changed_by,omitempty"`
	ChangedAt time.Time `json:"changed_at,omitzero"`
	Summary   string    `json:"summary,omitempty"`

	Hosts      []HostSettings `json:"hosts,omitempty"`
	Models     []Model        `json:"models,omitempty"`
	Selectors  []Selector     `json:"selectors,omitempty"`
	Services   []Service      `json:"services,omitempty"`
	Workspaces []Workspace    `json:"workspaces,omitempty"`
	Operators  []Operator     `json:"operators,omitempty"`
	Objectives []Objective    `json:"objectives,omitempty"`

	// EvacuatedDataCentres lists the data centres whose targets get no new work, by name.
	EvacuatedDataCentres []string `json:"evacuated_data_centres,omitempty"`
}

// Keys of the key-value service that belong to the configuration.
const (
	Key           = "control/config"
	HistoryPrefix = "history/config/"
)

// HostSettings holds the operators' settings of one host.
type HostSettings struct {
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	// ChecksFencing declares that the host's engine refuses orders with an outdated fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Drain takes the host out of service without interrupting requests in flight.
	Drain bool `json:"drain,omitempty"`
}

// Model is a model that selectors can refer to.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// WeightBytes is the amount of data that each host of a group fetches from the weight store.
	WeightBytes int64 `json:"weight_bytes"`
	// SlotsPerGroup is the number of requests that a group runs concurrently.
	SlotsPerGroup int `json:"slots_per_group"`
}

// LabelOperator is the operator of a label requirement.
type LabelOperator string

// Label operators.
const (
	OperatorIn           LabelOperator = "In"
	OperatorNotIn        LabelOperator = "NotIn"
	OperatorExists       LabelOperator = "Exists"
	OperatorDoesNotExist LabelOperator = "DoesNotExist"
)

// LabelRequirement is one expression of a selector.
type LabelRequirement struct {
	Key      string        `json:"key"`
	Operator LabelOperator `json:"operator"`
	Values   []string      `json:"values,omitempty"`
}

// WorkClass separates work by its estimated length.
type WorkClass string

// Classes of work.
const (
	ClassShort WorkClass = "short"
	ClassLong  WorkClass = "long"
)

// Window is a daily time span in a named time zone. A span whose end is not after its start runs past midnight;
// Days are the days on which it starts.
type Window struct {
	Days     []string `json:"days,omitempty"` // "mon" to "sun"; empty means every day
	From     string   `json:"from"`           // "HH:MM"
	To       string   `json:"to"`             // "HH:MM"
	TimeZone string   `json:"time_zone"`      // IANA name
}

// Selector declares which hosts form groups and of what size, and which work they serve, for whom and when.
type Selector struct {
	Name             string             `json:"name"`
	Firm             string             `json:"firm"`
	MatchLabels      map[string]string  `json:"match_labels,omitempty"`
	MatchExpressions []LabelRequirement `json:"match_expressions,omitempty"`
	GroupSize        int                `json:"group_size"`

	// Exactly one of Model and Service is set.
	Model        string   `json:"model,omitempty"`
	ModelVersion string   `json:"model_version,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Service      string   `json:"service,omitempty"`

	// Workspaces lists the workspaces served; empty means all workspaces of the firm.
	Workspaces []string `json:"workspaces,omitempty"`
	// Classes lists the work classes served; empty means all.
	Classes []WorkClass `json:"classes,omitempty"`
	// Windows lists the time windows in which the selector is active; empty means always.
	Windows []Window `json:"windows,omitempty"`
	// Priority is the order in which selectors get hosts: higher first, then by name.
	Priority int `json:"priority"`
	// WantedGroups is the number of groups to form in the whole fleet; 0 means as many as possible.
	WantedGroups int `json:"wanted_groups"`
	// ShortShare is the fraction of each group's slots reserved for short work, 0 to 1; nil means the preset's.
	ShortShare *float64 `json:"short_share,omitempty"`
}

// IdempotencyRule declares calls of a plain service as idempotent, so that they may be retried.
type IdempotencyRule struct {
	Method string `json:"method"`
	// Path is a path.Match pattern relative to /v1/services/{service}.
	Path string `json:"path"`
}

// Service is a plain service to which the system routes calls.
type Service struct {
	Name       string            `json:"name"`
	Firm       string            `json:"firm"`
	Idempotent []IdempotencyRule `json:"idempotent,omitempty"`
	// MaxConcurrent is the limit of concurrent calls for each host of the service; 0 means the default.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// Preset names an admission policy.
type Preset string

// Presets of the admission policy.
const (
	PresetWaitingFirst Preset = "waiting_first"
	PresetCrestFirst   Preset = "crest_first"
)

// Workspace is a team of a firm that shares the platform.
type Workspace struct {
	Name string `json:"name"`
	Firm string `json:"firm"`
	// KeyHashes are the SHA-256 hashes of the workspace's bearer keys, in hex.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the workspace's weight in fair queueing; 0 means 1.
	Weight int    `json:"weight,omitempty"`
	Preset Preset `json:"preset,omitempty"`
	Limits Limits `json:"limits,omitzero"`
	// RequireIdempotencyKey refuses calls that are not declared idempotent and carry no idempotency key.
	RequireIdempotencyKey bool `json:"require_idempotency_key,omitempty"`
}

// Limits are the limits of a workspace. A zero field means the system's default.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Concurrent        int     `json:"concurrent,omitempty"`
	BodyBytes         int64   `json:"body_bytes,omitempty"`
	MaxTokens         int     `json:"max_tokens,omitempty"`
}

// OperatorRole defines what an operator is permitted to do.
type OperatorRole string

// Roles of operators.
const (
	RoleViewer OperatorRole = "viewer" // read only
	RoleEditor OperatorRole = "editor" // change the firms listed in Operator.Firms
	RoleAdmin  OperatorRole = "admin"  // change everything
)

// Operator is a person or program that uses the admin API.
type Operator struct {
	Name      string       `json:"name"`
	TokenHash string       `json:"token_hash"` // hex SHA-256
	Role      OperatorRole `json:"role"`
	Firms     []string     `json:"firms,omitempty"`
}

// Objective is a service-level objective of a firm, or of one workspace.
type Objective struct {
	Firm      string `json:"firm"`
	Workspace string `json:"workspace,omitempty"`
	// Availability is the target fraction of complete responses, for example 0.999.
	Availability float64 `json:"availability"`
	// FirstTokenMS, TokenGapMS and ShortWaitMS are latency limits in milliseconds. The fraction LatencyShare of
	// requests must stay within them.
	FirstTokenMS int     `json:"first_token_ms,omitempty"`
	TokenGapMS   int     `json:"token_gap_ms,omitempty"`
	ShortWaitMS  int     `json:"short_wait_ms,omitempty"`
	LatencyShare float64 `json:"latency_share,omitempty"`
}
