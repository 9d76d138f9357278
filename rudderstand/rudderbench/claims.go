package rudderbench

import (
	"fmt"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderclaim"
)

// ClaimsResult is one measure of batched claims. The baseline makes one write for each claim and each
// settlement.
type ClaimsResult struct {
	Measure  string  `json:"measure"`
	Baseline float64 `json:"baseline"`
	Value    float64 `json:"value"`
	Ratio    float64 `json:"ratio"` // value to baseline; 0 when the baseline is 0
	Bound    float64 `json:"bound"` // 0 means no bound, except for refused_share and double_grants, which must be 0
	Met      bool    `json:"met"`
}

// ClaimsCondition is the state of the collectors during a measurement.
type ClaimsCondition string

// Conditions of the collectors.
const (
	ClaimsNormal           ClaimsCondition = "normal"
	ClaimsCollectorLost    ClaimsCondition = "collector_lost"    // the first collector of every fourth shard dies halfway
	ClaimsCollectorDoubled ClaimsCondition = "collector_doubled" // two collectors for each shard, each used by half of the callers
)

const (
	// claimsWriteBound is the design's budget of claim writes per second.
	claimsWriteBound = 150
	// claimsBytesBound is the design's budget for the control traffic of a node, in KB per second. In a fleet
	// of 330 nodes, a node collects for at most one shard.
	claimsBytesBound = 19
	// claimsLatencyBound is the 95th percentile of the time to first token that the design allows.
	claimsLatencyBound = 320 * time.Millisecond
)

// claimsOutcome holds the measurements of one run.
type claimsOutcome struct {
	claims, writes, bytes, refused, doubleGrants int
	seconds                                      float64
	p50, p95, p99                                time.Duration
}

// ClaimsRates are the rates to measure, in claims per second.
var ClaimsRates = []int{1, 10, 100, 1000}

// MeasureClaims measures writes and added latency at several rates under each condition, for the given number
// of seconds of virtual time. Low rates run longer, up to a minute, to collect at least 200 claims if
// possible.
func MeasureClaims(seed uint64, seconds int, rates ...int) []ClaimsResult {
	var figures []ClaimsResult
	for _, condition := range []ClaimsCondition{ClaimsNormal, ClaimsCollectorLost, ClaimsCollectorDoubled} {
		for _, rate := range rates {
			count := min(rate*60, max(200, rate*seconds))
			batched := runClaims(seed, rate, count, condition)
			single := runSingleWrites(seed, rate, count)
			figures = append(figures, claimsResults(fmt.Sprintf("%s/%d_per_s", condition, rate), batched, single)...)
		}
	}
	return figures
}

func claimsResults(name string, batched, single claimsOutcome) []ClaimsResult {
	perSecond := func(o claimsOutcome, n int) float64 { return float64(n) / o.seconds }
	perClaim := func(o claimsOutcome, n int) float64 { return float64(n) / float64(o.claims) }
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	bound := ms(claimsLatencyBound)
	return []ClaimsResult{
		newClaimsResult(name+"/writes_per_s", perSecond(single, single.writes), perSecond(batched, batched.writes), claimsWriteBound, true),
		newClaimsResult(name+"/writes_per_claim", perClaim(single, single.writes), perClaim(batched, batched.writes), 0, false),
		newClaimsResult(name+"/bytes_per_claim", perClaim(single, single.bytes), perClaim(batched, batched.bytes), 0, false),
		newClaimsResult(name+"/kb_per_s_and_shard", perSecond(single, single.bytes)/1000/rudderclaim.ShardCount,
			perSecond(batched, batched.bytes)/1000/rudderclaim.ShardCount, claimsBytesBound, true),
		newClaimsResult(name+"/added_ms_p50", ms(single.p50), ms(batched.p50), 0, false),
		newClaimsResult(name+"/added_ms_p95", ms(single.p95), ms(batched.p95), bound, true),
		newClaimsResult(name+"/added_ms_p99", ms(single.p99), ms(batched.p99), 0, false),
		newClaimsResult(name+"/refused_share", perClaim(single, single.refused), perClaim(batched, batched.refused), 0, true),
		newClaimsResult(name+"/double_grants", float64(single.doubleGrants), float64(batched.doubleGrants), 0, true),
	}
}

func newClaimsResult(measure string, baseline, value, bound float64, bounded bool) ClaimsResult {
	f := ClaimsResult{Measure: measure, Baseline: baseline, Value: value, Bound: bound, Met: !bounded || value <= bound}
	if baseline != 0 {
		f.Ratio = value / baseline
	}
	return f
}

// runClaims sends claims as a Poisson process of the given rate and settles each granted claim.
func runClaims(seed uint64, rate, count int, condition ClaimsCondition) claimsOutcome {
	w := newClaimsSimulation(seed)
	for shard := range w.collectors {
		w.collectors[shard] = []*claimsCollector{w.newCollector(shard), w.newCollector(shard)}
	}
	start := w.now
	var gap time.Duration
	for i := range count {
		gap += time.Duration(w.random.ExpFloat64() / float64(rate) * float64(time.Second))
		w.after(gap, func() { w.sendClaim(fmt.Sprint("key", i), condition) })
	}
	if condition == ClaimsCollectorLost {
		w.after(gap/2, func() {
			for shard := 0; shard < len(w.collectors); shard += 4 {
				w.collectors[shard][0].dead = true
				w.after(claimsFailureDetection, func() { w.collectors[shard][0].removed = true })
			}
		})
	}
	w.run()
	// The rates count until the last arrival or decision, not until the last settlement.
	return w.outcome(count, max(gap, w.lastClaim(start)))
}

