package rudderedge

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbalance"
	"comfreyrudder.example/rudderd/rudderentry"
	"comfreyrudder.example/rudderd/rudderview"
)

// largeFleet returns 195 entry hosts in five data centres. Three hosts of each have about four times the capacity of the
// others.
func largeFleet() []rudderview.EntryHost {
	var entries []rudderview.EntryHost
	for zone, count := range []int{43, 41, 36, 41, 34} {
		for i := range count {
			e := rudderview.EntryHost{
				Name: fmt.Sprintf("front-%c-%02d", 'a'+zone, i), Address: fmt.Sprintf("10.%d.0.%d:80", zone, i), Peer: fmt.Sprintf("10.%d.0.%d:81", zone, i),
				Region: "r", DataCentre: string(rune('a' + zone)), Capacity: 0.192,
			}
			if i < 3 {
				e.Capacity = 0.8
			}
			entries = append(entries, e)
		}
	}
	return entries
}

// Callers of a large fleet use 64 addresses each. Guards against a directory that returns the same part of the fleet to
// all callers, which overloads these hosts and leaves the others idle.
func TestCallersSpreadOverALargeFleet(t *testing.T) {
	const readByCallers = 64
	entries := largeFleet()
	load := map[string]float64{}
	for zone, count := range []int{42, 42, 41, 55, 42} {
		for i := range count {
			caller := rudderentry.Caller{Key: fmt.Sprintf("10.9.%d.%d", zone, i), Region: "r", DataCentre: string(rune('a' + zone))}
			list := callerAddresses(entries, "", caller, readByCallers)
			require.Len(t, list, readByCallers)
			require.Equal(t, list, callerAddresses(entries, "", caller, readByCallers), "the same caller gets the same addresses")
			for _, address := range list {
				load[address] += 1.0 / readByCallers
			}
		}
	}
	mean := 222.0 / float64(len(entries))
	for _, e := range entries {
		require.Greater(t, load[e.Address], mean/3, "%s is hardly used", e.Name)
		require.Less(t, load[e.Address], mean*2, "%s is used too much", e.Name)
	}
}

// Guards against an entry host that lists its own address while it is leaving.
func TestLeavingHostIsNotListed(t *testing.T) {
	entries := largeFleet()[:3]
	list := callerAddresses(entries, entries[1].Name, rudderentry.Caller{Key: "c", Region: "r", DataCentre: "a"}, 64)
	require.Len(t, list, 2)
	require.NotContains(t, list, entries[1].Address)
}

// A large fleet serves two models in 25 fabric domains, with 700 requests per second for the busier one. Guards against
// one entry host of little capacity that handles every request of a model, and against one of high capacity that owns
// several busy partitions while others own none.
func TestOwnersShareABusyModel(t *testing.T) {
	var domains []string
	for i := range 25 {
		domains = append(domains, fmt.Sprint("d", i))
	}
	_, partitions := rudderbalance.PartitionDomains(domains)
	var keys []ledgerKey
	for _, model := range []string{"m0", "m1"} {
		for partition := range partitions {
			keys = append(keys, ledgerKey{"llm", model, partition})
		}
	}
	partitionsByOwner := map[string]int{}
	for _, own := range assignOwners(largeFleet(), keys) {
		require.GreaterOrEqual(t, own.Capacity, 0.8, "an owner has enough capacity for the ledger")
		partitionsByOwner[own.Name]++
	}
	require.Len(t, partitionsByOwner, len(keys), "each of the 15 hosts of high capacity owns at most one partition")
	rate := 700 / partitions
	require.Less(t, rate, 200, "calls per second to one owner")
}

// Guards against owners and watchers with too little capacity, and against a fleet of equal hosts, or of hosts of unknown
// capacity, in which no host is chosen.
func TestHighCapacity(t *testing.T) {
	require.Len(t, rudderview.HighCapacity(largeFleet()), 15)
	equal := largeFleet()
	for i := range equal {
		equal[i].Capacity = 0
	}
	require.Len(t, rudderview.HighCapacity(equal), len(equal))
	for _, zone := range []string{"a", "b", "c", "d", "e"} {
		list := watchers(largeFleet(), zone)
		require.NotEmpty(t, list)
		for _, w := range list {
			require.GreaterOrEqual(t, w.Capacity, 0.8)
		}
	}
}

// The key-value service is unreachable for a third of the hosts, some of them watchers. Guards against followers that all
// watch the service themselves because the only watcher that they know does not serve.
func TestFollowersHaveOtherWatchers(t *testing.T) {
	entries := largeFleet()
	for _, e := range entries {
		list := candidates(entries, e.Name, e.DataCentre)
		if slices.ContainsFunc(watchers(entries, e.DataCentre), func(x rudderview.EntryHost) bool { return x.Name == e.Name }) {
			require.Empty(t, list, "a watcher follows nobody")
			continue
		}
		require.Equal(t, e.DataCentre, list[0].DataCentre, "the nearest watchers come first")
		require.Greater(t, len(list), followAttempts)
		require.NotEqual(t, e.DataCentre, list[len(list)-1].DataCentre)
	}
}

// Guards against a choice of addresses that takes a noticeable share of a small host's CPU.
func BenchmarkCallerAddresses(b *testing.B) {
	entries := largeFleet()
	for b.Loop() {
		callerAddresses(entries, "", rudderentry.Caller{Key: "c", Region: "r", DataCentre: "a"}, 64)
	}
}
