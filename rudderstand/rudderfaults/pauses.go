package rudderfaults

import (
	"sync"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
)

// plannerOf is the planner that a fault hits: the caller of the step's event, if it holds a lease, else
// that of the victim's domain.
func (w *World) plannerOf(c Call) (planner, domain string) {
	for _, d := range w.fleet.Layout.Domains {
		if holder := w.leaseHolder(d.Name); holder != "" && holder == c.From {
			return holder, d.Name
		}
	}
	domain = w.victimHost(c).FabricDomain
	if holder := w.leaseHolder(domain); holder != "" {
		return holder, domain
	}
	return w.victimEntry(c).Name, domain
}

func holdPlanner(w *World, c Call) func() {
	planner, _ := w.plannerOf(c)
	return w.hold(planner)
}

func untilPlannerReplaced(w *World, c Call) func() bool {
	planner, domain := w.plannerOf(c)
	return func() bool {
		holder := w.leaseHolder(domain)
		return holder != "" && holder != planner
	}
}

func holdCollector(w *World, _ Call) func() { return w.hold(w.lastCollector()) }

// untilCollectorReplaced lasts until another entry host wrote a claims head. The workload sends calls
// with keys, which make it do so.
func untilCollectorReplaced(w *World, _ Call) func() bool {
	held := w.lastCollector()
	return func() bool { return w.lastCollector() != held }
}

// poison sends a request that crashes each engine that runs it, at two entry hosts and again.
func poison(w *World, _ Call) func() {
	each := func(do func(h *rudderfleetstand.Host)) {
		for _, h := range w.fleet.Hosts {
			if h.Engine != nil {
				do(h)
			}
		}
	}
	each(func(h *rudderfleetstand.Host) { h.Engine.SetCrashMarker(poisonMark) })
	prompt := poisonMark + w.prompt(shortAnswer)
	var sending sync.WaitGroup
	live := w.live()
	for i := range 2 {
		sending.Go(func() {
			for range 2 {
				w.chat(live[i%len(live)], rudderfleetstand.ModelLedger, prompt, shortAnswer, true)
			}
		})
	}
	return func() {
		sending.Wait()
		each(func(h *rudderfleetstand.Host) {
			h.Engine.SetCrashMarker("")
			w.restart(h)
		})
	}
}

// killEntry ends an entry host at once; healing starts another one of the same name.
func killEntry(w *World, c Call) func() {
	victim := w.victimEntry(c)
	w.network.Sever(victim.Name)
	w.markDead(victim.Name)
	// The event's call belongs to the killed host, so its end cannot be waited for here.
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		victim.Kill()
	}()
	place := 0
	for i := range w.Entries + 1 {
		if entryName(i) == victim.Name {
			place = i
		}
	}
	return func() {
		<-ended
		w.network.Reconnect(victim.Name)
		// An entry host that does not start leaves progress to the others.
		_, _ = w.scene.StartEntry(place)
	}
}
