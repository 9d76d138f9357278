// Package rudderburn measures service levels: it counts how requests ended against the firms'
// objectives, merges the counts of all entry hosts and reports how fast the error budgets burn.
package rudderburn

import "time"

// Counts of requests in a span of time. They add up over spans and entry hosts.
type Counts struct {
	Asked      int64 `json:"asked"`
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

func (c *Counts) add(o Counts) {
	c.Asked += o.Asked
	c.Complete += o.Complete
	c.Refused += o.Refused
	c.MayHaveRun += o.MayHaveRun
	c.Cut += o.Cut
	c.FirstToken += o.FirstToken
	c.LateFirstToken += o.LateFirstToken
	c.TokenGap += o.TokenGap
	c.LateTokenGap += o.LateTokenGap
	c.ShortWait += o.ShortWait
	c.LateShortWait += o.LateShortWait
}

// Bucket holds the counts of one span.
type Bucket struct {
	// StartUnix is the start of the span in seconds since the Unix epoch.
	StartUnix int64 `json:"start_unix"`
	Counts
}

// Spans of the two series of each workspace: a fine one for short windows, a coarse one for the day.
const (
	fineSpan     = time.Minute
	fineLength   = 60
	coarseSpan   = 15 * time.Minute
	coarseLength = 96
)

// series is a list of buckets in order of time, at most length long.
type series struct {
	span    time.Duration
	length  int
	buckets []Bucket
}

// bucket returns the bucket of a time, which it adds if needed. Times come in order but for small
// steps back, which count into the newest bucket.
func (s *series) bucket(at time.Time) *Counts {
	start := at.Truncate(s.span).Unix()
	if n := len(s.buckets); n == 0 || s.buckets[n-1].StartUnix < start {
		s.buckets = append(s.buckets, Bucket{StartUnix: start})
		if len(s.buckets) > s.length {
			s.buckets = append([]Bucket{}, s.buckets[len(s.buckets)-s.length:]...)
		}
	}
	return &s.buckets[len(s.buckets)-1].Counts
}
