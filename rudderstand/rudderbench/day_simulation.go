package rudderbench

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderallocator"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// dayWeightBytes is the size of the weights that each host of a replica fetches.
	dayWeightBytes = 20 << 30
	// dayStoreRate is the rate of the weight store for all hosts together and dayHostRate that of one host, in
	// bytes per second.
	dayStoreRate = 8 << 30
	dayHostRate  = 2 << 30
	// dayStartTime is the time that an engine takes to become ready after its weights are in memory.
	dayStartTime = 3 * time.Second
	dayPoll      = time.Second
	// dayIdleStep is the time step while nothing changes; otherwise it is dayPoll.
	dayIdleStep = 15 * time.Second
	// dayBatchSize and dayBatchPriority apply to the batch groups, which use the hosts that the wanted groups
	// leave.
	dayBatchSize     = 3
	dayBatchPriority = 10
	// Mean durations of responses; one response in twenty is long.
	dayShortResponse, dayLongResponse = 6 * time.Second, 90 * time.Second
	dayLongShare                      = 0.05
	dayResponsesPerSecond             = 0.5 // per group
	dayReportLag                      = time.Second
	dayAccelerators                   = 4
	// dayLabel is the label that operators change during the day.
	dayLabel, dayLabelServe, dayLabelTest = "use", "serve", "test"
)

// dayHost is a simulated target.
type dayHost struct {
	rudderhost.Host
	dead        bool
	incarnation int
	role        ruddertarget.Role
	weights     map[string]bool
	fetching    string  // model and version of the weights being fetched, or ""
	bytesLeft   float64 // still to fetch
	readyAt     time.Time
	observed    rudderallocator.Observation
}

// dayResponse is a response that a group generates until its end.
type dayResponse struct {
	group   string
	leader  *dayHost
	members []*dayHost
	end     time.Time
}

// daySimulation simulates the fleet of two firms on a virtual clock.
type daySimulation struct {
	now             time.Time
	rng             *rand.Rand
	config          *rudderconfig.Document
	domains         []string
	hosts           []*dayHost
	byName          map[string]*dayHost
	byDomain        map[string][]*dayHost
	plans           map[string]ruddergroup.Plan
	allocationCache rudderallocator.AllocationCache
	// allocation, upcoming and serving are computed once per poll for all domains.
	allocation    rudderallocator.Allocation
	upcoming      map[string][]rudderallocator.UpcomingWindow
	serving       map[string]int
	allocationKey uint64 // hash of the inputs of the baseline's last allocation
	timing        rudderallocator.Timing
	policy        dayPolicy
	responses     []dayResponse
	events        []dayEvent
	changed       time.Time // time of the last change of a plan or host
	formed        int
	interrupted   int // responses ended early by a planned change
	lostResponses int // responses whose engine died; entry hosts resume them on another group
}

type dayEvent struct {
	at  time.Time
	run func()
}

// dayStart is a Tuesday, so that the evening window of Monday is still open at the start.
var dayStart = time.Date(2026, 3, 3, 0, 0, 0, 0, time.UTC)

// dayConfig returns the configuration of the layout with a label that operators change, without plain services
// and, with batch, with a batch selector for each firm.
func dayConfig(l rudderfleetstand.Layout, batch bool) *rudderconfig.Document {
	d := l.Document
	for i := range d.Models {
		d.Models[i].WeightBytes = dayWeightBytes
	}
	for _, home := range []struct{ firm, region, model string }{
		{rudderfleetstand.FirmUmuvumu, rudderfleetstand.RegionKigali, rudderfleetstand.ModelLedger},
		{rudderfleetstand.FirmVercheres, rudderfleetstand.RegionLaurentie, rudderfleetstand.ModelCues},
	} {
		if !batch {
			break
		}
		d.Selectors = append(d.Selectors, rudderconfig.Selector{
			Name: home.firm + "-batch", Firm: home.firm, Model: home.model, ModelVersion: "1",
			MatchLabels: map[string]string{rudderconfig.LabelRegion: home.region},
			GroupSize:   dayBatchSize, Priority: dayBatchPriority,
		})
	}
	for i := range d.Selectors {
		labels := maps.Clone(d.Selectors[i].MatchLabels)
		labels[dayLabel] = dayLabelServe
		d.Selectors[i].MatchLabels = labels
	}
	d.Selectors = slices.DeleteFunc(d.Selectors, func(s rudderconfig.Selector) bool { return s.Service != "" })
	d.Version = 1
	return &d
}

// newDaySimulation returns the fleet before its first poll. With batch, each firm has batch groups on the
// hosts that the wanted groups leave; otherwise these hosts are spares.
func newDaySimulation(seed uint64, start time.Time, policy dayPolicy, batch bool) *daySimulation {
	l := rudderfleetstand.TwoFirms()
	w := &daySimulation{
		now: start, rng: rand.New(rand.NewPCG(seed, 24)), config: dayConfig(l, batch), policy: policy,
		byName: map[string]*dayHost{}, byDomain: map[string][]*dayHost{}, plans: map[string]ruddergroup.Plan{},
		timing: rudderallocator.DefaultTiming(), changed: start,
	}
	w.timing.WeightBytesPerSecond = dayHostRate
	for _, d := range l.Domains {
		w.domains = append(w.domains, d.Name)
		for i := range d.Hosts {
			name := fmt.Sprintf("%s-%02d", d.Name, i+1)
			h := &dayHost{weights: map[string]bool{}, Host: rudderhost.Host{
				Name: name, Address: name, Kind: rudderhost.KindEngine, Region: d.Region, DataCentre: d.DataCentre,
				FabricDomain: d.Name, Accelerators: dayAccelerators, State: rudderhost.StateLive,
				Labels: map[string]string{rudderfleetstand.LabelAccelerator: d.Accelerator, dayLabel: dayLabelServe},
			}}
			w.hosts = append(w.hosts, h)
			w.byName[name] = h
			w.byDomain[d.Name] = append(w.byDomain[d.Name], h)
		}
	}
	return w
}

