package ruddercapacity

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"comfreyrudder.example/rudderd/rudderchange"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderconfig"
)

// The size to build towards and the budget of a node, from the design.
const (
	targetNodes       = 330
	targetRegions     = 3
	targetDataCentres = 10

	budgetCoreShare   = 0.022
	budgetMemoryBytes = 128_000_000
	budgetBytesPerSec = 19_000
	budgetInForce     = 17 * time.Second
)

// permitTTL at the target size.
const permitTTL = 12 * time.Second

// segmentOverhead estimates TCP and IP headers of the data and acknowledgement segments of a call,
// counted at each of its two ends: 4 segments of 52 bytes.
const segmentOverhead = 4 * 52

// GossipSample is the cost of a node at one size.
type GossipSample struct {
	Nodes int
	// BytesPerSecond sent and received, with an estimate for TCP and IP headers.
	BytesPerSecond float64
	// CallsPerSecond answered.
	CallsPerSecond float64
	// CoreShare is CPU time per wall time, user and system, of client and server side.
	CoreShare float64
	// MemoryBytes is the growth of heap and stacks in use.
	MemoryBytes float64
	// InForce is the longest time of the changes made until they were accepted.
	InForce time.Duration
	// InForceSilent is the same for one change while one member is silent, so that the end of its
	// permit must be waited for.
	InForceSilent time.Duration
	// Live is the least number of live members that any node saw at the ends of the seconds measured.
	Live int
	// AgeP50 and AgeMax are ages of the digests that the nodes hold at the end.
	AgeP50, AgeMax time.Duration
}

// MeasureGossip runs size nodes for warmUp, then measures for the duration. With pollAll it measures
// the baseline of all-to-all polling instead.
func MeasureGossip(size int, warmUp, duration time.Duration, pollAll bool) (GossipSample, error) {
	memoryBefore := memoryInUse()
	f, err := startGossipFleet(size, newInMemoryStore(), permitTTL, pollAll)
	if err != nil {
		return GossipSample{}, err
	}
	defer f.stop()
	time.Sleep(warmUp)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := f.nodes[0].keeper.Change(ctx, 0, &rudderconfig.Document{}, "capacity", "first"); err != nil {
		return GossipSample{}, err
	}
	time.Sleep(warmUp)

	sample := GossipSample{Nodes: size, Live: size}
	bytes, calls := f.totals()
	cpu, began := cpuTime(), time.Now()
	for time.Since(began) < duration {
		time.Sleep(time.Second)
		if !pollAll {
			sample.Live = min(sample.Live, f.leastLive())
		}
	}
	seconds := time.Since(began).Seconds()
	per := 1 / (seconds * float64(size))
	sample.CoreShare = float64(cpuTime()-cpu) / float64(time.Second) * per
	bytesAfter, callsAfter := f.totals()
	sample.CallsPerSecond = float64(callsAfter-calls) * per
	sample.BytesPerSecond = float64(bytesAfter-bytes)*per + 2*segmentOverhead*sample.CallsPerSecond
	sample.MemoryBytes = float64(memoryInUse()-memoryBefore) / float64(size)
	sample.AgeP50, sample.AgeMax = f.ages()
	if pollAll {
		return sample, nil
	}
	if sample.InForce, err = f.timeChanges(3); err != nil {
		return sample, err
	}
	// The member must not refuse connections: it takes calls and does not answer.
	f.nodes[size-1].silent.Store(true)
	sample.InForceSilent, err = f.timeChanges(1)
	return sample, err
}

// timeChanges makes changes through different nodes and returns the longest time until one held.
func (f *gossipFleet) timeChanges(count int) (time.Duration, error) {
	var longest time.Duration
	for i := range count {
		n := f.nodes[(i*7)%len(f.nodes)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		result, err := n.keeper.Change(ctx, n.keeper.Version().Number, &rudderconfig.Document{}, "capacity", "timed")
		cancel()
		if err != nil {
			return 0, err
		}
		if result.State != rudderchange.StateAccepted {
			return 0, fmt.Errorf("change %d is %s, missing %v", result.Version, result.State, result.Missing)
		}
		longest = max(longest, result.InForceAfter)
	}
	return longest, nil
}

func (f *gossipFleet) totals() (bytes, calls int64) {
	for _, n := range f.nodes {
		bytes += n.bytes.Load()
		calls += n.calls.Load()
	}
	return bytes, calls
}

func (f *gossipFleet) leastLive() int {
	least := len(f.nodes)
	for _, n := range f.nodes {
		least = min(least, len(n.node.Live()))
	}
	return least
}

func (f *gossipFleet) ages() (median, longest time.Duration) {
	var ages []time.Duration
	now := time.Now()
	for _, n := range f.nodes {
		for _, m := range n.node.Members() {
			if e, found := n.node.Entry(m.Name); found && m.Name != n.node.Self.Name {
				ages = append(ages, e.Age(now))
			}
		}
	}
	return medianAndMax(ages)
}

// cpuTime of this process, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse is the live heap and the stacks.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// GossipInterval is the time between rounds, for reports.
const GossipInterval = ruddermember.GossipInterval
