package rudderburn

import (
	"slices"
	"sort"
	"sync"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// RequestResult is the result of one request at this entry host.
type RequestResult struct {
	At        time.Time
	Firm      string
	Workspace string
	Class     rudderconfig.WorkClass
	// Outcome is complete, not_run or may_have_run.
	Outcome string
	// Wait is the time that the request waited for a slot.
	Wait time.Duration
	// FirstToken is the time to the first token and MeanGap the mean time between two tokens. Both are 0 when
	// there were no tokens.
	FirstToken time.Duration
	MeanGap    time.Duration
	Tokens     int
}

// Outcomes, as docs/design.md defines them.
const (
	outcomeComplete = "complete"
	outcomeNotRun   = "not_run"
)

// Recorder counts request results per workspace. The zero value is ready to use. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	workspaces map[[2]string]*workspaceSeries // by firm and workspace
}

// workspaceSeries holds the two series of a workspace: a fine one of the last hour and a coarse one of the
// last day.
type workspaceSeries struct {
	fine, coarse series
}

// Record counts a result against the limits of the objective that applies to its workspace.
func (r *Recorder) Record(result RequestResult, objective rudderconfig.Objective) {
	counts := countsOf(result, objective)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.workspaces == nil {
		r.workspaces = make(map[[2]string]*workspaceSeries)
	}
	key := [2]string{result.Firm, result.Workspace}
	w, ok := r.workspaces[key]
	if !ok {
		w = &workspaceSeries{fine: series{span: fineSpan, length: fineLength}, coarse: series{span: coarseSpan, length: coarseLength}}
		r.workspaces[key] = w
	}
	addCounts(w.fine.bucket(result.At), counts)
	addCounts(w.coarse.bucket(result.At), counts)
}

// countsOf returns the counts of one result, with the values above the objective's limits counted as late. A
// limit of 0 is not checked.
func countsOf(result RequestResult, objective rudderconfig.Objective) Counts {
	c := Counts{Total: 1}
	switch {
	case result.Outcome == outcomeComplete:
		c.Complete = 1
	case result.Outcome == outcomeNotRun:
		c.Refused = 1
	case result.Tokens > 0:
		c.Cut = 1
	default:
		c.MayHaveRun = 1
	}
	late := func(value time.Duration, limitMS int) (counted, late int64) {
		if limitMS <= 0 {
			return 0, 0
		}
		if value > time.Duration(limitMS)*time.Millisecond {
			return 1, 1
		}
		return 1, 0
	}
	if result.FirstToken > 0 {
		c.FirstToken, c.LateFirstToken = late(result.FirstToken, objective.FirstTokenMS)
	}
	if result.MeanGap > 0 {
		c.TokenGap, c.LateTokenGap = late(result.MeanGap, objective.TokenGapMS)
	}
	if result.Class == rudderconfig.ClassShort && result.Outcome == outcomeComplete {
		c.ShortWait, c.LateShortWait = late(result.Wait, objective.ShortWaitMS)
	}
	return c
}

// Snapshot holds the counts of one entry host. Entry hosts exchange it, and store it in the key-value service
// under SnapshotKeyPrefix.
type Snapshot struct {
	Entry string `json:"entry"`
	// TakenUnixMS is the time of the snapshot, in milliseconds since the Unix epoch.
	TakenUnixMS int64               `json:"taken_unix_ms"`
	Workspaces  []WorkspaceSnapshot `json:"workspaces"`
}

// WorkspaceSnapshot holds the buckets of one workspace.
type WorkspaceSnapshot struct {
	Firm      string   `json:"firm"`
	Workspace string   `json:"workspace"`
	Fine      []Bucket `json:"fine"`
	Coarse    []Bucket `json:"coarse"`
}

// SnapshotKeyPrefix is the key prefix of stored snapshots. The name of the entry host follows it.
const SnapshotKeyPrefix = "burn/"

// Snapshot copies the counts, without buckets that are older than the period that their series covers.
func (r *Recorder) Snapshot(entry string, now time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{Entry: entry, TakenUnixMS: now.UnixMilli(), Workspaces: []WorkspaceSnapshot{}}
	for key, w := range r.workspaces {
		s.Workspaces = append(s.Workspaces, WorkspaceSnapshot{
			Firm: key[0], Workspace: key[1],
			Fine:   recent(w.fine, now),
			Coarse: recent(w.coarse, now),
		})
	}
	sort.Slice(s.Workspaces, func(i, j int) bool { return s.Workspaces[i].Workspace < s.Workspaces[j].Workspace })
	return s
}

// recent returns the buckets that lie within the period that the series covers.
func recent(s series, now time.Time) []Bucket {
	oldest := now.Add(-s.span * time.Duration(s.length)).Unix()
	return slices.DeleteFunc(slices.Clone(s.buckets), func(b Bucket) bool { return b.StartUnix <= oldest })
}

// Restore loads the counts that an earlier process of the same entry host stored, so that a restart does not
// lose the counts of the last day. It must be called before the first Record.
func (r *Recorder) Restore(s Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.workspaces == nil {
		r.workspaces = make(map[[2]string]*workspaceSeries)
	}
	for _, w := range s.Workspaces {
		r.workspaces[[2]string{w.Firm, w.Workspace}] = &workspaceSeries{
			fine:   series{span: fineSpan, length: fineLength, buckets: slices.Clone(w.Fine)},
			coarse: series{span: coarseSpan, length: coarseLength, buckets: slices.Clone(w.Coarse)},
		}
	}
}
