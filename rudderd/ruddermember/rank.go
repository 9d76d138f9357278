// Package ruddermember maintains the membership of entry hosts: their registry in the key-value service,
// their liveness by pull gossip, and the rendezvous ranking that assigns an owner to each key.
package ruddermember

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry host as listed in the registry.
type Member struct {
	Name string `json:"name"`
	// PeerAddress is the IP address and port for other entry hosts.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is the IP address and port for callers.
	CallerAddress string `json:"caller_address"`
	Region        string `json:"region"`
	DataCentre    string `json:"data_centre"`
}

// Rank orders members for a key by rendezvous hashing: the first member owns the key, and the next ones take
// over in that order if it fails. When a member joins or leaves, only the keys that it owns change their
// owner.
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
