package rudderrouter

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/rudderd/ruddermember"
)

// candidate is a member as a shard ranks it.
type candidate struct {
	member int // index in the list of members
	tier   int // 0 in a data centre of the shard's groups, 1 in their region, 2 elsewhere
	score  uint64
}

// compareCandidates orders by nearness, then by rendezvous hash.
func compareCandidates(a, b candidate) int {
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	return cmp.Compare(b.score, a.score)
}

// ownership assigns shards to members with a bounded number of shards for each member.
type ownership struct {
	shards  []Shard
	members []ruddermember.Member
	ranked  [][]candidate // by shard, best first
	limits  []int         // by member
	taken   [][]int       // by member: the shards that it owns
}

// RankOwners ranks the live members for each shard, by shard ID. The first one owns the shard, the second
// owns it when the first one has gone. Members in the data centres of the shard's groups come first,
// then those of its region, then all others.
//
// A member owns no more than its part of its region's shards, rounded up. Plain rendezvous hashing gave
// 3 of 23 shards to one of 330 hosts, and an owner's traffic is in proportion to its shards. Each shard
// goes to the best member that has no shard ranking it higher, so that a member that comes or goes
// moves few other shards.
func RankOwners(shards []Shard, members []ruddermember.Member) map[string][]ruddermember.Member {
	o := &ownership{shards: shards, members: members, taken: make([][]int, len(members))}
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

func rankFor(s Shard, members []ruddermember.Member) []candidate {
	ranked := make([]candidate, len(members))
	for i, m := range members {
		ranked[i] = candidate{i, 2, xxhash.Sum64String(s.id + "\x00" + m.Name)}
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
	slices.SortFunc(ranked, func(a, b candidate) int {
		if order := compareCandidates(a, b); order != 0 {
			return order
		}
		return strings.Compare(members[a.member].Name, members[b.member].Name)
	})
	return ranked
}

// memberLimits bounds the shards of each member. Regions are separate, so that no shard is owned in a
// far region while its own has members.
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

// assign gives a shard to the best member that takes it. A shard that loses its member to it goes on
// to its next best one.
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

// offer asks a member to take a shard. displaced is the shard that it gives up for it, or -1.
func (o *ownership) offer(shard, place int) (accepted bool, displaced int) {
	c := o.ranked[shard][place]
	if len(o.taken[c.member]) < o.limits[c.member] {
		o.taken[c.member] = append(o.taken[c.member], shard)
		return true, -1
	}
	weakest := o.weakest(c.member)
	if o.compare(c.member, shard, o.taken[c.member][weakest]) >= 0 {
		return false, -1
	}
	displaced = o.taken[c.member][weakest]
	o.taken[c.member][weakest] = shard
	return true, displaced
}

func (o *ownership) weakest(member int) int {
	weakest := 0
	for i, shard := range o.taken[member] {
		if o.compare(member, o.taken[member][weakest], shard) < 0 {
			weakest = i
		}
	}
	return weakest
}

// compare orders two shards as a member prefers them.
func (o *ownership) compare(member, a, b int) int {
	if order := compareCandidates(o.candidate(member, a), o.candidate(member, b)); order != 0 {
		return order
	}
	return strings.Compare(o.shards[a].id, o.shards[b].id)
}

func (o *ownership) candidate(member, shard int) candidate {
	i := slices.IndexFunc(o.ranked[shard], func(c candidate) bool { return c.member == member })
	return o.ranked[shard][i]
}

// order lists the owner of a shard, then the member that would take it next, then all others.
func (o *ownership) order(shard int) []ruddermember.Member {
	owner, second := -1, -1
	for _, c := range o.ranked[shard] {
		if slices.Contains(o.taken[c.member], shard) {
			owner = c.member
		}
	}
	for _, c := range o.ranked[shard] {
		if c.member == owner {
			continue
		}
		taken := o.taken[c.member]
		if len(taken) < o.limits[c.member] || o.compare(c.member, shard, taken[o.weakest(c.member)]) < 0 {
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
