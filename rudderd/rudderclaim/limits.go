package rudderclaim

import "time"

// ShardCount is the number of shards that keys are spread over.
const ShardCount = 16

// Limits bound what one shard remembers and how often it writes.
type Limits struct {
	// Retention is how long a key's record is kept in full.
	Retention time.Duration
	// ClockSkew is the largest difference between clocks of callers and entry hosts.
	ClockSkew time.Duration
	// ReleasedFor is how long a released token is remembered, so that its delayed claim is refused.
	ReleasedFor time.Duration
	// OpaqueKeys is how many opaque keys one shard remembers, live and expired.
	OpaqueKeys int
	// HeadBytes is the size of the head's records above which they move to a segment on an idle shard.
	// A small head makes small writes.
	HeadBytes int
	// BusyHeadBytes is that size on a shard that uses its whole write rate: moving records costs
	// writes that claims need.
	BusyHeadBytes int
	// SegmentBytes bounds a segment's encoded size.
	SegmentBytes int
	// CompactRun is how many adjacent segments that fit into one are replaced together.
	CompactRun int
	// BatchBytes bounds the answers that one write carries.
	BatchBytes int
	// WritesPerSecond is the write rate of one shard.
	WritesPerSecond float64
	// WriteBurst is how many writes a shard may do before it waits for its rate.
	WriteBurst float64
	// MinLinger is how long a claim waits for company on an idle shard.
	MinLinger time.Duration
	// SettleLinger is how long settlements and releases wait for claims to share a write with.
	SettleLinger time.Duration
	// ReadAfter is the time without contact after which the head is read before it is written, so
	// that a service restored to an older state is noticed.
	ReadAfter time.Duration
	// RivalFor is how long another collector is taken to be active after a write lost against it.
	RivalFor time.Duration
	// RecallAfter is the time without contact after which the entry hosts are asked for their claims
	// before the shard grants more: another collector may have written in between. 0 never asks.
	RecallAfter time.Duration
	// RecallRetry is after how long they are asked again when one of them did not answer.
	RecallRetry time.Duration
	// RetryAfter is the pause before the service is called again after it failed.
	RetryAfter time.Duration
}

// DefaultLimits keep 16 shards below 150 writes a second.
func DefaultLimits() Limits {
	return Limits{
		Retention:       24 * time.Hour,
		ClockSkew:       5 * time.Minute,
		ReleasedFor:     24 * time.Hour,
		OpaqueKeys:      100_000,
		HeadBytes:       2 << 10,
		BusyHeadBytes:   128 << 10,
		SegmentBytes:    512 << 10,
		CompactRun:      8,
		BatchBytes:      256 << 10,
		WritesPerSecond: 8.5, // 16 shards: 136 writes a second, and the bursts below it
		WriteBurst:      5,
		MinLinger:       time.Millisecond,
		SettleLinger:    250 * time.Millisecond,
		ReadAfter:       time.Second,
		RivalFor:        10 * time.Second,
		RetryAfter:      100 * time.Millisecond,
	}
}
