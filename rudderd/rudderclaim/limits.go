package rudderclaim

import "time"

// ShardCount is the number of shards that keys are distributed over.
const ShardCount = 16

// Limits bound what one shard remembers and how often it writes.
type Limits struct {
	// Retention is how long a key's record is kept in full.
	Retention time.Duration
	// ClockSkew is the largest difference between clocks of callers and entry hosts.
	ClockSkew time.Duration
	// ReleasedTokenRetention is how long a released token is remembered, so that its delayed claim is refused.
	ReleasedTokenRetention time.Duration
	// MaxOpaqueKeys is how many opaque keys one shard remembers, live and expired.
	MaxOpaqueKeys int
	// HeadBytes is the size above which the records of an idle shard's head move to a segment, so that
	// writes of the head stay small.
	HeadBytes int
	// BusyHeadBytes is that size on a shard that uses its whole write rate, where claims need the writes
	// that moving records would take.
	BusyHeadBytes int
	// SegmentBytes bounds a segment's encoded size.
	SegmentBytes int
	// CompactMinSegments is the least number of adjacent segments, small enough to fit into one, that are
	// compacted.
	CompactMinSegments int
	// BatchBytes bounds the size of the answers in one write.
	BatchBytes int
	// WritesPerSecond is the write rate of one shard.
	WritesPerSecond float64
	// WriteBurst is how many writes a shard may do before it waits for its rate.
	WriteBurst float64
	// MinLinger is how long a claim waits on an idle shard for other operations to share its write.
	MinLinger time.Duration
	// SettleLinger is how long settlements and releases wait for claims to share their write.
	SettleLinger time.Duration
	// MaxHeadAge is the time since the store last answered after which the head is read before it is
	// written, so that a store restored to an older state is noticed.
	MaxHeadAge time.Duration
	// ContentionPeriod is how long another collector is assumed to write the shard after a write conflict.
	ContentionPeriod time.Duration
	// RecallAfter is the time without an answer of the store after which the entry hosts are queried for
	// their granted claims before the shard grants more: another collector may have written in between. 0
	// disables recalls.
	RecallAfter time.Duration
	// RecallRetry is the interval after which an incomplete recall is repeated.
	RecallRetry time.Duration
	// StoreRetryDelay is the pause before the store is called again after a failure.
	StoreRetryDelay time.Duration
}

// DefaultLimits returns limits that keep 16 shards below 150 writes a second.
func DefaultLimits() Limits {
	return Limits{
		Retention:              24 * time.Hour,
		ClockSkew:              5 * time.Minute,
		ReleasedTokenRetention: 24 * time.Hour,
		MaxOpaqueKeys:          100_000,
		HeadBytes:              2 << 10,
		BusyHeadBytes:          128 << 10,
		SegmentBytes:           512 << 10,
		CompactMinSegments:     8,
		BatchBytes:             256 << 10,
		WritesPerSecond:        8.5, // 16 shards: 136 writes a second, and the bursts below it
		WriteBurst:             5,
		MinLinger:              time.Millisecond,
		SettleLinger:           250 * time.Millisecond,
		MaxHeadAge:             time.Second,
		ContentionPeriod:       10 * time.Second,
		StoreRetryDelay:        100 * time.Millisecond,
	}
}
