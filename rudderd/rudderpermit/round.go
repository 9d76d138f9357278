package rudderpermit

import (
	"sort"
	"time"
)

// Ack is an entry host's statement that it had adopted a version at the time At or later.
type Ack struct {
	Member  string
	Version Version
	At      time.Time
}

// AckResult is the result of judging acknowledgements.
type AckResult struct {
	// Majority is set if enough members acknowledged Started or later, none of them a newer version.
	Majority bool
	// Started is the time from which the round counts: the earliest acknowledgement it needs.
	Started time.Time
	// Newest is the ack with the highest version above the adopted one, if Behind is set.
	Newest Ack
	Behind bool
	// Differs is set if Newest is another document under the adopted number.
	Differs bool
}

// EvaluateAcks looks for a majority among acknowledgements with as late a start as possible. Those older
// than notBefore are ignored. quorum says whether a set of members is a majority of the registry.
func EvaluateAcks(adopted Version, acks []Ack, notBefore time.Time, quorum func(map[string]bool) bool) AckResult {
	latest := latestByMember(acks, notBefore)
	sort.Slice(latest, func(i, j int) bool {
		if !latest[i].At.Equal(latest[j].At) {
			return latest[i].At.After(latest[j].At)
		}
		return latest[i].Member < latest[j].Member
	})
	verdict := AckResult{}
	set := make(map[string]bool, len(latest))
	for _, a := range latest {
		if a.Version.Number > max(adopted.Number, verdict.Newest.Version.Number) {
			verdict.Newest, verdict.Behind = a, true
		}
		if verdict.Majority || a.Version.Number == adopted.Number && a.Version.Hash != adopted.Hash {
			continue
		}
		set[a.Member] = true
		if quorum(set) {
			verdict.Majority, verdict.Started = true, a.At
		}
	}
	if verdict.Behind {
		verdict.Majority = false
		return verdict
	}
	if !verdict.Majority {
		verdict.judgeSameNumber(adopted, latest, quorum)
	}
	return verdict
}

// judgeSameNumber looks for a majority that holds another document under the adopted number.
func (v *AckResult) judgeSameNumber(adopted Version, acks []Ack, quorum func(map[string]bool) bool) {
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
			v.Newest, v.Behind, v.Differs = a, true, true
			return
		}
	}
}

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
