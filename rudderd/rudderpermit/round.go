package rudderpermit

import (
	"sort"
	"time"
)

// Ack is the statement of an entry host, sent at the time At or later, that it has adopted Version.
type Ack struct {
	Member  string
	Version Version
	At      time.Time
}

// AckResult is the result of EvaluateAcks.
type AckResult struct {
	// Majority is set if a majority acknowledged at Started or later and no member acknowledged a newer
	// version.
	Majority bool
	// Started is the time of the earliest acknowledgement that the majority needs. The round counts from then.
	Started time.Time
	// Newest is, if Behind is set, the acknowledgement of the highest version above the adopted one, or of the
	// other document with its number.
	Newest Ack
	// Behind is set if a member has a newer version, or a majority has another document with the adopted
	// number.
	Behind bool
	// Differs is set if Newest is another document with the adopted number.
	Differs bool
}

// EvaluateAcks searches for the majority of acknowledgements with the latest possible start. It ignores those from
// before notBefore. quorum reports whether a set of members is a majority of the registry.
func EvaluateAcks(adopted Version, acks []Ack, notBefore time.Time, quorum func(map[string]bool) bool) AckResult {
	latest := latestByMember(acks, notBefore)
	sort.Slice(latest, func(i, j int) bool {
		if !latest[i].At.Equal(latest[j].At) {
			return latest[i].At.After(latest[j].At)
		}
		return latest[i].Member < latest[j].Member
	})
	result := AckResult{}
	set := make(map[string]bool, len(latest))
	for _, a := range latest {
		if a.Version.Number > max(adopted.Number, result.Newest.Version.Number) {
			result.Newest, result.Behind = a, true
		}
		if result.Majority || a.Version.Number == adopted.Number && a.Version.Hash != adopted.Hash {
			continue
		}
		set[a.Member] = true
		if quorum(set) {
			result.Majority, result.Started = true, a.At
		}
	}
	if result.Behind {
		result.Majority = false
		return result
	}
	if !result.Majority {
		result.findOtherDocument(adopted, latest, quorum)
	}
	return result
}

// findOtherDocument searches for a majority that has adopted another document with the adopted number.
func (r *AckResult) findOtherDocument(adopted Version, acks []Ack, quorum func(map[string]bool) bool) {
	sets := map[uint64]map[string]bool{}
	for _, a := range acks {
		if a.Version.Number != adopted.Number || a.Version.Hash == adopted.Hash {
			continue
		}
		if sets[a.Version.Hash] == nil {
			sets[a.Version.Hash] = map[string]bool{}
		}
		sets[a.Version.Hash][a.Member] = true
		if quorum(sets[a.Version.Hash]) {
			r.Newest, r.Behind, r.Differs = a, true, true
			return
		}
	}
}

// latestByMember returns one acknowledgement per member: the highest version, and of these the latest.
func latestByMember(acks []Ack, notBefore time.Time) []Ack {
	index := make(map[string]int, len(acks))
	latest := make([]Ack, 0, len(acks))
	for _, a := range acks {
		if a.At.Before(notBefore) {
			continue
		}
		i, seen := index[a.Member]
		if !seen {
			index[a.Member] = len(latest)
			latest = append(latest, a)
			continue
		}
		old := latest[i]
		if a.Version.Number > old.Version.Number ||
			a.Version.Number == old.Version.Number && a.At.After(old.At) {
			latest[i] = a
		}
	}
	return latest
}
