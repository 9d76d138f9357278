// Package rudderadmission keeps the owner's state for one shard of groups: slots, queue, fairness,
// reserved share for short work, deadlines and refusal. It does no I/O; callers pass the time in.
package rudderadmission

import (
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// Policy holds the parameters of admission for the work of one workspace.
type Policy struct {
	// ShortShare of each group's slots is kept free of long work where the group sets none, 0 to 1.
	ShortShare float64
	// Headroom sets the slots of the shard that long work leaves to short work: the mean of short
	// work in the shard plus this many of its square roots. A negative value turns this off.
	Headroom float64
	// ShortDeadline and LongDeadline bound the time in the queue where the request sets none.
	ShortDeadline time.Duration
	LongDeadline  time.Duration
	// QueuePerSlot bounds the queue of the shard, in entries per slot.
	QueuePerSlot float64
	// Quantum is the number of estimated tokens that a workspace of weight 1 gets per round.
	Quantum int
	// PreferSlack is how far above the least loaded group's utilisation a group that holds the
	// prompt prefix may be and still be chosen, 0 to 1.
	PreferSlack float64
	// AgeShare is the share of its deadline after which long work is tried before short work, so
	// that a steady stream of short work can't starve it. Reserved slots stay reserved.
	AgeShare float64
}

// PolicyFor returns the policy of a preset. An unknown or empty preset takes waiting_first.
//
// waiting_first gives up capacity for long work to keep the waiting time of short work down, and
// refuses early. crest_first queues more and longer, so that the peak of a swing is served late
// rather than refused.
func PolicyFor(preset rudderconfig.Preset) Policy {
	policy := Policy{
		ShortShare: 0.25, Headroom: 2.5,
		ShortDeadline: 2 * time.Second, LongDeadline: 60 * time.Second,
		QueuePerSlot: 1, Quantum: 256, PreferSlack: 0.6, AgeShare: 0.5,
	}
	if preset == rudderconfig.PresetCrestFirst {
		policy.ShortShare, policy.Headroom = 0.125, -1
		policy.ShortDeadline, policy.LongDeadline = 8*time.Second, 120*time.Second
		policy.QueuePerSlot = 4
	}
	return policy
}

func (p Policy) deadline(class rudderconfig.WorkClass) time.Duration {
	if class == rudderconfig.ClassLong {
		return p.LongDeadline
	}
	return p.ShortDeadline
}
