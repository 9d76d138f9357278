package ruddermember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderpermit"
)

// Rates of gossip and bounds of silence. They trade the age of digests against the budget of a node.
const (
	// GossipInterval between rounds of gossip; the heartbeat advances once in each.
	GossipInterval = time.Second
	// randomPulls and silentPulls in each round go to live members of the own region, chosen at random
	// and by the longest silence. The number of calls does not grow with the number of members.
	randomPulls = 1
	silentPulls = 2
	// remoteRounds is the number of rounds between pulls from another region.
	remoteRounds = 3
	// seedRounds is the number of rounds between pulls from a seed while members are known. They join
	// parts of the platform that know different registries.
	seedRounds = 30
	// SuspectAfter is the silence after which a member of the own region is not live.
	SuspectAfter = 3 * time.Second
	// SuspectRemoteAfter is the same for members of other regions, whose digests come less often.
	SuspectRemoteAfter = 12 * time.Second
	// suspectProbeRounds is the mean number of rounds between probes of a suspected member, of which a
	// round has at most one.
	suspectProbeRounds = 5
)

// view is what the choice of peers and liveness depend on.
type view struct {
	self     Member
	registry Registry
	table    *table
	started  time.Time
	now      time.Time
}

// silence is the time since the member's heartbeat advanced here, or since the start if never.
func (v view) silence(m Member) time.Duration {
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
	return v.silence(m) > bound
}

// live lists the members that are neither suspected nor leaving, in name order. A member that was
// never heard of is not live.
func (v view) live() []Member {
	var live []Member
	for _, m := range v.registry.Members {
		e, found := v.table.entries[memberID(m.Name)]
		if !found || e.leaving || m.Name != v.self.Name && v.suspected(m) {
			continue
		}
		live = append(live, m)
	}
	return live
}

// choosePeers picks the addresses to pull from in a round: members of the own region, now and then a
// suspected one, a member of another region and a seed.
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
	// The most silent come first, because pulls are spread over the round: a live member must be heard
	// of before it is suspected.
	chosen := v.mostSilent(regional, silentPulls, random)
	chosen = append(chosen, sample(regional, randomPulls, random)...)
	chosen = append(chosen, sample(suspected, 1, random)...)
	if round%remoteRounds == 0 {
		chosen = append(chosen, v.mostSilent(remote, 1, random)...)
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

// mostSilent returns the members that have been silent for longest, so that none is suspected only
// because no pull happened to reach it. Members of equal silence are taken at random.
func (v view) mostSilent(members []Member, count int, random *rand.Rand) []Member {
	type candidate struct {
		member  Member
		silence time.Duration
	}
	candidates := make([]candidate, len(members))
	for i, j := range random.Perm(len(members)) {
		candidates[i] = candidate{members[j], v.silence(members[j])}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.silence, a.silence) })
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
