package rudderowner

import (
	"context"
	"time"

	"comfreyrudder.example/shared/rudderpeer"
)

// Outcome is what the holder knows of the run when it releases a slot.
type Outcome struct {
	// Tokens is the work done, see rudderadmission.WorkTokens; 0 if unknown.
	Tokens int
	// Failed marks a run whose duration says nothing about the group's speed.
	Failed bool
}

// Slot is the right to run one request on a group.
type Slot struct {
	owner  *Owner
	work   Work
	group  string
	leader string
	shard  string
	local  bool
	since  time.Time
}

// Group is the ID of the group to run on.
func (s *Slot) Group() string { return s.group }

// Leader is the address that takes the group's requests.
func (s *Slot) Leader() string { return s.leader }

// Local reports that the slot comes from the local share because the owner didn't answer.
func (s *Slot) Local() bool { return s.local }

// Release frees the slot without waiting for the owner. A second call does nothing.
func (s *Slot) Release(outcome Outcome) {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.slots[s.work.RequestID] != s {
		return
	}
	delete(o.slots, s.work.RequestID)
	o.sendRelease(s.currentShard(), &rudderpeer.ReleasedSlot{
		RequestId: s.work.RequestID, Tokens: int64(outcome.Tokens), Failed: outcome.Failed,
	})
}

// currentShard follows a group whose shard was split or joined. o.mu is held.
func (s *Slot) currentShard() string {
	if shard := s.owner.view.byGroup[s.group]; shard != "" {
		return shard
	}
	return s.shard
}

// sendRelease tells the shard's owner in the background. A lost release is made good by the next
// HeldSlots call, which no longer lists the slot. o.mu is held.
func (o *Owner) sendRelease(shard string, released *rudderpeer.ReleasedSlot) {
	owners := o.view.owners[shard]
	if len(owners) == 0 {
		return
	}
	admission := o.admission(owners[0])
	o.background(func(ctx context.Context) error {
		_, err := admission.Release(ctx, &rudderpeer.ReleaseRequest{
			Shard: shard, Released: []*rudderpeer.ReleasedSlot{released},
		})
		return err
	})
}

// background runs a call to another owner, unless Run has ended. o.mu is held.
func (o *Owner) background(call func(context.Context) error) {
	if o.ended {
		return
	}
	o.calls.Add(1)
	go func() {
		defer o.calls.Done()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := call(ctx); err != nil {
			o.Logger.Debug().Err(err).Msg("call to shard owner failed")
		}
	}()
}

type renewal struct {
	owner string
	at    time.Time
}

// renew sends the list of held slots of each shard to its owner: at intervals, and at once when the
// owner has changed. o.mu is held.
func (o *Owner) renew(now time.Time) {
	held := map[string][]*rudderpeer.HeldSlot{}
	for _, s := range o.slots {
		shard := s.currentShard()
		held[shard] = append(held[shard], &rudderpeer.HeldSlot{
			Work: o.workToWire(s.work), Group: s.group, AgeMs: now.Sub(s.since).Milliseconds(),
		})
	}
	for shard, slots := range held {
		owners := o.view.owners[shard]
		if len(owners) == 0 {
			continue
		}
		last := o.renewed[shard]
		if last.owner == owners[0].Name && now.Sub(last.at) < renewInterval {
			continue
		}
		o.renewed[shard] = renewal{owners[0].Name, now}
		admission := o.admission(owners[0])
		o.background(func(ctx context.Context) error {
			_, err := admission.HeldSlots(ctx, &rudderpeer.HeldSlotsRequest{
				Shard: shard, Holder: o.Self.Name, Slots: slots,
			})
			return err
		})
	}
}
