package rudderadmin

// BurnReport is the report on the burn of error budgets of service-level objectives.
type BurnReport struct {
	// CreatedUnixMS is the time at which the report was created, in milliseconds since the Unix epoch.
	CreatedUnixMS int64             `json:"made_unix_ms"`
	Entries       []EntrySource     `json:"entries"`
	Objectives    []ObjectiveReport `json:"objectives"`
	// GroupDowntimeMS is, by selector, the time during which wanted groups were missing, summed over the missing groups,
	// since the reporting entry host started.
	GroupDowntimeMS map[string]int64 `json:"group_downtime_ms"`
	// Stranded lists the hosts that are up but in no serving group.
	Stranded []string `json:"stranded"`
	// StrandedAccelerators is the number of accelerators on these hosts.
	StrandedAccelerators int `json:"stranded_accelerators"`
}

// Source is the origin of an entry host's counts in a report.
type Source string

// Sources of counts.
const (
	SourceLive    Source = "live"    // the entry host responded
	SourceStored  Source = "stored"  // the entry host did not respond; its last stored counts are used
	SourceMissing Source = "missing" // no counts of the entry host are available
)

// EntrySource describes the counts of one entry host in a report.
type EntrySource struct {
	Entry  string `json:"entry"`
	Source Source `json:"source"`
	// AgeMS is the age of the counts in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Level is the service level that an objective sets a target for.
type Level string

// Service levels.
const (
	LevelAvailability Level = "availability" // complete responses over requests
	LevelFirstToken   Level = "first_token"
	LevelTokenGap     Level = "token_gap"
	LevelShortWait    Level = "short_wait"
)

// ObjectiveReport is one objective of a firm or a workspace.
type ObjectiveReport struct {
	Firm      string        `json:"firm"`
	Workspace string        `json:"workspace,omitempty"`
	Levels    []LevelReport `json:"levels"`
	Causes    Causes        `json:"causes"`
	// Series covers 24 hours, for plots.
	Series []BurnBucket `json:"series"`
}

// LevelReport is one service level of one objective.
type LevelReport struct {
	Level Level `json:"level"`
	// Target is the target fraction of good requests; LimitMS is the latency up to which a request is good.
	Target  float64      `json:"target"`
	LimitMS int          `json:"limit_ms,omitempty"`
	Windows []BurnWindow `json:"windows"`
	// BudgetLeft is the remaining fraction of the 24-hour error budget; it is negative if the budget is overspent.
	BudgetLeft float64 `json:"budget_left"`
}

// BurnWindow is the burn rate of one level over one window. A burn rate of 1 uses up exactly the error budget.
type BurnWindow struct {
	Window string  `json:"window"`
	Total  int64   `json:"total"`
	Bad    int64   `json:"bad"`
	Burn   float64 `json:"burn"`
}

// Causes counts the requests that used the error budget over 24 hours, by cause.
type Causes struct {
	Refused    int64 `json:"refused"`
	Late       int64 `json:"late"`
	Cut        int64 `json:"cut"`
	MayHaveRun int64 `json:"may_have_run"`
}

// BurnCounts counts requests in a time span. Counts of several spans and entry hosts can be added.
type BurnCounts struct {
	Total      int64 `json:"asked"`
	Complete   int64 `json:"complete"`
	Refused    int64 `json:"refused"`      // ended as not_run
	MayHaveRun int64 `json:"may_have_run"` // ended as may_have_run before any part of the response was sent to the caller
	Cut        int64 `json:"cut"`          // ended as may_have_run after a part of the response was sent to the caller

	FirstToken     int64 `json:"first_token"`      // requests with a limit on the first token
	LateFirstToken int64 `json:"late_first_token"` // of these, those above the limit
	TokenGap       int64 `json:"token_gap"`
	LateTokenGap   int64 `json:"late_token_gap"`
	ShortWait      int64 `json:"short_wait"`
	LateShortWait  int64 `json:"late_short_wait"`
}

// BurnBucket holds the counts of one time span.
type BurnBucket struct {
	// StartUnix is the start of the span in seconds since the Unix epoch.
	StartUnix int64 `json:"start_unix"`
	BurnCounts
}