func (w *daySimulation) schedule(t time.Time, run func()) {
	w.events = append(w.events, dayEvent{t, run})
}

// runUntil advances the time by one poll interval per step, or by a longer step while the fleet is idle, and
// calls each after every step.
func (w *daySimulation) runUntil(end time.Time, each func(step time.Duration)) {
	slices.SortStableFunc(w.events, func(a, b dayEvent) int { return a.at.Compare(b.at) })
	for w.now.Before(end) {
		step := dayPoll
		if w.isIdle() {
			step = dayIdleStep
		}
		w.now = w.now.Add(step)
		for len(w.events) > 0 && !w.events[0].at.After(w.now) {
			w.events[0].run()
			w.events = w.events[1:]
			w.changed = w.now
		}
		w.advanceFetches(step)
		w.advanceResponses(step)
		w.pollHosts()
		w.allocate()
		for _, d := range w.domains {
			w.applyPlan(d)
		}
		if each != nil {
			each(step)
		}
	}
}

// isIdle reports whether all groups serve, nothing has changed recently and no window opens or closes soon.
func (w *daySimulation) isIdle() bool {
	const calm, edge = 30 * time.Second, 90 * time.Second
	if w.now.Sub(w.changed) < calm {
		return false
	}
	for _, p := range w.plans {
		if slices.ContainsFunc(p.Groups, func(g ruddergroup.Group) bool { return g.State != ruddergroup.StateServing }) {
			return false
		}
	}
	for _, s := range w.config.Selectors {
		if next, ok := s.NextChange(w.now); ok && next.Sub(w.now) < edge {
			return false
		}
	}
	return !slices.ContainsFunc(w.hosts, func(h *dayHost) bool { return h.fetching != "" })
}

// advanceFetches advances the downloads of weights, which share the rate of the weight store.
func (w *daySimulation) advanceFetches(step time.Duration) {
	fetching := 0
	for _, h := range w.hosts {
		if h.fetching != "" && !h.dead {
			fetching++
		}
	}
	if fetching == 0 {
		return
	}
	rate := math.Min(dayHostRate, dayStoreRate/float64(fetching))
	for _, h := range w.hosts {
		if h.fetching == "" || h.dead {
			continue
		}
		if h.bytesLeft -= rate * step.Seconds(); h.bytesLeft <= 0 {
			if h.fetching == h.role.Model+"@"+h.role.ModelVersion {
				h.readyAt = w.now.Add(dayStartTime) // other weights are a preload and start nothing
			}
			h.weights[h.fetching], h.fetching = true, ""
		}
	}
}

// loadWeights starts the engine if the host has the weights, and otherwise starts to fetch them.
func (h *dayHost) loadWeights(now time.Time, weights string) {
	switch {
	case h.weights[weights]:
		h.readyAt = now.Add(dayStartTime)
	case h.fetching != weights:
		h.fetching, h.bytesLeft = weights, dayWeightBytes
	}
}

func (h *dayHost) phase(now time.Time) ruddertarget.Phase {
	weights := h.role.Model + "@" + h.role.ModelVersion
	switch {
	case h.role.Group == "":
		return ruddertarget.PhaseIdle
	case !h.weights[weights] || now.Before(h.readyAt):
		return ruddertarget.PhaseLoading
	}
	return ruddertarget.PhaseReady
}

// applyOrder applies an order to a host as a target does.
func (w *daySimulation) applyOrder(o rudderallocator.Order) {
	h := w.byName[o.Host]
	if h.dead || o.Order.ExpectGroup != h.role.Group {
		return
	}
	weights := o.Order.Role.Model + "@" + o.Order.Role.ModelVersion
	switch o.Order.Kind {
	case ruddertarget.OrderAssign:
		w.endResponses(h, false)
		h.role = o.Order.Role
		h.loadWeights(w.now, weights)
	case ruddertarget.OrderRelease:
		w.endResponses(h, false)
		h.role = ruddertarget.Role{}
	case ruddertarget.OrderPreload:
		if !h.weights[weights] && h.fetching == "" {
			h.fetching, h.bytesLeft = weights, dayWeightBytes
		}
	}
}

// endResponses ends the responses in which a host takes part, and counts them as lost if a host died and as
// interrupted otherwise.
func (w *daySimulation) endResponses(h *dayHost, died bool) {
	w.responses = slices.DeleteFunc(w.responses, func(a dayResponse) bool {
		if !slices.Contains(a.members, h) {
			return false
		}
		if died || slices.ContainsFunc(a.members, func(m *dayHost) bool { return m.dead }) {
			w.lostResponses++
		} else {
			w.interrupted++
		}
		return true
	})
}

func (w *daySimulation) kill(h *dayHost) {
	w.endResponses(h, true)
	h.dead, h.fetching = true, ""
}

// restart starts a new process on the host, without a role or weights.
func (w *daySimulation) restart(h *dayHost) {
	h.dead, h.role, h.weights = false, ruddertarget.Role{}, map[string]bool{}
	h.incarnation++
}
