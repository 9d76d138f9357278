package rudderbench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"comfreyrudder.example/rudderd/rudderadmission"
	"comfreyrudder.example/shared/rudderconfig"
)

// RoutingResult is one measure of a routing experiment, compared with a baseline.
type RoutingResult struct {
	Measure  string  `json:"measure"`
	Baseline string  `json:"baseline"`
	Value    float64 `json:"value"`
	// Ratio is Value over the baseline's value.
	Ratio float64 `json:"ratio"`
	// Bound is the limit that the design states, or NaN if it states none.
	Bound float64 `json:"bound"`
	Met   bool    `json:"met"`
}

const (
	// messageDelay is the one-way latency between entry hosts, and between an entry host and an engine.
	messageDelay = 500 * time.Microsecond
	// reportInterval is the interval at which entry hosts receive load reports and digests.
	reportInterval = time.Second
	// tokenTime is the time in which a slot generates one token.
	tokenTime = 30 * time.Millisecond
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// virtualClock runs events in the order of their times, and in the order of scheduling at the same time.
type virtualClock struct {
	now    time.Duration
	seq    int
	events eventQueue
}

func (c *virtualClock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{c.now + d, c.seq, run})
}

func (c *virtualClock) every(interval time.Duration, run func()) {
	c.after(interval, func() {
		run()
		c.every(interval, run)
	})
}

func (c *virtualClock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// wallTime converts the virtual time to the time.Time that the packages under measurement expect.
func (c *virtualClock) wallTime() time.Time { return time.Unix(1_772_000_000, 0).Add(c.now) }

type modelRequest struct {
	id        string
	host      int
	workspace string
	class     rudderconfig.WorkClass
	tokens    int
	estimate  int
	blocks    []uint64
	arrived   time.Duration
	deadline  time.Duration // longest waiting time
	started   time.Duration // -1 until it runs
	group     int
	shard     int
	refused   bool
	abandoned bool // refused, or its deadline passed before it started
}

// modelGroup is an engine with slots, and a FIFO queue for requests that find no free slot.
type modelGroup struct {
	slots   int
	running int
	queue   []*modelRequest
	cache   *prefixCache
	// slowdown multiplies the time of a token; 1 is normal.
	slowdown float64
	hit, all int // prefix blocks: found in the cache, and requested
}

// workload describes the offered requests.
type workload struct {
	shortTokens, longTokens float64 // means
	longShare               float64 // share of long requests among all requests
	preset                  rudderconfig.Preset
	// rate returns the offered requests per second at a time.
	rate func(at time.Duration) float64
	// peakRate is the highest value of rate, from which generate thins.
	peakRate  float64
	documents int // number of shared prompt prefixes; 0 for none
}

func (w workload) meanTokens() float64 {
	return w.longShare*w.longTokens + (1-w.longShare)*w.shortTokens
}

// model simulates a fleet of groups and entry hosts with one routing scheme.
type model struct {
	virtualClock
	rng      *rand.Rand
	hosts    int
	groups   []*modelGroup
	load     workload
	requests []*modelRequest
	// arrive handles a request that arrives at its entry host.
	arrive func(*modelRequest)
	// finished notifies the scheme that a request has finished; it may be nil.
	finished func(*modelRequest)
	// cacheChanged notifies the scheme of cache events; it may be nil.
	cacheChanged func(group int, events []cacheChange)
}

func newModel(seed uint64, hosts, groups, slots int, load workload) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 11)), hosts: hosts, load: load}
	for range groups {
		m.groups = append(m.groups, &modelGroup{slots: slots, slowdown: 1})
	}
	return m
}

func (m *model) slots() int {
	n := 0
	for _, g := range m.groups {
		n += g.slots
	}
	return n
}

// capacity returns the requests per second that fill all slots.
func capacity(slots int, load workload) float64 {
	return float64(slots) / (load.meanTokens() * tokenTime.Seconds())
}

// generate schedules arrivals as a Poisson process of varying rate, by thinning one of the peak rate.
func (m *model) generate() {
	gap := time.Duration(m.rng.ExpFloat64() / m.load.peakRate * float64(time.Second))
	m.after(gap, func() {
		if m.rng.Float64()*m.load.peakRate < m.load.rate(m.now) {
			m.arrive(m.newRequest())
		}
		m.generate()
	})
}

func (m *model) newRequest() *modelRequest {
	r := &modelRequest{
		id: itoa(len(m.requests)), host: m.rng.IntN(m.hosts), arrived: m.now, started: -1, group: -1,
		workspace: "w" + itoa(m.rng.IntN(10)), class: rudderconfig.ClassShort,
	}
	mean := m.load.shortTokens
	if m.rng.Float64() < m.load.longShare {
		r.class, mean = rudderconfig.ClassLong, m.load.longTokens
	}
	// Lognormal with sigma 0.6: the longest of a thousand is about six times the median.
	const sigma = 0.6
	r.tokens = max(1, int(mean*math.Exp(sigma*m.rng.NormFloat64()-sigma*sigma/2)))
	// Entry hosts know the class from the length of the prompt, and estimate the tokens by the workspace's mean.
	r.estimate = int(mean)
	policy := rudderadmission.PolicyFor(m.load.preset)
	r.deadline = policy.ShortDeadline
	if r.class == rudderconfig.ClassLong {
		r.deadline = policy.LongDeadline
	}
	if m.load.documents > 0 {
		r.blocks = m.documentBlocks()
	}
	m.requests = append(m.requests, r)
	return r
}

// submit sends a request to the engine of a group, which runs or queues it.
func (m *model) submit(r *modelRequest, group int) {
	r.group = group
	m.after(messageDelay, func() {
		g := m.groups[group]
		if r.abandoned {
			return
		}
		if g.running < g.slots {
			m.start(r, g)
			return
		}
		g.queue = append(g.queue, r)
	})
}

func (m *model) start(r *modelRequest, g *modelGroup) {
	g.running++
	r.started = m.now
	if g.cache != nil && len(r.blocks) > 0 {
		hit, changes := g.cache.use(r.blocks)
		g.hit += hit
		g.all += len(r.blocks)
		if m.cacheChanged != nil {
			m.cacheChanged(r.group, changes)
		}
	}
	m.after(time.Duration(float64(r.tokens)*g.slowdown*float64(tokenTime)), func() {
		g.running--
		for len(g.queue) > 0 && g.running < g.slots {
			next := g.queue[0]
			g.queue = g.queue[1:]
			if !next.abandoned {
				m.start(next, g)
			}
		}
		if m.finished != nil {
			m.finished(r)
		}
	})
}

// scheduleDeadline abandons a request that has not started by its deadline.
func (m *model) scheduleDeadline(r *modelRequest) {
	m.after(r.deadline, func() {
		if r.started < 0 {
			r.abandoned = true
		}
	})
}
