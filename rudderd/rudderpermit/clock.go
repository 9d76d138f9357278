package rudderpermit

import "time"

// Elapsed is the time from since to now by the monotonic or the wall clock, whichever says more. The
// monotonic clock may stand still while a machine is suspended; the wall clock may be set back. A
// result that is too long only makes a permit end early.
func Elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)), 0)
}
