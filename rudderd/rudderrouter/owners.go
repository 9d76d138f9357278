package rudderrouter

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/rudderd/ruddermember"
)

// rankedMember is a member in the ranking of a shard.
type rankedMember struct {
	member int // index in the list of members
	tier   int // 0 in a data centre of the shard's groups, 1 in their region, 2 elsewhere
	score  uint64
}

// compareRanked orders by distance, then by rendezvous hash.
func compareRanked(a, b rankedMember) int {
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	return cmp.Compare(b.score, a.score)
}

// ownership assigns shards to members, with a bounded number of shards for each member.
type ownership struct {
	shards  []Shard
	members []ruddermember.Member
	ranked  [][]rankedMember // by shard, best member first
	limits  []int            // maximum number of shards, by member
	owned   [][]int          // owned shards, by member
}

// RankOwners ranks the live members for each shard, by shard ID. The first member owns the shard; the second
// becomes the owner when the first one is gone. Members in the data centres of the shard's groups come first,
// then those of its region, then all others.
//
// A member owns at most its share of its region's shards, rounded up: plain rendezvous hashing gave 3 of 23
// shards to one of 330 hosts, and an owner's traffic is proportional to its shards. The assignment is a
// stable matching: a shard goes to its best member whose places are not taken by shards that the member
// prefers. A member that joins or leaves therefore moves few other shards.
func RankOwners(shards []Shard, members []ruddermember.Member) map[string][]ruddermember.Member {
	o := &ownership{shards: shards, members: members, owned: make([][]int, len(members))}
	o.limits = o.memberLimits()
	for _, s := range shards {
		o.ranked = append(o.ranked, rankFor(s, members))
	}
	for i := range shards {
		o.assign(i)
	}
	owners := make(map[string][]ruddermember.Member, len(shards))
	for i, s := range shards {
		owners[s.id] = o.order(i)
	}
	return owners
}

func rankFor(s Shard, members []ruddermember.Member) []rankedMember {
	ranked := make([]rankedMember, len(members))
	for i, m := range members {
		ranked[i] = rankedMember{i, 2, xxhash.Sum64String(s.id + "\x00" + m.Name)}
		for _, g := range s.groups {
			if g.DataCentre == m.DataCentre {
				ranked[i].tier = 0
				break
			}
			if g.Region == m.Region {
				ranked[i].tier = 1
			}
		}
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int {
		if order := compareRanked(a, b); order != 0 {
			return order
		}
		return strings.Compare(members[a.member].Name, members[b.member].Name)
	})
	return ranked
}

// memberLimits bounds the number of shards of each member. Regions are counted separately, so that no shard
// is owned in another region while its own has members.
func (o *ownership) memberLimits() []int {
	shards, members := map[string]int{}, map[string]int{}
	known := map[string]bool{}
	for _, m := range o.members {
		members[m.Region]++
		known[m.Region] = true
	}
	far := 0 // shards of regions without members
	for _, s := range o.shards {
		if region := s.groups[0].Region; known[region] {
			shards[region]++
		} else {
			far++
		}
	}
	limits := make([]int, len(o.members))
	for i, m := range o.members {
		limits[i] = max(1, ceilDiv(shards[m.Region], members[m.Region])+ceilDiv(far, len(o.members)))
	}
	return limits
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// assign gives a shard to the best member that accepts it. A shard that is displaced by it is offered to its
// own next best member in turn.
func (o *ownership) assign(shard int) {
	for next := shard; next >= 0; {
		current := next
		next = -1
		for place := range o.ranked[current] {
			accepted, displaced := o.offer(current, place)
			if accepted {
				next = displaced
				break
			}
		}
	}
}

// offer offers a shard to the member at a place of its ranking. displaced is the shard that the member gives
// up in return, or -1.
func (o *ownership) offer(shard, place int) (accepted bool, displaced int) {
	c := o.ranked[shard][place]
	if len(o.owned[c.member]) < o.limits[c.member] {
		o.owned[c.member] = append(o.owned[c.member], shard)
		return true, -1
	}
	weakest := o.leastPreferred(c.member)
	if o.compare(c.member, shard, o.owned[c.member][weakest]) >= 0 {
		return false, -1
	}
	displaced = o.owned[c.member][weakest]
	o.owned[c.member][weakest] = shard
	return true, displaced
}

// leastPreferred returns the index in owned of the member's least preferred shard.
func (o *ownership) leastPreferred(member int) int {
	weakest := 0
	for i, shard := range o.owned[member] {
		if o.compare(member, o.owned[member][weakest], shard) < 0 {
			weakest = i
		}
	}
	return weakest
}

// compare orders two shards by a member's preference.
func (o *ownership) compare(member, a, b int) int {
	if order := compareRanked(o.ranking(member, a), o.ranking(member, b)); order != 0 {
		return order
	}
	return strings.Compare(o.shards[a].id, o.shards[b].id)
}

func (o *ownership) ranking(member, shard int) rankedMember {
	i := slices.IndexFunc(o.ranked[shard], func(c rankedMember) bool { return c.member == member })
	return o.ranked[shard][i]
}

// order returns the owner of a shard, then the member that would own it next, then all others.
func (o *ownership) order(shard int) []ruddermember.Member {
	owner, second := -1, -1
	for _, c := range o.ranked[shard] {
		if slices.Contains(o.owned[c.member], shard) {
			owner = c.member
		}
	}
	for _, c := range o.ranked[shard] {
		if c.member == owner {
			continue
		}
		taken := o.owned[c.member]
		if len(taken) < o.limits[c.member] || o.compare(c.member, shard, taken[o.leastPreferred(c.member)]) < 0 {
			second = c.member
			break
		}
	}
	var ranked []ruddermember.Member
	for _, first := range []int{owner, second} {
		if first >= 0 {
			ranked = append(ranked, o.members[first])
		}
	}
	for _, c := range o.ranked[shard] {
		if c.member != owner && c.member != second {
			ranked = append(ranked, o.members[c.member])
		}
	}
	return ranked
}
