package rudderbench

import (
	"math"
	"time"

	"comfreyrudder.example/rudderd/rudderallocator"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
)

// dayFirm is a firm and the region of its hosts.
type dayFirm struct{ firm, region string }

var dayFirms = []dayFirm{
	{rudderfleetstand.FirmUmuvumu, rudderfleetstand.RegionKigali},
	{rudderfleetstand.FirmVercheres, rudderfleetstand.RegionLaurentie},
}

// DayPoint is the state of the fleet at one time of the day.
type DayPoint struct {
	Hours             float64
	Serving, Stranded map[string]float64 // by firm: groups of all its selectors, and stranded accelerators in its region
}

// dayOutcome holds the measurements of one simulated day.
type dayOutcome struct {
	stranded, best      float64 // accelerator hours; best is the lower bound
	steadyExcess        int     // most stranded hosts beyond the best packing, at times without a change for two minutes
	downtime            float64 // minutes, summed over the wanted groups that did not serve
	formed, interrupted int
	lostResponses       int
	flaps               int           // groups drained after serving for less than the minimum hold
	handOver            time.Duration // longest time from the opening of a window until all its groups serve
	longestResponse     time.Duration // longest remaining time of a response when a window opened
	curve               []DayPoint
}

// runDay simulates 24 hours with host failures, restarts, the loss of a fabric domain, drains and label
// changes. The simulation starts an hour before the day, so that the day begins with a settled fleet.
func runDay(seed uint64, policy dayPolicy, batch bool) dayOutcome {
	w := newDaySimulation(seed, dayStart.Add(-time.Hour), policy, batch)
	w.scheduleEvents()
	w.runUntil(dayStart, nil)
	w.formed, w.interrupted, w.lostResponses = 0, 0, 0
	var out dayOutcome
	opened := map[string]time.Time{}
	lastPoint := dayStart.Add(-time.Hour)
	before := w.groupStates()
	w.runUntil(dayStart.Add(24*time.Hour), func(step time.Duration) {
		hours := step.Hours()
		for _, f := range dayFirms {
			stranded, best := w.stranded(f.region), w.minimumStranded(f.region)
			out.stranded += hours * float64(stranded*dayAccelerators)
			out.best += hours * float64(best*dayAccelerators)
			if w.now.Sub(w.changed) > 2*time.Minute {
				out.steadyExcess = max(out.steadyExcess, stranded-best)
			}
		}
		out.downtime += step.Minutes() * float64(w.missing())
		out.watchWindows(w, opened)
		after := w.groupStates()
		out.flaps += flaps(w, before, after)
		before = after
		if w.now.Sub(lastPoint) >= 2*time.Minute {
			lastPoint = w.now
			out.curve = append(out.curve, w.point())
		}
	})
	out.formed, out.interrupted, out.lostResponses = w.formed, w.interrupted, w.lostResponses
	return out
}

// scheduleEvents schedules the events of the day at random times. The rates are those of the design, 20
// failures and 330 restarts per day for 730 hosts, scaled to 130 hosts.
func (w *daySimulation) scheduleEvents() {
	const failures, restarts, drains, relabels = 4, 59, 3, 3
	pick := func() *dayHost { return w.hosts[w.rng.IntN(len(w.hosts))] }
	at := func() time.Time { return dayStart.Add(time.Duration(w.rng.Float64() * 23 * float64(time.Hour))) }
	down := func(h *dayHost, from time.Time, span time.Duration) {
		w.schedule(from, func() { w.kill(h) })
		w.schedule(from.Add(span), func() { w.restart(h) })
	}
	for range failures {
		down(pick(), at(), 40*time.Minute)
	}
	for range restarts {
		down(pick(), at(), 20*time.Second)
	}
	lost, from := w.domains[w.rng.IntN(len(w.domains))], dayStart.Add(15*time.Hour)
	for _, h := range w.byDomain[lost] {
		down(h, from, 20*time.Minute)
	}
	for range drains {
		h, from := pick().Name, at()
		w.schedule(from, func() { w.changeConfig(func(d *rudderconfig.Document) { hostSettings(d, h).Drain = true }) })
		w.schedule(from.Add(time.Hour), func() { w.changeConfig(func(d *rudderconfig.Document) { hostSettings(d, h).Drain = false }) })
	}
	for range relabels {
		h, from := pick().Name, at()
		use := func(value string) func() {
			return func() {
				w.changeConfig(func(d *rudderconfig.Document) { hostSettings(d, h).Labels = map[string]string{dayLabel: value} })
			}
		}
		w.schedule(from, use(dayLabelTest))
		w.schedule(from.Add(2*time.Hour), use(dayLabelServe))
	}
}

