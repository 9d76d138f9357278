package rudderfaults

import (
	"sync"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
)

// victimPlanner selects the planner that a fault affects: the sender of the step's request if it holds a
// lease, else the lease holder of the victim's fabric domain, else the victim entry host.
func (w *World) victimPlanner(c Call) (planner, domain string) {
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

func pausePlanner(w *World, c Call) func() {
	planner, _ := w.victimPlanner(c)
	return w.pauseEntry(planner)
}

func untilPlannerReplaced(w *World, c Call) func() bool {
	planner, domain := w.victimPlanner(c)
	return func() bool {
		holder := w.leaseHolder(domain)
		return holder != "" && holder != planner
	}
}

func pauseCollector(w *World, _ Call) func() { return w.pauseEntry(w.lastCollector()) }

// untilCollectorReplaced is met when another entry host has written a claims head. The calls with keys in the
// workload cause such a write.
func untilCollectorReplaced(w *World, _ Call) func() bool {
	held := w.lastCollector()
	return func() bool { return w.lastCollector() != held }
}

// sendPoisonRequests sends a request that crashes every engine that runs it, twice at each of two entry hosts.
func sendPoisonRequests(w *World, _ Call) func() {
	each := func(do func(h *rudderfleetstand.Host)) {
		for _, h := range w.fleet.Hosts {
			if h.Engine != nil {
				do(h)
			}
		}
	}
	each(func(h *rudderfleetstand.Host) { h.Engine.SetCrashMarker(poisonMarker) })
	prompt := poisonMarker + w.prompt(shortAnswer)
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

// killEntry kills an entry host; healing starts a new one with the same name.
func killEntry(w *World, c Call) func() {
	victim := w.victimEntry(c)
	w.network.Sever(victim.Name)
	w.markDead(victim.Name)
	// The intercepted request may belong to the killed host, which can't end before Intercept returns. Kill
	// therefore runs in the background and healing waits for it.
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		victim.Kill()
	}()
	index := 0
	for i := range w.Entries + 1 {
		if entryName(i) == victim.Name {
			index = i
		}
	}
	return func() {
		<-ended
		w.network.Reconnect(victim.Name)
		// If it does not start, the others must make progress without it.
		_, _ = w.scene.StartEntry(index)
	}
}
