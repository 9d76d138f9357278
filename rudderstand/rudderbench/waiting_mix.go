package rudderbench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// waitingTimes returns the sorted waiting times in seconds of the requests of a class that arrived within a
// span. A request that was not served counts with its full deadline.
func (m *model) waitingTimes(from, to time.Duration, class rudderconfig.WorkClass) []float64 {
	var waits []float64
	for _, r := range m.requests {
		if r.class != class || r.arrived < from || r.arrived >= to {
			continue
		}
		wait := r.deadline
		if r.started >= 0 {
			wait = r.started - r.arrived
		}
		waits = append(waits, wait.Seconds())
	}
	slices.Sort(waits)
	return waits
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

const (
	waitingStart = 2 * time.Minute
	waitingEnd   = 12 * time.Minute
)

// waitingLoad returns a workload of short work for 40% and, if wanted, long work for 45% of the capacity.
func waitingLoad(slots int, withLong bool) workload {
	load := workload{shortTokens: 80, longTokens: 1600, preset: rudderconfig.PresetWaitingFirst}
	const shortWork, longWork = 0.40, 0.45
	rate := shortWork * float64(slots) / (load.shortTokens * tokenTime.Seconds())
	if withLong {
		long := longWork * float64(slots) / (load.longTokens * tokenTime.Seconds())
		load.longShare = long / (rate + long)
		rate += long
	}
	load.rate, load.peakRate = func(time.Duration) float64 { return rate }, rate
	return load
}

// WaitingResults measures the waiting times of short work in the presence of long work, against one FIFO queue
// per group and against the same scheme without long work.
func WaitingResults(seed uint64) []RoutingResult {
	const hosts, groups, slots = 18, 8, 16
	run := func(withLong bool, use func(*model)) *model {
		m := newModel(seed, hosts, groups, slots, waitingLoad(groups*slots, withLong))
		use(m)
		m.generate()
		m.runUntil(waitingEnd)
		return m
	}
	own := run(true, func(m *model) { m.useOwners(false) })
	alone := run(false, func(m *model) { m.useOwners(false) })
	var results []RoutingResult
	for _, q := range []float64{0.50, 0.95, 0.99} {
		bound := quantile(alone.waitingTimes(waitingStart, waitingEnd, rudderconfig.ClassShort), q)
		value := quantile(own.waitingTimes(waitingStart, waitingEnd, rudderconfig.ClassShort), q)
		add := func(baseline string, other *model) {
			reference := quantile(other.waitingTimes(waitingStart, waitingEnd, rudderconfig.ClassShort), q)
			results = append(results, RoutingResult{
				Measure: fmt.Sprintf("waiting p%.0f of short beside long work (s)", q*100), Baseline: baseline,
				Value: value, Ratio: value / reference, Bound: bound, Met: value <= bound,
			})
		}
		add("without long work", alone)
		for _, baseline := range []string{"random", "two_choices"} {
			add("FIFO per group, "+baseline, run(true, func(m *model) { m.useBaseline(baseline) }))
		}
	}
	long := own.waitingTimes(waitingStart, waitingEnd, rudderconfig.ClassLong)
	unserved := 0
	for _, r := range own.requests {
		if r.class == rudderconfig.ClassLong && r.arrived >= waitingStart && r.started < 0 {
			unserved++
		}
	}
	return append(results,
		RoutingResult{Measure: "waiting p95 of long work (s)", Baseline: "none", Value: quantile(long, 0.95), Ratio: math.NaN(), Bound: math.NaN(), Met: true},
		RoutingResult{Measure: "long work not served", Baseline: "none", Value: float64(unserved) / float64(len(long)), Ratio: math.NaN(), Bound: math.NaN(), Met: true})
}
