package rudderstore

import "sync/atomic"

// eraBits is the number of bits of a joined revision below the era. Joined revisions stay below 2^53 for thousands of eras,
// so that every JSON decoder keeps them exact.
const eraBits = 40

// JoinRevision returns a revision that also orders those of different eras. An era begins when the service is restored from
// a copy: its revisions go back then and are given out again. The first era is 1, or 0 where the service names none.
func JoinRevision(era, revision int64) int64 { return max(era-1, 0)<<eraBits + revision }

// SplitRevision returns the era of a joined revision, at least 1, and the revision within it.
func SplitRevision(joined int64) (era, revision int64) {
	return joined>>eraBits + 1, joined & (1<<eraBits - 1)
}

// EraStart returns the joined revision before the first one of the era of another joined revision.
func EraStart(joined int64) int64 { return joined >> eraBits << eraBits }

// Eras keeps the newest era that a client of the service has seen. It is safe for concurrent use.
type Eras struct{ newest atomic.Int64 }

// Newest returns the newest era, at least 1.
func (e *Eras) Newest() int64 { return max(e.newest.Load(), 1) }

// Observe records the era of a response. begun is set if it is the first one of a new era.
func (e *Eras) Observe(era int64) (begun bool) {
	for {
		known := e.newest.Load()
		if era <= known {
			return false
		}
		if e.newest.CompareAndSwap(known, era) {
			return true
		}
	}
}
