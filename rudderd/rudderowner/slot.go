package rudderowner

import (
	"context"
	"time"

	"comfreyrudder.example/rudderd/rudderadmission"
	"comfreyrudder.example/shared/rudderpeer"
)

// Outcome describes the run for which a slot was held.
type Outcome struct {
	// Tokens is the work done, see rudderadmission.WorkTokens; 0 if unknown.
	Tokens int
	// Failed is set when the duration of the run is no measure of the group's speed.
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

// Group returns the ID of the group to run on.
func (s *Slot) Group() string { return s.group }

// Leader returns the address that takes the group's requests.
func (s *Slot) Leader() string { return s.leader }

// Local reports whether the slot is of the local share, because the owner did not answer.
func (s *Slot) Local() bool { return s.local }

// Release frees the slot without waiting for the owner. Further calls do nothing.
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

// currentShard returns the shard that has the group now, after shards were split or merged. o.mu is held.
func (s *Slot) currentShard() string {
	if shard := s.owner.view.byGroup[s.group]; shard != "" {
		return shard
	}
	return s.shard
}

// sendRelease sends a release to the shard's owner in the background. If it is lost, the next HeldSlots call,
// which no longer lists the slot, frees the slot. o.mu is held.
func (o *Owner) sendRelease(shard string, released *rudderpeer.ReleasedSlot) {
	owners := o.view.owners[shard]
	if len(owners) == 0 {
		return
	}
	admission := o.admissionClient(owners[0])
	o.background(func(ctx context.Context) error {
		_, err := admission.Release(ctx, &rudderpeer.ReleaseRequest{
			Shard: shard, Released: []*rudderpeer.ReleasedSlot{released},
		})
		return err
	})
}

// background makes a call in a goroutine, unless Run has ended. o.mu is held.
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

// renewal is the last renewal of a shard's slots.
type renewal struct {
	owner string
	at    time.Time
}

// renew sends a summary of the held slots of each shard to its owner, at intervals and immediately after a
// change of owner. o.mu is held.
func (o *Owner) renew(now time.Time) {
	held := map[string]rudderadmission.Summary{}
	for id, s := range o.slots {
		shard := s.currentShard()
		held[shard] = held[shard].With(id, 1)
	}
	// A shard whose last slot was released is renewed until its owner agrees, because the release may be lost.
	for shard := range o.renewed {
		if _, holds := held[shard]; !holds {
			held[shard] = rudderadmission.Summary{}
		}
	}
	for shard, summary := range held {
		owners := o.view.owners[shard]
		if len(owners) == 0 {
			continue
		}
		last := o.renewed[shard]
		if last.owner == owners[0].Name && now.Sub(last.at) < renewInterval {
			continue
		}
		o.renewed[shard] = renewal{owners[0].Name, now}
		admission := o.admissionClient(owners[0])
		o.background(func(ctx context.Context) error {
			response, err := admission.HeldSlots(ctx, &rudderpeer.HeldSlotsRequest{
				Shard: shard, Holder: o.Self.Name, Count: int32(summary.Count), Summary: summary.Hash,
			})
			if err != nil || !response.GetWantList() {
				o.forgetRenewal(shard, err == nil && summary.Count == 0)
				return err
			}
			_, err = admission.HeldSlots(ctx, o.heldList(shard))
			return err
		})
	}
}

// forgetRenewal stops the renewals of a shard without slots once its owner agrees.
func (o *Owner) forgetRenewal(shard string, agreed bool) {
	if !agreed {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.slots {
		if s.currentShard() == shard {
			return
		}
	}
	delete(o.renewed, shard)
}

// heldList returns the list of held slots of a shard, without prompt blocks, which only a grant needs.
func (o *Owner) heldList(shard string) *rudderpeer.HeldSlotsRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	list := &rudderpeer.HeldSlotsRequest{Shard: shard, Holder: o.Self.Name, Listed: true}
	for _, s := range o.slots {
		if s.currentShard() != shard {
			continue
		}
		work := o.workToWire(s.work)
		work.Blocks, work.Avoid = nil, nil
		list.Slots = append(list.Slots, &rudderpeer.HeldSlot{
			Work: work, Group: s.group, AgeMs: now.Sub(s.since).Milliseconds(),
		})
	}
	return list
}
