package ruddercapacity

import (
	"maps"
	"slices"
	"strings"

	"comfreyrudder.example/rudderstand/rudderkv"
)

// The size that the design builds towards.
const (
	DesignNodes    = 330
	DesignWorkers  = 730
	DesignGroups   = 91
	DesignRequests = 1900 // a second
	// DesignDomains at 11 hosts each, and one for each of 6 service hosts; the design expects about 30
	// larger ones, which cost less.
	DesignDomains = 73
	// DesignClaimWrites a second is the collectors' own limit.
	DesignClaimWrites = 150
	// burnInterval is the time between two writes of an entry host's burn counters, in seconds.
	burnInterval = 30
	// changesADay and the writes of each: value, history and one deletion of old history.
	changesADay, writesPerChange = 580, 3
	// plansADay is one plan change for each of 350 restarts and failures, with formed and ready.
	plansADay  = 350 * 4
	daySeconds = 24 * 60 * 60
)

// SortedKinds returns the kinds of calls in order.
func SortedKinds(calls map[string]float64) []string { return slices.Sorted(maps.Keys(calls)) }

// perDomain reports whether calls of a kind grow with fabric domains rather than entry hosts.
func perDomain(kind string) bool {
	return strings.Contains(kind, "control/lease") || strings.Contains(kind, "control/plan") || kind == rudderkv.KindKeepAlive
}

// CallRateAtDesignSize extends one kind of platform call from a sample without requests.
func CallRateAtDesignSize(kind string, s Sample) float64 {
	if perDomain(kind) {
		return s.PlatformCalls[kind] / float64(s.Domains) * DesignDomains
	}
	return s.PlatformCalls[kind] / float64(s.Nodes) * DesignNodes
}

// PlatformRatesAtDesignSize sums the reads and writes a second at the target size.
func PlatformRatesAtDesignSize(s Sample) (reads, writes float64) {
	for kind := range s.PlatformCalls {
		if strings.HasPrefix(kind, rudderkv.KindGet) || strings.HasPrefix(kind, rudderkv.KindList) || kind == rudderkv.KindWatch {
			reads += CallRateAtDesignSize(kind, s)
		} else {
			writes += CallRateAtDesignSize(kind, s)
		}
	}
	writes += DesignClaimWrites + float64(DesignNodes)/burnInterval + float64(changesADay*writesPerChange+plansADay)/daySeconds
	return reads, writes
}
