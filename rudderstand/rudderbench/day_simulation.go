package rudderbench

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderplan"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// dayWeightBytes is what each host of a replica fetches.
	dayWeightBytes = 20 << 30
	// dayStoreRate is the weight store's rate for all hosts, dayHostRate that of one host, in bytes per second.
	dayStoreRate = 8 << 30
	dayHostRate  = 2 << 30
	// dayStartTime is how long an engine takes from weights in memory to ready.
	dayStartTime = 3 * time.Second
	dayPoll      = time.Second
	// dayIdleStep replaces the poll interval while nothing changes.
	dayIdleStep = 15 * time.Second
	// dayBatchSize and dayBatchPriority are those of the groups that fill what the wanted groups leave.
	dayBatchSize     = 3
	dayBatchPriority = 10
	// Answers: one in twenty is long.
	dayShortAnswer, dayLongAnswer = 6 * time.Second, 90 * time.Second
	dayLongShare                  = 0.05
	dayAnswersPerSecond           = 0.5 // for each group
	dayReportLag                  = time.Second
	dayAccelerators               = 4
	// dayLabel is the label that operators change through the day.
	dayLabel, dayLabelServe, dayLabelTest = "use", "serve", "test"
)

// dayHost is a fake target.
type dayHost struct {
	rudderhost.Host
	dead        bool
	incarnation int
	role        ruddertarget.Role
	weights     map[string]bool
	fetching    string  // weights that are being fetched, or ""
	left        float64 // bytes to fetch
	readyAt     time.Time
	observed    rudderplan.Observation
}

// dayAnswer runs on a group until its end.
type dayAnswer struct {
	group   string
	leader  *dayHost
	members []*dayHost
	end     time.Time
}

// dayWorld is the fleet of two firms on a virtual clock.
type dayWorld struct {
	now      time.Time
	rng      *rand.Rand
	config   *rudderconfig.Document
	domains  []string
	hosts    []*dayHost
	byName   map[string]*dayHost
	byDomain map[string][]*dayHost
	plans    map[string]ruddergroup.Plan
	divider  rudderplan.AllocationCache
	// shares, upcoming and serving are those of the current poll, the same for all domains.
	shares   rudderplan.Allocation
	upcoming map[string][]rudderplan.UpcomingWindow
	serving  map[string]int
	divided  uint64 // key of the baseline's last division
	timing   rudderplan.Timing
	policy   dayPolicy
	answers  []dayAnswer
	events   []dayEvent
	changed  time.Time // last change of any plan or host
	formed   int
	cuts     int // answers cut by a planned change
	lost     int // answers whose engine died, which are resumed elsewhere
}

type dayEvent struct {
	at  time.Time
	run func()
}

// dayStart is a Tuesday, so that the evening window of the day before is open at the start.
var dayStart = time.Date(2026, 3, 3, 0, 0, 0, 0, time.UTC)

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

// newDayWorld returns the fleet before its first poll. With batch, each firm has groups that fill what the
// wanted groups leave; without, the hosts that are left are spares.
func newDayWorld(seed uint64, start time.Time, policy dayPolicy, batch bool) *dayWorld {
	l := rudderfleetstand.TwoFirms()
	w := &dayWorld{
		now: start, rng: rand.New(rand.NewPCG(seed, 24)), config: dayConfig(l, batch), policy: policy,
		byName: map[string]*dayHost{}, byDomain: map[string][]*dayHost{}, plans: map[string]ruddergroup.Plan{},
		timing: rudderplan.DefaultTiming(), changed: start,
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

func (w *dayWorld) at(t time.Time, run func()) { w.events = append(w.events, dayEvent{t, run}) }

// runUntil advances in polls, and in longer steps while nothing changes.
func (w *dayWorld) runUntil(end time.Time, each func(step time.Duration)) {
	slices.SortStableFunc(w.events, func(a, b dayEvent) int { return a.at.Compare(b.at) })
	for w.now.Before(end) {
		step := dayPoll
		if w.quiet() {
			step = dayIdleStep
		}
		w.now = w.now.Add(step)
		for len(w.events) > 0 && !w.events[0].at.After(w.now) {
			w.events[0].run()
			w.events = w.events[1:]
			w.changed = w.now
		}
		w.fetch(step)
		w.serve(step)
		w.poll()
		w.divide()
		for _, d := range w.domains {
			w.plan(d)
		}
		if each != nil {
			each(step)
		}
	}
}

// quiet reports that no group changes and no window opens or closes soon.
func (w *dayWorld) quiet() bool {
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

// fetch shares the weight store's rate among the hosts that fetch.
func (w *dayWorld) fetch(step time.Duration) {
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
		if h.left -= rate * step.Seconds(); h.left <= 0 {
			if h.fetching == h.role.Model+"@"+h.role.ModelVersion {
				h.readyAt = w.now.Add(dayStartTime) // other weights are a preload
			}
			h.weights[h.fetching], h.fetching = true, ""
		}
	}
}

func (h *dayHost) load(now time.Time, weights string) {
	switch {
	case h.weights[weights]:
		h.readyAt = now.Add(dayStartTime)
	case h.fetching != weights:
		h.fetching, h.left = weights, dayWeightBytes
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

// order applies an order as a target does.
func (w *dayWorld) order(o rudderplan.Order) {
	h := w.byName[o.Host]
	if h.dead || o.Order.ExpectGroup != h.role.Group {
		return
	}
	weights := o.Order.Role.Model + "@" + o.Order.Role.ModelVersion
	switch o.Order.Kind {
	case ruddertarget.OrderAssign:
		w.cut(h, false)
		h.role = o.Order.Role
		h.load(w.now, weights)
	case ruddertarget.OrderRelease:
		w.cut(h, false)
		h.role = ruddertarget.Role{}
	case ruddertarget.OrderPreload:
		if !h.weights[weights] && h.fetching == "" {
			h.fetching, h.left = weights, dayWeightBytes
		}
	}
}

// cut ends the answers of a host's group.
func (w *dayWorld) cut(h *dayHost, died bool) {
	w.answers = slices.DeleteFunc(w.answers, func(a dayAnswer) bool {
		if !slices.Contains(a.members, h) {
			return false
		}
		if died || slices.ContainsFunc(a.members, func(m *dayHost) bool { return m.dead }) {
			w.lost++
		} else {
			w.cuts++
		}
		return true
	})
}

func (w *dayWorld) kill(h *dayHost) {
	w.cut(h, true)
	h.dead, h.fetching = true, ""
}

// revive starts a new process, which keeps nothing.
func (w *dayWorld) revive(h *dayHost) {
	h.dead, h.role, h.weights = false, ruddertarget.Role{}, map[string]bool{}
	h.incarnation++
}
