package ruddercapacity

import (
	"maps"
	"slices"
	"strings"

	"comfreyrudder.example/rudderstand/rudderkv"
)

// The fleet size that the design is for.
const (
	DesignNodes    = 330
	DesignWorkers  = 730
	DesignGroups   = 91
	DesignRequests = 1900 // per second
	// DesignDomains is the number of fabric domains of 11 hosts each, plus one for each of 6 service hosts. The
	// design expects about 30 larger domains, which cost less.
	DesignDomains = 73
	// DesignClaimWrites is the claim writes per second to which the collectors limit themselves.
	DesignClaimWrites = 150
	// burnInterval is the time in seconds between writes of an entry host's burn counters.
	burnInterval = 30
	// changesPerDay is the configuration changes per day. Each change makes writesPerChange writes: the value,
	// its history entry and the deletion of an old history entry.
	changesPerDay, writesPerChange = 580, 3
	// plansPerDay is the plan writes per day: four for each of 350 restarts and failures, including those when
	// the new group is formed and ready.
	plansPerDay   = 350 * 4
	secondsPerDay = 24 * 60 * 60
)

// SortedKinds returns the kinds of calls in alphabetical order.
func SortedKinds(calls map[string]float64) []string { return slices.Sorted(maps.Keys(calls)) }

// scalesWithDomains reports whether calls of a kind grow with the number of fabric domains, not of entry
// hosts.
func scalesWithDomains(kind string) bool {
	return strings.Contains(kind, "control/lease") || strings.Contains(kind, "control/plan") || kind == rudderkv.KindKeepAlive
}

// CallRateAtDesignSize extrapolates the rate of one kind of platform call from a sample of an idle fleet.
func CallRateAtDesignSize(kind string, s Sample) float64 {
	if scalesWithDomains(kind) {
		return s.PlatformCalls[kind] / float64(s.Domains) * DesignDomains
	}
	return s.PlatformCalls[kind] / float64(s.Nodes) * DesignNodes
}

// PlatformRatesAtDesignSize returns the platform reads and writes per second, extrapolated from a sample of
// an idle fleet. It adds the writes for claims, burn counters, configuration changes and plans, which the
// sample lacks.
func PlatformRatesAtDesignSize(s Sample) (reads, writes float64) {
	for kind := range s.PlatformCalls {
		if strings.HasPrefix(kind, rudderkv.KindGet) || strings.HasPrefix(kind, rudderkv.KindList) || kind == rudderkv.KindWatch {
			reads += CallRateAtDesignSize(kind, s)
		} else {
			writes += CallRateAtDesignSize(kind, s)
		}
	}
	writes += DesignClaimWrites + float64(DesignNodes)/burnInterval + float64(changesPerDay*writesPerChange+plansPerDay)/secondsPerDay
	return reads, writes
}
