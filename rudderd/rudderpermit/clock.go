package rudderpermit

import "time"

// Elapsed returns the time from since to now by the monotonic or the wall clock, whichever is longer. The
// monotonic clock may stop while the machine is suspended, and the wall clock may be set back. Too long a
// result only makes a permit expire early.
func Elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)), 0)
}
