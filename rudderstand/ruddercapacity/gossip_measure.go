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

// The fleet size and the cost budget of a node, from the design.
const (
	designNodes       = 330
	designRegions     = 3
	designDataCentres = 10

	budgetCoreShare   = 0.022
	budgetMemoryBytes = 128_000_000
	budgetBytesPerSec = 19_000
	budgetInForce     = 17 * time.Second
)

// permitTTL is the lifetime of permits at the design size.
const permitTTL = 12 * time.Second

// segmentOverhead estimates the bytes of TCP and IP headers that one end of a call sees: 4 data and
// acknowledgement segments with 52 bytes each.
const segmentOverhead = 4 * 52

// GossipSample is the mean cost of a node in a fleet of one size.
type GossipSample struct {
	Nodes int
	// BytesPerSecond is sent and received bytes, with an estimate for TCP and IP headers.
	BytesPerSecond float64
	// CallsPerSecond is the peer calls that the node received.
	CallsPerSecond float64
	// CoreShare is user and system CPU time divided by wall time, for the client and server sides together.
	CoreShare float64
	// MemoryBytes is the growth of heap and stack memory in use.
	MemoryBytes float64
	// InForce is the longest time until a configuration change was accepted.
	InForce time.Duration
	// InForceSilent is the same for one change while one member does not answer, so that the change has to
	// wait until the permit of that member expires.
	InForceSilent time.Duration
	// Live is the lowest number of live members that any node saw. It is sampled once per second.
	Live int
	// AgeP50 and AgeMax are the median and the maximum age of the digests that the nodes hold at the end.
	AgeP50, AgeMax time.Duration
}

// MeasureGossip starts size nodes, makes a first configuration change after warmUp and, after another warmUp,
// measures for the duration. With pollAll it measures the all-to-all polling baseline instead of gossip and
// makes no timed changes.
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
	if _, err := f.nodes[0].controller.Change(ctx, 0, &rudderconfig.Document{}, "capacity", "first"); err != nil {
		return GossipSample{}, err
	}
	time.Sleep(warmUp)

	sample := GossipSample{Nodes: size, Live: size}
	bytes, calls := f.totals()
	cpu, began := cpuTime(), time.Now()
	for time.Since(began) < duration {
		time.Sleep(time.Second)
		if !pollAll {
			sample.Live = min(sample.Live, f.minLive())
		}
	}
	seconds := time.Since(began).Seconds()
	per := 1 / (seconds * float64(size))
	sample.CoreShare = float64(cpuTime()-cpu) / float64(time.Second) * per
	bytesAfter, callsAfter := f.totals()
	sample.CallsPerSecond = float64(callsAfter-calls) * per
	sample.BytesPerSecond = float64(bytesAfter-bytes)*per + 2*segmentOverhead*sample.CallsPerSecond
	sample.MemoryBytes = float64(memoryInUse()-memoryBefore) / float64(size)
	sample.AgeP50, sample.AgeMax = f.digestAges()
	if pollAll {
		return sample, nil
	}
	if sample.InForce, err = f.timeChanges(3); err != nil {
		return sample, err
	}
	// The silent member must not refuse connections: it accepts calls and does not answer them.
	f.nodes[size-1].silent.Store(true)
	sample.InForceSilent, err = f.timeChanges(1)
	return sample, err
}

// timeChanges makes configuration changes through different nodes and returns the longest time until one was
// in force.
func (f *gossipFleet) timeChanges(count int) (time.Duration, error) {
	var longest time.Duration
	for i := range count {
		n := f.nodes[(i*7)%len(f.nodes)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		result, err := n.controller.Change(ctx, n.controller.Version().Number, &rudderconfig.Document{}, "capacity", "timed")
		cancel()
		if err != nil {
			return 0, err
		}
		if result.State != rudderchange.StateAccepted {
			return 0, fmt.Errorf("configuration change %d ended in state %s, not confirmed by %v", result.Version, result.State, result.Missing)
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

func (f *gossipFleet) minLive() int {
	least := len(f.nodes)
	for _, n := range f.nodes {
		least = min(least, len(n.node.Live()))
	}
	return least
}

func (f *gossipFleet) digestAges() (median, longest time.Duration) {
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

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stack spans in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// GossipInterval is the time between gossip rounds.
const GossipInterval = ruddermember.GossipInterval
