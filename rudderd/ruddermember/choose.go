package ruddermember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderpermit"
)

// Gossip rates and limits of the heartbeat age. They trade the age of the digests for the load that gossip puts
// on a node.
const (
	// GossipInterval is the mean time between gossip rounds. The heartbeat advances at least once in each.
	GossipInterval = time.Second
	// randomPulls and silentPulls are the pulls in each round from live members of the own region that are
	// chosen at random and by oldest heartbeat. The number of calls does not grow with the number of members.
	randomPulls = 1
	oldestPulls = 2
	// remoteRounds is the number of rounds between pulls from another region.
	remoteRounds = 3
	// seedRounds is the number of rounds between pulls from a seed while members are known. These pulls bring
	// together partitions that know different registries.
	seedRounds = 30
	// SuspectAfter is the heartbeat age after which a member of the own region is suspected and no longer live.
	SuspectAfter = 3 * time.Second
	// SuspectRemoteAfter replaces SuspectAfter for members of other regions, whose digests arrive less often.
	SuspectRemoteAfter = 12 * time.Second
	// suspectProbeRounds is the mean number of rounds between probes of a suspected member. At most one
	// suspected member is probed in a round.
	suspectProbeRounds = 5
)

// view is the state from which peers are chosen and liveness is derived.
type view struct {
	self     Member
	registry Registry
	table    *table
	started  time.Time
	now      time.Time
}

// heartbeatAge is the time since this node last saw the member's heartbeat advance, or since the node's start if
// it never did.
func (v view) heartbeatAge(m Member) time.Duration {
	if e, found := v.table.entries[memberID(m.Name)]; found {
		return rudderpermit.Elapsed(e.progress, v.now)
	}
	return rudderpermit.Elapsed(v.started, v.now)
}

func (v view) suspected(m Member) bool {
	bound := SuspectRemoteAfter
	if m.Region == v.self.Region {
		bound = SuspectAfter
	}
	return v.heartbeatAge(m) > bound
}

// live returns the members that are neither suspected nor leaving, sorted by name. A member without an entry
// is not live.
func (v view) live() []Member {
	return slices.DeleteFunc(v.alive(), func(m Member) bool { return v.table.entries[memberID(m.Name)].leaving })
}

// alive returns the live members and those that are leaving, sorted by name.
func (v view) alive() []Member {
	var alive []Member
	for _, m := range v.registry.Members {
		_, found := v.table.entries[memberID(m.Name)]
		if !found || m.Name != v.self.Name && v.suspected(m) {
			continue
		}
		alive = append(alive, m)
	}
	return alive
}

// choosePeers returns the addresses to pull from in a round: members of the own region and, in some rounds, a
// suspected member, a member of another region and a seed.
func choosePeers(v view, seeds []string, round int, random *rand.Rand) []string {
	var regional, remote, suspected []Member
	for _, m := range v.registry.Members {
		switch {
		case m.Name == v.self.Name:
		case v.suspected(m):
			if random.IntN(suspectProbeRounds) == 0 {
				suspected = append(suspected, m)
			}
		case m.Region != v.self.Region:
			remote = append(remote, m)
		default:
			regional = append(regional, m)
		}
	}
	// Pulls are spread over the round. The oldest heartbeats come first, so that a live member is
	// contacted before it would be suspected.
	chosen := v.oldestHeartbeats(regional, oldestPulls, random)
	chosen = append(chosen, sample(regional, randomPulls, random)...)
	chosen = append(chosen, sample(suspected, 1, random)...)
	if round%remoteRounds == 0 {
		chosen = append(chosen, v.oldestHeartbeats(remote, 1, random)...)
	}
	addresses := make([]string, 0, len(chosen)+1)
	for _, m := range chosen {
		addresses = append(addresses, m.PeerAddress)
	}
	if len(seeds) > 0 && (len(regional)+len(remote) == 0 || round%seedRounds == 0) {
		addresses = append(addresses, seeds[random.IntN(len(seeds))])
	}
	return distinct(addresses, v.self.PeerAddress)
}

// oldestHeartbeats returns the members with the oldest heartbeats, so that none is suspected only because no random
// pull reached it. Ties are broken at random.
func (v view) oldestHeartbeats(members []Member, count int, random *rand.Rand) []Member {
	type candidate struct {
		member       Member
		heartbeatAge time.Duration
	}
	candidates := make([]candidate, len(members))
	for i, j := range random.Perm(len(members)) {
		candidates[i] = candidate{members[j], v.heartbeatAge(members[j])}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.heartbeatAge, a.heartbeatAge) })
	var chosen []Member
	for _, c := range candidates[:min(count, len(candidates))] {
		chosen = append(chosen, c.member)
	}
	return chosen
}

func sample(members []Member, count int, random *rand.Rand) []Member {
	if len(members) <= count {
		return slices.Clone(members)
	}
	picked := make([]Member, 0, count)
	for _, i := range random.Perm(len(members))[:count] {
		picked = append(picked, members[i])
	}
	return picked
}

func distinct(addresses []string, except string) []string {
	seen := map[string]bool{except: true}
	kept := addresses[:0]
	for _, a := range addresses {
		if !seen[a] {
			seen[a] = true
			kept = append(kept, a)
		}
	}
	return kept
}
