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

// view is a cached snapshot of the shards and their owners.
type view struct {
	at      time.Time
	shards  []rudderrouter.Shard
	owners  map[string][]ruddermember.Member // by shard ID, in rank order
	members []ruddermember.Member
	byID    map[string]rudderrouter.Shard
	byGroup map[string]string // group ID to shard ID
}

// refresh recomputes the view when it is older than viewInterval, or than staleViewInterval after
// InvalidateView. o.mu is held.
func (o *Owner) refresh(now time.Time) {
	interval := viewInterval
	if o.viewStale.Load() {
		interval = staleViewInterval
	}
	if o.view.byID != nil && now.Sub(o.view.at) < interval {
		return
	}
	o.viewStale.Store(false)
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
	o.hints.SetTime(now)
	o.hints.PruneGroups(func(group string) bool { return v.byGroup[group] != "" })
	o.syncOwnedShards(now)
	o.pruneMembers(members)
	o.cancelStalePolls()
	gone := func(shard string) bool { _, known := v.byID[shard]; return !known }
	maps.DeleteFunc(o.loads, func(shard string, _ timedLoad) bool { return gone(shard) })
	maps.DeleteFunc(o.renewed, func(shard string, _ renewal) bool { return gone(shard) })
}

// ownersOf ranks the owners of shards. It keeps the ranks of the last view when nothing they depend on has
// changed: ranking 330 members for each shard at each view would take much of an entry host's CPU budget.
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
	return rudderrouter.RankOwners(shards, members)
}

// pruneMembers deletes the clients and suspicions of hosts that have left.
func (o *Owner) pruneMembers(members []ruddermember.Member) {
	addresses, names := map[string]bool{}, map[string]bool{}
	for _, m := range members {
		addresses[m.PeerAddress], names[m.Name] = true, true
	}
	maps.DeleteFunc(o.clients, func(address string, _ rudderpeer.Admission) bool { return !addresses[address] })
	maps.DeleteFunc(o.suspect, func(name string, _ time.Time) bool { return !names[name] })
}

// rank returns the position of this entry host among the ranked owners of a shard; the owner has rank 0.
func (o *Owner) rank(shard string) int {
	for i, m := range o.view.owners[shard] {
		if m.Name == o.Self.Name {
			return i
		}
	}
	return len(o.view.owners[shard])
}

// syncOwnedShards updates the owned shards, redirects the queued requests of those that have another owner now,
// and drops those for which this host is not even the second in rank.
func (o *Owner) syncOwnedShards(now time.Time) {
	alive := map[string]bool{o.Self.Name: true}
	for _, m := range o.Holders() {
		alive[m.Name] = true
	}
	for id, owned := range o.owned {
		shard, exists := o.view.byID[id]
		switch rank := o.rank(id); {
		case !exists || rank > 1:
			owned.redirectQueued(now)
			delete(o.owned, id)
			continue
		case rank == 1:
			owned.redirectQueued(now)
		}
		owned.setGroups(now, shard)
		owned.deliver(now, owned.shard.ReleaseDeadHolders(now, func(holder string) bool { return alive[holder] }))
	}
}

func (s *ownedShard) setGroups(now time.Time, shard rudderrouter.Shard) {
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
