// Package rudderentry ranks the addresses of entry hosts for callers, spreads their connections over a fleet that grows, and
// implements the state machine of an entry host's shutdown. It does no I/O and reads no clock; the time is passed in.
package rudderentry

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RankingTTL is how long a caller may cache a ranking, and minLifetime the least time while hosts are leaving.
const (
	RankingTTL  = 10 * time.Second
	minLifetime = time.Second
)

const (
	// overloadedPermille is the queue utilisation from which an entry host is ranked behind all others.
	overloadedPermille = 800
	// meanInFlightFloor is the least mean load that is assumed, so that small differences in load have little
	// effect on an idle platform.
	meanInFlightFloor = 8
	// remoteCentrePenalty and remoteRegionPenalty are added to the cost of remote hosts, in units of the mean
	// load, so that a caller leaves its data centre only for a host with a clearly lower load.
	remoteCentrePenalty = 4
	remoteRegionPenalty = 16
)

// Host is the state of an entry host as far as a ranking needs it.
type Host struct {
	Name       string
	Address    string // for callers
	Region     string
	DataCentre string
	// Live is false for a host that is suspected dead. Leaving is set once its shutdown has begun. Hosts that
	// are not live or are leaving are not ranked.
	Live, Leaving bool
	InFlight      int
	// QueuePermille is the utilisation of its queues, 0 to 1000.
	QueuePermille int
	// Capacity is the processor share of the host, in cores; 0 counts as one.
	Capacity float64
}

// Caller identifies the caller that requests a ranking. Key distinguishes callers, for example by remote
// address and workspace.
type Caller struct {
	Key        string
	Region     string
	DataCentre string
}

// Ranked is an entry of a ranking.
type Ranked struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Rank returns the hosts that take new work, best first. Each host has a weight according to its distance,
// load and capacity, and the order is the weighted rendezvous hash of the caller's key: callers are spread
// over the hosts in proportion to the weights, and a caller keeps its order while the loads do not change
// much.
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

// Lifetime returns how long a caller may cache a ranking. It is the shorter the more hosts are leaving: a host that takes new work
// while most others are away is the first one in all rankings, and the others will be back within seconds.
func Lifetime(usual time.Duration, hosts []Host) time.Duration {
	taking, leaving := 0, 0
	for _, h := range hosts {
		switch {
		case h.Leaving:
			leaving++
		case h.Live:
			taking++
		}
	}
	if leaving == 0 {
		return usual
	}
	return max(usual*time.Duration(taking)/time.Duration(taking+leaving), min(usual, minLifetime))
}

// LessLoaded returns the address to which an overloaded entry host redirects a caller. It returns false
// unless some other host takes new work, is not overloaded and has at most as many requests in flight.
func LessLoaded(caller Caller, self Host, hosts []Host) (Ranked, bool) {
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

// weight is the capacity divided by the square of a cost that grows with distance and load. It is 1 for an
// idle host with one core in the caller's data centre.
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

// spread returns an exponentially distributed number that depends only on the caller and the host.
func spread(key, name string) float64 {
	// 53 bits are the precision of a float64. Adding 0.5 keeps the argument of the logarithm above 0.
	u := (float64(xxhash.Sum64String(key+"\x00"+name)>>11) + 0.5) / (1 << 53)
	return -math.Log(u)
}
