// Package rudderadmission is the admission control of one shard of groups: slots, a fair queue, slots
// reserved for short work, deadlines and refusals. Its state lives at the shard's owner. It does no I/O;
// callers pass the time.
package rudderadmission

import (
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// Policy holds the parameters of admission for the work of one workspace.
type Policy struct {
	// ShortShare is the share of each group's slots that long work may not take, 0 to 1. A group's own
	// ShortShare overrides it.
	ShortShare float64
	// Headroom sets how many slots of the shard long work leaves free for short work: the mean demand of
	// short work plus Headroom times the square root of that mean. A negative value disables it.
	Headroom float64
	// ShortDeadline and LongDeadline bound the time in the queue of requests without a deadline.
	ShortDeadline time.Duration
	LongDeadline  time.Duration
	// QueuePerSlot bounds the length of the shard's queue, in entries per slot.
	QueuePerSlot float64
	// Quantum is the deficit round robin quantum of a workspace of weight 1, in estimated tokens.
	Quantum int
	// AffinitySlack is how far the utilisation of a group that holds a prefix of the prompt may be above the
	// least utilised group's for the group to be preferred, 0 to 1.
	AffinitySlack float64
	// AgingShare is the share of the time until its deadline after which long work is tried before short work,
	// so that a steady stream of short work cannot starve it. Slots reserved for short work stay reserved.
	AgingShare float64
}

// PolicyFor returns the policy of a preset. An unknown or empty preset gets waiting_first.
//
// waiting_first trades capacity for long work against a short wait of short work, and refuses early.
// crest_first queues more work and for longer, so that the peak of a swing in demand is served late instead
// of refused.
func PolicyFor(preset rudderconfig.Preset) Policy {
	policy := Policy{
		ShortShare: 0.25, Headroom: 2.5,
		ShortDeadline: 2 * time.Second, LongDeadline: 60 * time.Second,
		QueuePerSlot: 1, Quantum: 256, AffinitySlack: 0.6, AgingShare: 0.5,
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
