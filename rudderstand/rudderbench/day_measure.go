package rudderbench

import (
	"math"
	"time"

	"comfreyrudder.example/rudderd/rudderallocator"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
)

// dayFirm is a firm with the region of its hosts.
type dayFirm struct{ firm, region string }

var dayFirms = []dayFirm{
	{rudderfleetstand.FirmUmuvumu, rudderfleetstand.RegionKigali},
	{rudderfleetstand.FirmVercheres, rudderfleetstand.RegionLaurentie},
}

// DayPoint is the state of the fleet at one time of the day.
type DayPoint struct {
	Hours             float64
	Serving, Stranded map[string]float64 // by firm: groups of all its selectors, and accelerators of its region
}

// dayOutcome is what a day measured.
type dayOutcome struct {
	stranded, best float64 // accelerator hours
	calmExcess     int     // most hosts beyond the best packing while nothing changed for two minutes
	downtime       float64 // group minutes of wanted groups
	formed, cuts   int
	lost           int
	flaps          int           // groups that served for less than the minimum hold and were drained
	handOver       time.Duration // longest time from a window's opening to all its groups serving
	longest        time.Duration // longest answer that the hand-over waited for
	curve          []DayPoint
}

// runDay runs 24 hours with deaths, restarts, a domain's loss, drains and label changes.
func runDay(seed uint64, policy dayPolicy, batch bool) dayOutcome {
	w := newDayWorld(seed, dayStart.Add(-time.Hour), policy, batch)
	w.dayEvents()
	w.runUntil(dayStart, nil)
	w.formed, w.cuts, w.lost = 0, 0, 0
	var out dayOutcome
	opened := map[string]time.Time{}
	lastPoint := dayStart.Add(-time.Hour)
	before := w.groupStates()
	w.runUntil(dayStart.Add(24*time.Hour), func(step time.Duration) {
		hours := step.Hours()
		for _, f := range dayFirms {
			stranded, best := w.stranded(f.region), w.bestStranded(f.region)
			out.stranded += hours * float64(stranded*dayAccelerators)
			out.best += hours * float64(best*dayAccelerators)
			if w.now.Sub(w.changed) > 2*time.Minute {
				out.calmExcess = max(out.calmExcess, stranded-best)
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
	out.formed, out.cuts, out.lost = w.formed, w.cuts, w.lost
	return out
}

// dayEvents draws the day's events. Rates are those of the target, 20 failures and 330 restarts a day for
// 730 hosts, scaled to 130 hosts.
func (w *dayWorld) dayEvents() {
	const failures, restarts, drains, relabels = 4, 59, 3, 3
	pick := func() *dayHost { return w.hosts[w.rng.IntN(len(w.hosts))] }
	at := func() time.Time { return dayStart.Add(time.Duration(w.rng.Float64() * 23 * float64(time.Hour))) }
	down := func(h *dayHost, from time.Time, span time.Duration) {
		w.at(from, func() { w.kill(h) })
		w.at(from.Add(span), func() { w.revive(h) })
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
		w.at(from, func() { w.configure(func(d *rudderconfig.Document) { setting(d, h).Drain = true }) })
		w.at(from.Add(time.Hour), func() { w.configure(func(d *rudderconfig.Document) { setting(d, h).Drain = false }) })
	}
	for range relabels {
		h, from := pick().Name, at()
		use := func(value string) func() {
			return func() {
				w.configure(func(d *rudderconfig.Document) { setting(d, h).Labels = map[string]string{dayLabel: value} })
			}
		}
		w.at(from, use(dayLabelTest))
		w.at(from.Add(2*time.Hour), use(dayLabelServe))
	}
}

// watchWindows measures the hand-over of windows that open.
func (o *dayOutcome) watchWindows(w *dayWorld, opened map[string]time.Time) {
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
			for _, a := range w.answers {
				o.longest = max(o.longest, a.end.Sub(w.now))
			}
		case watching && since.After(dayStart) && serving[s.Name] >= s.WantedGroups:
			o.handOver = max(o.handOver, w.now.Sub(since))
			opened[s.Name] = dayStart.Add(-time.Minute) // measured
		case !watching:
			opened[s.Name] = dayStart.Add(-time.Minute) // open since before the day
		}
	}
}

type dayGroup struct {
	state    ruddergroup.State
	since    time.Time
	selector string
}

func (w *dayWorld) groupStates() map[string]dayGroup {
	out := map[string]dayGroup{}
	for _, p := range w.plans {
		for _, g := range p.Groups {
			out[g.ID] = dayGroup{g.State, time.UnixMilli(g.SinceUnixMS), g.Selector}
		}
	}
	return out
}

// flaps counts groups that were drained within the minimum hold although their window is open and no
// operator or host asked for it.
func flaps(w *dayWorld, before, after map[string]dayGroup) int {
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

func (w *dayWorld) point() DayPoint {
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

// dayLoss is the effect of one loss.
type dayLoss struct {
	downtime float64       // group seconds of wanted groups
	longest  time.Duration // until all wanted groups serve again
}

// runLoss kills one member of a serving group, or all hosts of its domain, in a calm fleet. Selector is
// that of the group.
func runLoss(seed uint64, policy dayPolicy, selector string, wholeDomain bool) dayLoss {
	start := dayStart.Add(9 * time.Hour) // the morning window is open
	w := newDayWorld(seed, start.Add(-10*time.Minute), policy, false)
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

// lossOf averages the downtime over seeds and takes the longest time.
func lossOf(seed uint64, policy dayPolicy, selector string, wholeDomain bool) dayLoss {
	const runs = 4
	var sum dayLoss
	for i := range uint64(runs) {
		one := runLoss(seed+i, policy, selector, wholeDomain)
		sum.downtime += one.downtime / runs
		sum.longest = max(sum.longest, one.longest)
	}
	return sum
}

// dayDetection is how long polls take to count a host as dead.
func dayDetection(t rudderallocator.Timing) time.Duration {
	return time.Duration(t.DeadAfterMisses) * dayPoll
}

// dayLoad is how long a number of hosts takes to fetch weights together and to start.
func dayLoad(hosts int) time.Duration {
	rate := math.Min(dayHostRate, dayStoreRate/float64(hosts))
	return time.Duration(dayWeightBytes/rate*float64(time.Second)) + dayStartTime
}
