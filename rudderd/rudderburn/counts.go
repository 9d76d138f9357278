// Package rudderburn measures service levels. It counts request results against the objectives of the firms,
// merges the counts of all entry hosts and reports the burn rates of the error budgets.
package rudderburn

import (
	"time"

	"comfreyrudder.example/shared/rudderadmin"
)

// Counts are the counts of requests in a period of time.
type Counts = rudderadmin.BurnCounts

// Bucket holds the counts of one time interval of a series.
type Bucket = rudderadmin.BurnBucket

func addCounts(c *Counts, o Counts) {
	c.Total += o.Total
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

// Each workspace has two series: a fine one that covers an hour, for the short windows, and a coarse one that
// covers a day. The span is the time interval of a bucket, the length the number of buckets.
const (
	fineSpan     = time.Minute
	fineLength   = 60
	coarseSpan   = 15 * time.Minute
	coarseLength = 96
)

// series is a list of at most length buckets, ordered by time.
type series struct {
	span    time.Duration
	length  int
	buckets []Bucket
}

// bucket returns the counts of the bucket for a time and adds the bucket if needed. Times arrive in order
// apart from small steps back, which count towards the newest bucket.
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
