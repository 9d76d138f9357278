package rudderbalance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against entry hosts that compute different partitions for the same domains, and against ledgers that
// grow with the fleet.
func TestPartitionDomains(t *testing.T) {
	for _, test := range []struct{ domains, count int }{{0, 1}, {1, 1}, {5, 1}, {6, 2}, {25, 5}, {86, 18}} {
		var forward, backward []string
		for i := range test.domains {
			forward = append(forward, fmt.Sprint("d", i))
			backward = append(backward, fmt.Sprint("d", test.domains-1-i))
		}
		partition, count := PartitionDomains(forward)
		other, _ := PartitionDomains(backward)
		require.Equal(t, test.count, count, "%d domains", test.domains)
		require.Equal(t, partition, other)
		sizes := make([]int, count)
		for _, p := range partition {
			sizes[p]++
		}
		for _, n := range sizes {
			require.LessOrEqual(t, n, domainsPerPartition)
		}
	}
}

// Guards against drawing partitions without a group, and against partitions that are never drawn.
func TestDrawWeighted(t *testing.T) {
	for _, test := range []struct {
		weights []int
		draw    float64
		want    int
	}{{nil, 0.5, -1}, {[]int{0, 0}, 0.5, -1}, {[]int{0, 3, 1}, 0, 1}, {[]int{0, 3, 1}, 0.8, 2}, {[]int{2, 0}, 0.999, 0}, {[]int{1, 1, 0}, 1, 1}} {
		require.Equal(t, test.want, DrawWeighted(test.weights, test.draw), "%v at %v", test.weights, test.draw)
	}
}

// Guards against requests that cross data centres while groups nearby have room, and against refusals while
// another partition has room.
func TestPartitionQueries(t *testing.T) {
	half := func() float64 { return 0.5 }
	for _, test := range []struct {
		name                 string
		all, near, unlimited []int
		want                 []PartitionQuery
	}{
		{"no group", []int{0, 0}, []int{0, 0}, []int{0, 0}, nil},
		{"one partition", []int{4}, []int{2}, []int{4}, []PartitionQuery{{Partition: 0}}},
		{"groups nearby", []int{4, 4}, []int{0, 3}, []int{4, 4}, []PartitionQuery{{Partition: 1, Spill: true}, {Partition: 0}, {Partition: 1}}},
		{"no group nearby", []int{0, 4, 0}, []int{0, 0, 0}, []int{0, 4, 0}, []PartitionQuery{{Partition: 1}}},
		{"limits nearby and in the larger partition", []int{9, 4, 4}, []int{0, 0, 3}, []int{0, 1, 0},
			[]PartitionQuery{{Partition: 2, Spill: true}, {Partition: 1}, {Partition: 2}}},
		{"limits everywhere", []int{4, 4}, []int{0, 3}, []int{0, 0}, []PartitionQuery{{Partition: 1, Spill: true}, {Partition: 0}, {Partition: 1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, PartitionQueries(PartitionCounts{All: test.all, Near: test.near, Unlimited: test.unlimited}, half))
		})
	}
}

// Guards against counting work and refusals once for each partition that is queried, which would make
// callers return too late.
func TestSpilledRequestsCountOnce(t *testing.T) {
	l := NewLedger()
	for i := range 8 {
		l.Pick(0, speed, groups("a"), Request{ID: fmt.Sprint(i), Limit: time.Minute})
	}
	id, _, full := l.Pick(time.Second, speed, groups("a"), Request{ID: "spilled", Limit: time.Minute, Cost: time.Second, Spill: true})
	require.Empty(t, id)
	require.True(t, full)
	require.Zero(t, l.work)
	_, wait, _ := l.Pick(2*time.Second, speed, groups("a"), Request{ID: "refused", Limit: time.Minute})
	require.Zero(t, wait, "the first refusal has lasted for no time")
}
