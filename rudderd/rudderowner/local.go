package rudderowner

import (
	"context"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/shared/rudderpeer"
)

// localShare is the share of a shard's slots that is divided among the live members while its owner is
// unreachable. It is in use for the suspicion time of 3 s; engines queue the requests above their slots.
const localShare = 0.25

// fromLocalShare takes a slot of this entry host's local share without asking the owner. If only an unconfirmed
// group has a free slot, it is confirmed first. o.mu is not held.
func (o *Owner) fromLocalShare(ctx context.Context, shard string, work Work) (*Slot, bool, error) {
	slot, unconfirmed, err := o.takeLocal(shard, work)
	if unconfirmed == "" {
		return slot, err != nil, err
	}
	if !o.confirm(ctx, unconfirmed) {
		return nil, true, err
	}
	slot, _, err = o.takeLocal(shard, work)
	return slot, err != nil, err
}

// confirm requests confirmation from the members of a group, in one call at a time per group. After a failure the
// group is not called for suspectTTL, so that not each request waits for members that do not answer.
func (o *Owner) confirm(ctx context.Context, group string) bool {
	if o.Confirm == nil {
		return false
	}
	confirmed, _, _ := o.confirming.Do(group, func() (any, error) {
		o.mu.Lock()
		failed := o.Clock.Now().Before(o.unconfirmed[group])
		o.mu.Unlock()
		if failed {
			return false, nil
		}
		confirmed := o.Confirm(context.WithoutCancel(ctx), group)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.view.at = time.Time{} // refresh reads the new confirmations
		if o.refresh(o.Clock.Now()); !confirmed {
			o.unconfirmed[group] = o.Clock.Now().Add(suspectTTL)
		}
		return confirmed, nil
	})
	return confirmed.(bool)
}

// takeLocal takes a slot of a confirmed group. Without one it returns the ID of a group to confirm, if any.
func (o *Owner) takeLocal(shard string, work Work) (slot *Slot, unconfirmed string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.view.byID[shard]
	used, mine := 0, map[string]int{}
	for _, s := range o.slots {
		mine[s.group]++
		if s.local && s.currentShard() == shard {
			used++
		}
	}
	limit := max(1, int(localShare*float64(known.Slots())/float64(max(1, len(o.view.owners[shard])))))
	now := o.uptime(o.Clock.Now())
	o.limits.SetHosts(len(o.view.members), now)
	best, free := -1, 0
	for i, g := range known.Groups() {
		room := g.Slots - max(g.Load, mine[g.ID])
		if g.Draining || slices.Contains(work.Avoid, g.ID) || room <= 0 || !o.limits.HasShare(rudderlimit.Process{Target: g.Leader}, now) {
			continue
		}
		if g.Unconfirmed {
			unconfirmed = g.ID
		} else if room > free {
			best, free = i, room
		}
	}
	refused := &refusedError{after: suspectTTL, reason: "no slot from the shard owner, local share in use"}
	switch {
	case used >= limit:
		return nil, "", refused
	case best < 0:
		refused.unconfirmed = unconfirmed != ""
		return nil, unconfirmed, refused
	}
	g := known.Groups()[best]
	o.limits.TakeShare(rudderlimit.Process{Target: g.Leader}, now)
	return o.holdLocked(shard, work, g.ID, g.Leader, true), "", nil
}

// admissionClient returns the Admission service of a member; this entry host's own is called in process. o.mu
// is held.
func (o *Owner) admissionClient(m ruddermember.Member) rudderpeer.Admission {
	if m.Name == o.Self.Name {
		return (*server)(o)
	}
	client := o.clients[m.PeerAddress]
	if client == nil {
		client = rudderpeer.NewAdmissionProtobufClient("http://"+m.PeerAddress, o.HTTPClient)
		o.clients[m.PeerAddress] = client
	}
	return client
}

func (o *Owner) markSuspect(m ruddermember.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m.Name != o.Self.Name {
		o.suspect[m.Name] = o.Clock.Now().Add(suspectTTL)
		o.Logger.Warn().Str("owner", m.Name).Msg("shard owner did not answer, using the local share")
	}
}

func (o *Owner) isSuspect(m ruddermember.Member) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.Clock.Now().Before(o.suspect[m.Name])
}

// PrimaryAndStandbyGroups returns the IDs of the groups in the shards that this entry host owns, or would own
// if the owner died. Their confirmations must be kept up to date here.
func (o *Owner) PrimaryAndStandbyGroups() map[string]bool {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refresh(o.Clock.Now())
	followed := map[string]bool{}
	for id, shard := range o.view.byID {
		if o.rank(id) > 1 {
			continue
		}
		for _, g := range shard.Groups() {
			followed[g.ID] = true
		}
	}
	return followed
}

// allUnconfirmed reports whether a shard has groups to serve but none of them is confirmed at this entry
// host, as just after it became the owner.
func allUnconfirmed(s rudderrouter.Shard) bool {
	some := false
	for _, g := range s.Groups() {
		if !g.Draining && !g.Unconfirmed {
			return false
		}
		some = some || g.Unconfirmed
	}
	return some
}
