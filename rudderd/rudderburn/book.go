package rudderburn

import (
	"slices"
	"sort"
	"sync"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// Ending is how one request ended at this entry host.
type Ending struct {
	At        time.Time
	Firm      string
	Workspace string
	Class     rudderconfig.WorkClass
	// Outcome is complete, not_run or may_have_run.
	Outcome string
	// Wait for a slot. FirstToken and MeanGap are 0 when there were no tokens.
	Wait       time.Duration
	FirstToken time.Duration
	MeanGap    time.Duration
	Tokens     int
}

// Outcomes as docs/design.md names them.
const (
	outcomeComplete = "complete"
	outcomeNotRun   = "not_run"
)

// Book counts endings by workspace. The zero value is ready; it is safe for concurrent use.
type Book struct {
	mu         sync.Mutex
	workspaces map[[2]string]*account // by firm and workspace
}

type account struct {
	fine, coarse series
}

// Record counts an ending against the limits of an objective.
func (b *Book) Record(e Ending, limits rudderconfig.Objective) {
	counts := judge(e, limits)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.workspaces == nil {
		b.workspaces = make(map[[2]string]*account)
	}
	key := [2]string{e.Firm, e.Workspace}
	a, ok := b.workspaces[key]
	if !ok {
		a = &account{fine: series{span: fineSpan, length: fineLength}, coarse: series{span: coarseSpan, length: coarseLength}}
		b.workspaces[key] = a
	}
	add(a.fine.bucket(e.At), counts)
	add(a.coarse.bucket(e.At), counts)
}

// judge turns one ending into counts.
func judge(e Ending, limits rudderconfig.Objective) Counts {
	c := Counts{Total: 1}
	switch {
	case e.Outcome == outcomeComplete:
		c.Complete = 1
	case e.Outcome == outcomeNotRun:
		c.Refused = 1
	case e.Tokens > 0:
		c.Truncated = 1
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
	if e.FirstToken > 0 {
		c.FirstToken, c.LateFirstToken = late(e.FirstToken, limits.FirstTokenMS)
	}
	if e.MeanGap > 0 {
		c.TokenGap, c.LateTokenGap = late(e.MeanGap, limits.TokenGapMS)
	}
	if e.Class == rudderconfig.ClassShort && e.Outcome == outcomeComplete {
		c.ShortWait, c.LateShortWait = late(e.Wait, limits.ShortWaitMS)
	}
	return c
}

// Snapshot is the state of one entry host's book. It is what peers exchange and what the key-value
// service keeps under KeyPrefix.
type Snapshot struct {
	Entry string `json:"entry"`
	// TakenUnixMS is when it was taken, in milliseconds since the Unix epoch.
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

// KeyPrefix is the key prefix of stored snapshots; the entry host's name follows.
const KeyPrefix = "burn/"

// Snapshot copies the book, without buckets that are older than the day.
func (b *Book) Snapshot(entry string, now time.Time) Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Snapshot{Entry: entry, TakenUnixMS: now.UnixMilli(), Workspaces: []WorkspaceSnapshot{}}
	for key, a := range b.workspaces {
		s.Workspaces = append(s.Workspaces, WorkspaceSnapshot{
			Firm: key[0], Workspace: key[1],
			Fine:   recent(a.fine, now),
			Coarse: recent(a.coarse, now),
		})
	}
	sort.Slice(s.Workspaces, func(i, j int) bool { return s.Workspaces[i].Workspace < s.Workspaces[j].Workspace })
	return s
}

func recent(s series, now time.Time) []Bucket {
	oldest := now.Add(-s.span * time.Duration(s.length)).Unix()
	return slices.DeleteFunc(slices.Clone(s.buckets), func(b Bucket) bool { return b.StartUnix <= oldest })
}

// Restore takes the counts of an earlier process of the same entry host, so that a restart does not
// lose the day. It must be called before the first Record.
func (b *Book) Restore(s Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.workspaces == nil {
		b.workspaces = make(map[[2]string]*account)
	}
	for _, w := range s.Workspaces {
		b.workspaces[[2]string{w.Firm, w.Workspace}] = &account{
			fine:   series{span: fineSpan, length: fineLength, buckets: slices.Clone(w.Fine)},
			coarse: series{span: coarseSpan, length: coarseLength, buckets: slices.Clone(w.Coarse)},
		}
	}
}
