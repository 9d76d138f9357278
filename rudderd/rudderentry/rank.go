// Package rudderentry ranks the addresses of entry hosts for callers and sequences the stop of an
// entry host. It does no I/O and takes times as arguments.
package rudderentry

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RankingTTL is how long a caller may use a ranking.
const RankingTTL = 10 * time.Second

const (
	// overloadedPermille of queue use ranks an entry host behind all others.
	overloadedPermille = 800
	// meanInFlightFloor keeps small differences in load from deciding on an idle platform.
	meanInFlightFloor = 8
	// remoteCentrePenalty and remoteRegionPenalty are in units of the mean load: a caller leaves its
	// data centre only for a host with a clearly lower load.
	remoteCentrePenalty = 4
	remoteRegionPenalty = 16
)

// Host is what a ranking knows of one entry host.
type Host struct {
	Name       string
	Address    string // for callers
	Region     string
	DataCentre string
	// Live is false for a suspected host, Leaving is set when it has begun to stop. Both are left out.
	Live, Leaving bool
	InFlight      int
	// QueuePermille is the used part of its queues, 0 to 1000.
	QueuePermille int
	// Capacity is the processor share of the host, in cores; 0 counts as one.
	Capacity float64
}

// Caller is who asks. Key tells callers apart, for example the remote address and workspace.
type Caller struct {
	Key        string
	Region     string
	DataCentre string
}

// Ranked is one address in a ranking, best first.
type Ranked struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Rank orders the hosts that take new work. Distance and load give each host a weight; the order is a
// weighted rendezvous hashing of the caller's key, so that callers spread over hosts in proportion to
// the weights and one caller keeps its order while the loads stay alike.
func Rank(caller Caller, hosts []Host) []Ranked {
	mean := meanLoad(hosts)
	type scored struct {
		host  Host
		score float64
	}
	var usable []scored
	for _, h := range hosts {
		if h.Live && !h.Leaving {
			usable = append(usable, scored{h, spread(caller.Key, h.Name) / weight(caller, h, mean)})
		}
	}
	sort.Slice(usable, func(i, j int) bool {
		a, b := usable[i], usable[j]
		if overloaded(a.host) != overloaded(b.host) {
			return overloaded(b.host)
		}
		if a.score != b.score {
			return a.score < b.score
		}
		return a.host.Name < b.host.Name
	})
	ranked := make([]Ranked, len(usable))
	for i, u := range usable {
		ranked[i] = Ranked{Name: u.host.Name, Address: u.host.Address, DataCentre: u.host.DataCentre}
	}
	return ranked
}

// Better names the address that an overloaded entry host points a caller to; false if no host is less
// loaded than itself.
func Better(caller Caller, self Host, hosts []Host) (Ranked, bool) {
	var better []Host
	for _, h := range hosts {
		if h.Name != self.Name && !overloaded(h) && h.InFlight <= self.InFlight {
			better = append(better, h)
		}
	}
	ranked := Rank(caller, better)
	if len(ranked) == 0 {
		return Ranked{}, false
	}
	return ranked[0], true
}

func overloaded(h Host) bool { return h.QueuePermille >= overloadedPermille }

func meanLoad(hosts []Host) float64 {
	sum, count := 0, 0
	for _, h := range hosts {
		if h.Live && !h.Leaving {
			sum += h.InFlight
			count++
		}
	}
	if count == 0 {
		return meanInFlightFloor
	}
	return max(float64(sum)/float64(count), meanInFlightFloor)
}

// weight falls with the square of distance plus load and grows with the capacity. It is 1 for an idle host with one
// core in the caller's data centre.
func weight(caller Caller, h Host, mean float64) float64 {
	cost := 1 + float64(h.InFlight)/mean + float64(h.QueuePermille)/overloadedPermille
	switch {
	case h.Region != caller.Region:
		cost += remoteRegionPenalty
	case h.DataCentre != caller.DataCentre:
		cost += remoteCentrePenalty
	}
	capacity := h.Capacity
	if capacity <= 0 {
		capacity = 1
	}
	return capacity / (cost * cost)
}

// spread is an exponentially distributed number that depends on the caller and the host only.
func spread(key, name string) float64 {
	// 53 bits fill a float64; the half keeps the logarithm finite.
	u := (float64(xxhash.Sum64String(key+"\x00"+name)>>11) + 0.5) / (1 << 53)
	return -math.Log(u)
}