func (w *claimsSimulation) lastClaim(start time.Time) time.Duration { return w.lastDecision.Sub(start) }

func (w *claimsSimulation) outcome(count int, elapsed time.Duration) claimsOutcome {
	slices.Sort(w.latencies)
	at := func(share float64) time.Duration {
		if len(w.latencies) == 0 {
			return 0
		}
		return w.latencies[min(len(w.latencies)-1, int(share*float64(len(w.latencies))))]
	}
	o := claimsOutcome{
		claims: count, writes: w.writes, bytes: w.bytes, refused: w.refused, seconds: elapsed.Seconds(),
		p50: at(0.50), p95: at(0.95), p99: at(0.99),
	}
	for _, n := range w.granted {
		o.doubleGrants += max(0, n-1)
	}
	return o
}

// sendClaim sends one claim as an entry host does: to the first collector of the shard and, if that one does
// not answer or is suspected to be dead, to the second.
func (w *claimsSimulation) sendClaim(key string, condition ClaimsCondition) {
	request, err := rudderclaim.NewRequest(rudderclaim.Call{Key: key})
	if err != nil {
		panic(err)
	}
	collectors := w.collectors[request.Shard()]
	first := 0
	if condition == ClaimsCollectorDoubled {
		first = w.random.IntN(2)
	}
	began := w.now
	decided := false
	ask := func(c *claimsCollector, last bool) {
		c.submit(func() uint64 { return c.core.Claim(request, w.now, w.now.Add(2*time.Second)) }, func(d rudderclaim.Decision) {
			if decided || d.Verdict == rudderclaim.VerdictUnavailable && !last {
				return
			}
			decided = true
			w.recordDecision(key, d, w.now.Sub(began))
			if d.Verdict == rudderclaim.VerdictGranted {
				w.after(claimsServiceTime, func() { w.settle(c, request) })
			}
		})
	}
	suspects := &w.suspects[w.random.IntN(claimsEntryHosts)]
	name := fmt.Sprint(request.Shard(), "/", first)
	if collectors[first].removed || suspects.Has(name, w.now) {
		ask(collectors[1-first], true)
		return
	}
	ask(collectors[first], false)
	w.after(claimsPeerTimeout, func() {
		// A live collector would answer that the claim is pending, and would be asked again.
		if !decided && collectors[first].dead {
			suspects.Add(name, w.now)
			ask(collectors[1-first], true)
		}
	})
}

func (w *claimsSimulation) recordDecision(key string, d rudderclaim.Decision, took time.Duration) {
	w.latencies = append(w.latencies, took)
	w.lastDecision = w.now
	if d.Verdict != rudderclaim.VerdictGranted {
		w.refused++
		return
	}
	w.granted[key]++
}

// settle reports the response of a granted claim, and retries until the collector has applied it.
func (w *claimsSimulation) settle(c *claimsCollector, request rudderclaim.Request) {
	if c.dead {
		c = w.collectors[request.Shard()][1]
	}
	answer := &rudderclaim.Answer{Status: 200, Body: make([]byte, claimsResponseBytes)}
	c.submit(func() uint64 { return c.core.Settle(request, answer, w.now, w.now.Add(time.Second)) }, func(d rudderclaim.Decision) {
		if d.Verdict != rudderclaim.VerdictApplied {
			w.after(200*time.Millisecond, func() { w.settle(c, request) })
		}
	})
}

// submit adds an operation at the collector after the network latency. done receives the decision.
func (c *claimsCollector) submit(add func() uint64, done func(rudderclaim.Decision)) {
	c.simulation.after(claimsPeerLatency, func() {
		if c.dead {
			return
		}
		c.waiting[add()] = done
		c.advance()
	})
}

// runSingleWrites measures the baseline, in which each claim and each settlement is a separate write.
func runSingleWrites(seed uint64, rate, count int) claimsOutcome {
	w := newClaimsSimulation(seed)
	var gap time.Duration
	const recordBytes = 200
	for i := range count {
		gap += time.Duration(w.random.ExpFloat64() / float64(rate) * float64(time.Second))
		w.after(gap, func() {
			if !w.admitWrite() {
				w.refused++
				return
			}
			w.bytes += recordBytes
			w.granted[fmt.Sprint("key", i)]++
			w.latencies = append(w.latencies, claimsStoreLatency)
			w.after(claimsStoreLatency+claimsServiceTime, func() { w.settleSingle(recordBytes + claimsResponseBytes*4/3) })
		})
	}
	w.run()
	return w.outcome(count, gap)
}

func (w *claimsSimulation) settleSingle(size int) {
	if w.admitWrite() {
		w.bytes += size
		return
	}
	w.after(200*time.Millisecond, func() { w.settleSingle(size) })
}
