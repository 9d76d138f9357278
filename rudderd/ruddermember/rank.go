// Package ruddermember keeps the set of entry hosts: their registry in the key-value service, their
// liveness by pull gossip, and the ranking that gives each piece of work an owner.
package ruddermember

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Member is one entry host as the registry lists it.
type Member struct {
	Name string `json:"name"`
	// PeerAddress is the IP and port at which other entry hosts call it.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is the IP and port at which callers reach it.
	CallerAddress string `json:"caller_address"`
	Region        string `json:"region"`
	DataCentre    string `json:"data_centre"`
}

// Rank orders members for a key by rendezvous hashing: the first one owns the key, the next ones take
// over in order. A member that joins or leaves moves only the keys that it owns.
func Rank(key string, members []Member) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	candidates := make([]scored, len(members))
	for i, m := range members {
		candidates[i] = scored{member: m, score: xxhash.Sum64String(key + "\x00" + m.Name)}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].score != candidates[j].score {
			return candidates[i].score > candidates[j].score
		}
		return candidates[i].member.Name < candidates[j].member.Name
	})
	ranked := make([]Member, len(candidates))
	for i, c := range candidates {
		ranked[i] = c.member
	}
	return ranked
}
