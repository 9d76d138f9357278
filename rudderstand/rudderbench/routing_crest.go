package rudderbench

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"comfreyrudder.example/shared/rudderconfig"
)

const (
	// firstTokenBound is the time to first token in seconds that the design allows; the waiting time alone must
	// not exceed it.
	firstTokenBound = 0.32
	// trafficBound is the control traffic per node in bytes per second that the design allows.
	trafficBound = 19_000.0

	crestStart = 60 * time.Second
	crestEnd   = 180 * time.Second
	crestRise  = 3 * time.Second
)

// CrestSize is a fleet size: entry hosts, groups, and slots in each group.
type CrestSize struct {
	Name                 string
	Hosts, Groups, Slots int
}

// The current fleet size, and the size that the design is for: 600,000 tokens/s over 91 groups, with 33
// tokens/s in each slot.
var (
	CurrentSize = CrestSize{"18 hosts", 18, 8, 16}
	DesignSize  = CrestSize{"330 hosts", 330, 91, 200}
)

// crestLoad returns a workload whose rate rises tenfold within seconds, to 20% above the capacity. The mean of
// 312 tokens per request is that of the design: 600,000 tokens/s in 1,900 requests/s.
func crestLoad(slots int, preset rudderconfig.Preset) workload {
	load := workload{shortTokens: 160, longTokens: 3200, longShare: 0.05, preset: preset}
	peak := 1.2 * capacity(slots, load)
	load.peakRate = peak
	load.rate = func(at time.Duration) float64 {
		switch {
		case at < crestStart || at > crestEnd:
			return peak / 10
		case at < crestStart+crestRise:
			return peak * (0.1 + 0.9*(at-crestStart).Seconds()/crestRise.Seconds())
		}
		return peak
	}
	return load
}

type crestOutcome struct {
	goodput       float64 // slot time spent on work, divided by all slot time, in the second half of the crest
	shortUnserved float64 // share of short requests that were refused or reached their deadline
	shortWait     float64 // 95th percentile in seconds
	scheme        *ownerScheme
}

func runCrest(seed uint64, size CrestSize, preset rudderconfig.Preset, use func(*model) *ownerScheme) crestOutcome {
	m := newModel(seed, size.Hosts, size.Groups, size.Slots, crestLoad(size.Groups*size.Slots, preset))
	scheme := use(m)
	if scheme != nil {
		scheme.counting = func() bool { return m.now >= crestStart && m.now < crestEnd }
	}
	m.generate()
	m.runUntil(crestEnd + 20*time.Second)
	half := (crestStart + crestEnd) / 2
	var busy time.Duration
	short, unmet := 0, 0
	for _, r := range m.requests {
		if r.started >= 0 {
			end := r.started + time.Duration(r.tokens)*tokenTime
			busy += max(0, min(end, crestEnd)-max(r.started, half))
		}
		if r.class == rudderconfig.ClassShort && r.arrived >= crestStart && r.arrived < crestEnd {
			short++
			if r.started < 0 {
				unmet++
			}
		}
	}
	return crestOutcome{
		goodput:       busy.Seconds() / ((crestEnd - half).Seconds() * float64(m.slots())),
		shortUnserved: float64(unmet) / float64(short),
		shortWait:     quantile(m.waitingTimes(crestStart, crestEnd, rudderconfig.ClassShort), 0.95),
		scheme:        scheme,
	}
}

// CrestResults measures goodput, unserved requests and waiting times at the crest of a tenfold rise in
// demand, and the messages and bytes that the busiest shard owner handles. The bound of goodput is the
// fleet's capacity.
func CrestResults(seed uint64, size CrestSize, preset rudderconfig.Preset) []RoutingResult {
	name := fmt.Sprintf(", %s, %s", size.Name, preset)
	baselines := []string{"random", "round_robin", "least_reported", "two_choices", "one queue for all groups", "owners"}
	outcomes := make([]crestOutcome, len(baselines))
	var running sync.WaitGroup
	for i, baseline := range baselines {
		running.Go(func() {
			outcomes[i] = runCrest(seed, size, preset, func(m *model) *ownerScheme {
				switch baseline {
				case "owners":
					return m.useOwners(false)
				case "one queue for all groups":
					return m.useOwners(true)
				}
				m.useBaseline(baseline)
				return nil
			})
		})
	}
	running.Wait()
	own := outcomes[len(outcomes)-1]
	var results []RoutingResult
	for i, baseline := range baselines[:len(baselines)-1] {
		other := outcomes[i]
		results = append(results,
			RoutingResult{"goodput at the crest" + name, baseline, own.goodput, own.goodput / other.goodput, 1, own.goodput >= 1},
			RoutingResult{"short work not served at the crest" + name, baseline, own.shortUnserved, own.shortUnserved / other.shortUnserved, 0, own.shortUnserved == 0},
			RoutingResult{"waiting p95 of short work at the crest (s)" + name, baseline, own.shortWait, own.shortWait / other.shortWait, firstTokenBound, own.shortWait <= firstTokenBound})
	}
	return append(results, trafficResults(name, own.scheme)...)
}

// trafficResults returns the messages and bytes per second of the busiest shard owner during the crest.
func trafficResults(name string, s *ownerScheme) []RoutingResult {
	seconds := (crestEnd - crestStart).Seconds()
	var messages, bytes []float64
	total := 0.0
	for _, t := range s.traffic {
		messages = append(messages, float64(t.messages)/seconds)
		bytes = append(bytes, float64(t.bytes)/seconds)
		total += float64(t.messages) / seconds
	}
	busiest := slices.Max(messages)
	return []RoutingResult{
		{
			Measure: "messages/s at the busiest owner" + name, Baseline: "one owner for all", Value: busiest,
			Ratio: busiest / total, Bound: math.NaN(), Met: true,
		},
		{
			Measure: "bytes/s of message bodies at the busiest owner" + name, Baseline: "control cost per node",
			Value: slices.Max(bytes), Ratio: slices.Max(bytes) / trafficBound, Bound: trafficBound,
			Met: slices.Max(bytes) <= trafficBound,
		},
	}
}
