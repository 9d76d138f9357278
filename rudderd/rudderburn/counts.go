// Package rudderburn measures service levels: it counts how requests ended against the firms'
// objectives, merges the counts of all entry hosts and reports how fast the error budgets burn.
package rudderburn

import (
	"time"

	"comfreyrudder.example/shared/rudderadmin"
)

// Counts of requests in a span of time.
type Counts = rudderadmin.BurnCounts

// Bucket holds the counts of one span.
type Bucket = rudderadmin.BurnBucket

func add(c *Counts, o Counts) {
	c.Total += o.Total
	c.Complete += o.Complete
	c.Refused += o.Refused
	c.MayHaveRun += o.MayHaveRun
	c.Truncated += o.Truncated
	c.FirstToken += o.FirstToken
	c.LateFirstToken += o.LateFirstToken
	c.TokenGap += o.TokenGap
	c.LateTokenGap += o.LateTokenGap
	c.ShortWait += o.ShortWait
	c.LateShortWait += o.LateShortWait
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
	return &s.buckets[len(s.buckets)-1].BurnCounts
}
