package rudderbench

import (
	"sync"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

// DecisionRows runs the experiments on routing, admission, prefix caching and claims. Each has its own
// virtual clock, so they run in parallel. designSize adds the crest, which is the period of peak demand, at
// the design size.
func DecisionRows(seed uint64, designSize bool) []Row {
	sizes := []CrestSize{CurrentSize}
	if designSize {
		sizes = append(sizes, DesignSize)
	}
	var experiments []func() []Row
	for _, size := range sizes {
		for _, preset := range []rudderconfig.Preset{rudderconfig.PresetWaitingFirst, rudderconfig.PresetCrestFirst} {
			experiments = append(experiments, func() []Row { return routingRows("crest", CrestResults(seed, size, preset)) })
		}
	}
	const claimsSeconds = 20
	experiments = append(experiments,
		func() []Row { return routingRows("waiting", WaitingResults(seed)) },
		func() []Row { return routingRows("prefix", PrefixResults(seed)) },
		func() []Row { return claimsRows(MeasureClaims(seed, claimsSeconds, ClaimsRates...)) },
	)
	return parallelRows(experiments)
}

// parallelRows runs the experiments in parallel and returns their rows in the given order.
func parallelRows(experiments []func() []Row) []Row {
	results := make([][]Row, len(experiments))
	var running sync.WaitGroup
	for i, run := range experiments {
		running.Go(func() { results[i] = run() })
	}
	running.Wait()
	var rows []Row
	for _, r := range results {
		rows = append(rows, r...)
	}
	return rows
}

// crestPolicies are the routing policies whose goodput over time is plotted.
var crestPolicies = []string{"random", "round_robin", "least_reported", "owners"}

// CrestSeries returns, by routing policy, the share of all slots that run work in each second.
func CrestSeries(seed uint64) map[string][]float64 {
	series := map[string][]float64{}
	end := crestEnd + 20*time.Second
	for _, policy := range crestPolicies {
		m := newModel(seed, CurrentSize.Hosts, CurrentSize.Groups, CurrentSize.Slots, crestLoad(CurrentSize.Groups*CurrentSize.Slots, rudderconfig.PresetCrestFirst))
		if policy == "owners" {
			m.useOwners(false)
		} else {
			m.useBaseline(policy)
		}
		m.generate()
		m.runUntil(end)
		busy := make([]float64, int(end/time.Second))
		for _, r := range m.requests {
			if r.started < 0 {
				continue
			}
			done := min(end, r.started+time.Duration(r.tokens)*tokenTime)
			for s := r.started; s < done; {
				next := min(done, s.Truncate(time.Second)+time.Second)
				busy[int(s/time.Second)] += (next - s).Seconds() / float64(m.slots())
				s = next
			}
		}
		series[policy] = busy
	}
	return series
}

// WaitingSeries returns the sorted waiting times of short work in seconds, by routing policy, with and without
// long work.
func WaitingSeries(seed uint64) map[string][]float64 {
	const hosts, groups, slots = 18, 8, 16
	run := func(withLong bool, use func(*model)) []float64 {
		m := newModel(seed, hosts, groups, slots, waitingLoad(groups*slots, withLong))
		use(m)
		m.generate()
		m.runUntil(waitingEnd)
		return m.waitingTimes(waitingStart, waitingEnd, rudderconfig.ClassShort)
	}
	owners := func(m *model) { m.useOwners(false) }
	return map[string][]float64{
		"owners, with long work":          run(true, owners),
		"owners, without long work":       run(false, owners),
		"FIFO, random, with long work":    run(true, func(m *model) { m.useBaseline("random") }),
		"FIFO, random, without long work": run(false, func(m *model) { m.useBaseline("random") }),
	}
}
