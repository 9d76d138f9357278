package rudderowner

import (
	"maps"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderadmission"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/shared/rudderpeer"
)

// view is what this entry host knows of shards and their owners.
type view struct {
	at      time.Time
	shards  []rudderrouter.Shard
	owners  map[string][]ruddermember.Member // by shard ID, in rank order
	members []ruddermember.Member
	byID    map[string]rudderrouter.Shard
	byGroup map[string]string // group ID to shard ID
}

// refresh recomputes the view when it is older than viewInterval, or out of date. o.mu is held.
func (o *Owner) refresh(now time.Time) {
	interval := viewInterval
	if o.changed.Load() {
		interval = changedInterval
	}
	if o.view.byID != nil && now.Sub(o.view.at) < interval {
		return
	}
	o.changed.Store(false)
	members := o.Members()
	v := view{
		at: now, shards: rudderrouter.BuildShards(o.Groups()), members: members,
		byID: map[string]rudderrouter.Shard{}, byGroup: map[string]string{},
	}
	v.owners = o.view.ownersOf(v.shards, members)
	for _, s := range v.shards {
		v.byID[s.ID()] = s
		for _, g := range s.Groups() {
			v.byGroup[g.ID] = s.ID()
		}
	}
	o.view = v
	o.hints.Advance(now)
	o.hints.Forget(func(group string) bool { return v.byGroup[group] != "" })
	o.followGroups(now, members)
	o.pruneMembers(members)
	o.endPolls()
	gone := func(shard string) bool { _, known := v.byID[shard]; return !known }
	maps.DeleteFunc(o.loads, func(shard string, _ loadAt) bool { return gone(shard) })
	maps.DeleteFunc(o.renewed, func(shard string, _ renewal) bool { return gone(shard) })
}

// ownersOf ranks the owners of shards. The ranks of the last view stay when nothing they depend on has
// changed: ranking 330 members for each shard at each view would take much of an entry host's budget.
func (v *view) ownersOf(shards []rudderrouter.Shard, members []ruddermember.Member) map[string][]ruddermember.Member {
	same := v.owners != nil && slices.Equal(v.members, members) &&
		slices.EqualFunc(v.shards, shards, func(a, b rudderrouter.Shard) bool {
			return a.ID() == b.ID() && slices.EqualFunc(a.Groups(), b.Groups(), func(a, b rudderrouter.Group) bool {
				return a.DataCentre == b.DataCentre && a.Region == b.Region
			})
		})
	if same {
		return v.owners
	}
	return rudderrouter.Owners(shards, members)
}

// pruneMembers forgets clients of hosts that have left.
func (o *Owner) pruneMembers(members []ruddermember.Member) {
	addresses, names := map[string]bool{}, map[string]bool{}
	for _, m := range members {
		addresses[m.PeerAddress], names[m.Name] = true, true
	}
	maps.DeleteFunc(o.clients, func(address string, _ rudderpeer.Admission) bool { return !addresses[address] })
	maps.DeleteFunc(o.suspect, func(name string, _ time.Time) bool { return !names[name] })
}

// rank is the place of this entry host among the owners of a shard: 0 owns it.
func (o *Owner) rank(shard string) int {
	for i, m := range o.view.owners[shard] {
		if m.Name == o.Self.Name {
			return i
		}
	}
	return len(o.view.owners[shard])
}

// followGroups brings the owned shards up to date and gives up those that moved away.
func (o *Owner) followGroups(now time.Time, members []ruddermember.Member) {
	live := map[string]bool{o.Self.Name: true}
	for _, m := range members {
		live[m.Name] = true
	}
	for id, owned := range o.owned {
		shard, exists := o.view.byID[id]
		switch rank := o.rank(id); {
		case !exists || rank > 1:
			owned.handOver(now)
			delete(o.owned, id)
			continue
		case rank == 1:
			owned.handOver(now)
		}
		owned.follow(now, shard)
		owned.deliver(now, owned.shard.KeepHolders(now, func(holder string) bool { return live[holder] }))
	}
}

func (s *ownedShard) follow(now time.Time, shard rudderrouter.Shard) {
	groups := make([]rudderadmission.Group, 0, len(shard.Groups()))
	for _, g := range shard.Groups() {
		groups = append(groups, rudderadmission.Group{
			ID: g.ID, Leader: g.Leader, Slots: g.Slots, ShortShare: g.ShortShare, Draining: g.Draining || g.Unconfirmed,
		})
	}
	s.deliver(now, s.shard.SetGroups(now, groups))
	for _, g := range shard.Groups() {
		if g.LoadAtUnixMS > s.reported[g.ID] {
			s.reported[g.ID] = g.LoadAtUnixMS
			s.shard.Report(g.ID, g.Load, time.UnixMilli(g.LoadAtUnixMS))
		}
	}
}