// watchWindows measures how long windows take from their opening until all their groups serve.
func (o *dayOutcome) watchWindows(w *daySimulation, opened map[string]time.Time) {
	serving := w.servingBySelector()
	for _, s := range w.config.Selectors {
		if len(s.Windows) == 0 {
			continue
		}
		since, watching := opened[s.Name]
		switch {
		case !s.ActiveAt(w.now):
			opened[s.Name] = time.Time{}
		case watching && since.IsZero():
			opened[s.Name] = w.now
			for _, a := range w.responses {
				o.longestResponse = max(o.longestResponse, a.end.Sub(w.now))
			}
		case watching && since.After(dayStart) && serving[s.Name] >= s.WantedGroups:
			o.handOver = max(o.handOver, w.now.Sub(since))
			opened[s.Name] = dayStart.Add(-time.Minute) // already measured
		case !watching:
			opened[s.Name] = dayStart.Add(-time.Minute) // was open before the day began
		}
	}
}

type dayGroup struct {
	state    ruddergroup.State
	since    time.Time
	selector string
}

func (w *daySimulation) groupStates() map[string]dayGroup {
	out := map[string]dayGroup{}
	for _, p := range w.plans {
		for _, g := range p.Groups {
			out[g.ID] = dayGroup{g.State, time.UnixMilli(g.SinceUnixMS), g.Selector}
		}
	}
	return out
}

// flaps counts groups that went from serving to draining within the minimum hold although their window is
// open. It does not check whether an operator or a host asked for the drain.
func flaps(w *daySimulation, before, after map[string]dayGroup) int {
	n := 0
	for id, g := range after {
		was, known := before[id]
		if known && was.state == ruddergroup.StateServing && g.state == ruddergroup.StateDraining &&
			w.now.Sub(was.since) < w.timing.MinimumHold && w.selector(g.selector).ActiveAt(w.now) {
			n++
		}
	}
	return n
}

// point returns the current state of the fleet for the plots.
func (w *daySimulation) point() DayPoint {
	p := DayPoint{Hours: w.now.Sub(dayStart).Hours(), Serving: map[string]float64{}, Stranded: map[string]float64{}}
	serving := w.servingBySelector()
	for _, f := range dayFirms {
		for _, s := range w.config.Selectors {
			if s.Firm == f.firm {
				p.Serving[f.firm] += float64(serving[s.Name])
			}
		}
		p.Stranded[f.firm] = float64(w.stranded(f.region) * dayAccelerators)
	}
	return p
}

// dayLoss is the effect of losing one host or one fabric domain.
type dayLoss struct {
	downtime float64       // seconds, summed over the wanted groups that did not serve
	longest  time.Duration // until all wanted groups serve again
}

// runLoss kills one member of a serving group of the selector, or all hosts of its fabric domain, in a fleet
// in a steady state, and measures the recovery for six minutes.
func runLoss(seed uint64, policy dayPolicy, selector string, wholeDomain bool) dayLoss {
	start := dayStart.Add(9 * time.Hour) // the morning window is open
	w := newDaySimulation(seed, start.Add(-10*time.Minute), policy, false)
	w.runUntil(start, nil)
	var groups []ruddergroup.Group
	for _, d := range w.domains {
		for _, g := range w.plans[d].Groups {
			if g.Selector == selector && g.State == ruddergroup.StateServing {
				groups = append(groups, g)
			}
		}
	}
	group := groups[w.rng.IntN(len(groups))]
	victim := w.byName[group.Members[w.rng.IntN(len(group.Members))].Host]
	victims := []*dayHost{victim}
	if wholeDomain {
		victims = w.byDomain[victim.FabricDomain]
	}
	w.changed = w.now
	for _, h := range victims {
		w.kill(h)
	}
	var out dayLoss
	w.runUntil(start.Add(6*time.Minute), func(step time.Duration) {
		if missing := w.missing(); missing > 0 {
			out.downtime += step.Seconds() * float64(missing)
			out.longest = w.now.Sub(start)
		}
	})
	return out
}

// averageLoss returns the mean downtime and the longest recovery over four seeds.
func averageLoss(seed uint64, policy dayPolicy, selector string, wholeDomain bool) dayLoss {
	const runs = 4
	var sum dayLoss
	for i := range uint64(runs) {
		one := runLoss(seed+i, policy, selector, wholeDomain)
		sum.downtime += one.downtime / runs
		sum.longest = max(sum.longest, one.longest)
	}
	return sum
}

// dayDetectionTime is the time until missed polls mark a host as dead.
func dayDetectionTime(t rudderallocator.Timing) time.Duration {
	return time.Duration(t.DeadAfterMisses) * dayPoll
}

// dayLoadTime is the time that a number of hosts take to fetch weights simultaneously and to start.
func dayLoadTime(hosts int) time.Duration {
	rate := math.Min(dayHostRate, dayStoreRate/float64(hosts))
	return time.Duration(dayWeightBytes/rate*float64(time.Second)) + dayStartTime
}
