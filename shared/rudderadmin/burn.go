package rudderadmin

// BurnReport is the report on service-level burn.
type BurnReport struct {
	// CreatedUnixMS is when it was made, in milliseconds since the Unix epoch.
	CreatedUnixMS int64             `json:"made_unix_ms"`
	Entries       []EntrySource     `json:"entries"`
	Objectives    []ObjectiveReport `json:"objectives"`
	// GroupDowntimeMS by selector is the time missed, summed over missing groups, since the reporting
	// entry host started.
	GroupDowntimeMS map[string]int64 `json:"group_downtime_ms"`
	Stranded        []string         `json:"stranded"`
	// StrandedAccelerators on hosts that are up but in no serving group.
	StrandedAccelerators int `json:"stranded_accelerators"`
}

// Source says where an entry host's counts come from.
type Source string

// Sources of counts.
const (
	SourceLive    Source = "live"    // the entry host answered
	SourceStored  Source = "stored"  // it did not; its last stored counts are used
	SourceMissing Source = "missing" // there are no counts of it
)

// EntrySource says what a report knows of one entry host.
type EntrySource struct {
	Entry  string `json:"entry"`
	Source Source `json:"source"`
	// AgeMS is the age of the counts in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Level names what an objective is about.
type Level string

// Service levels.
const (
	LevelAvailability Level = "availability" // complete answers over asked
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
	// Series holds 24 hours for plots.
	Series []BurnBucket `json:"series"`
}

// LevelReport is one service level of one objective.
type LevelReport struct {
	Level Level `json:"level"`
	// Target is the wanted share of good requests; LimitMS the limit that makes one good.
	Target  float64      `json:"target"`
	LimitMS int          `json:"limit_ms,omitempty"`
	Windows []BurnWindow `json:"windows"`
	// BudgetLeft is the share of the 24-hour error budget that is left; below 0 it is overspent.
	BudgetLeft float64 `json:"budget_left"`
}

// BurnWindow is the burn of one level over one window. A burn of 1 spends the error budget exactly.
type BurnWindow struct {
	Window string  `json:"window"`
	Total  int64   `json:"total"`
	Bad    int64   `json:"bad"`
	Burn   float64 `json:"burn"`
}

// Causes tell what burnt the budget over 24 hours.
type Causes struct {
	Refused    int64 `json:"refused"`
	Late       int64 `json:"late"`
	Cut        int64 `json:"cut"`
	MayHaveRun int64 `json:"may_have_run"`
}

// BurnCounts of requests in a span of time. They add up over spans and entry hosts.
type BurnCounts struct {
	Total      int64 `json:"asked"`
	Complete   int64 `json:"complete"`
	Refused    int64 `json:"refused"`      // ended as not_run
	MayHaveRun int64 `json:"may_have_run"` // ended as may_have_run before anything reached the caller
	Cut        int64 `json:"cut"`          // ended as may_have_run after a part had reached the caller

	FirstToken     int64 `json:"first_token"`      // requests whose first token counts
	LateFirstToken int64 `json:"late_first_token"` // of these, above the limit
	TokenGap       int64 `json:"token_gap"`
	LateTokenGap   int64 `json:"late_token_gap"`
	ShortWait      int64 `json:"short_wait"`
	LateShortWait  int64 `json:"late_short_wait"`
}

// BurnBucket holds the counts of one span.
type BurnBucket struct {
	// StartUnix is the start of the span in seconds since the Unix epoch.
	StartUnix int64 `json:"start_unix"`
	BurnCounts
}
