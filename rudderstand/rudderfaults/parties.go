package rudderfaults

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"comfreyrudder.example/rudderd/rudderhttp"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/shared/ruddergroup"
)

// victimHost is the target that a fault hits: the one that the step's event concerns, else one that
// runs a request, else a member of a serving group.
func (w *World) victimHost(c Call) *rudderfleetstand.Host {
	if h := w.fleet.Host(c.To); h != nil {
		return h
	}
	runs := w.fleet.Fabric.Ledger.Runs()
	for _, r := range slices.Backward(runs) {
		if r.End.IsZero() {
			return w.fleet.Host(r.Host)
		}
	}
	if name := w.servingMember(); name != "" {
		return w.fleet.Host(name)
	}
	return w.fleet.Hosts[0]
}

// servingMember is the last member of the first serving group of the notes model, or "".
func (w *World) servingMember() string {
	for _, d := range w.fleet.Layout.Domains {
		for _, g := range w.planOf(d.Name).Groups {
			if g.State == ruddergroup.StateServing && g.Model == rudderfleetstand.ModelLedger {
				return g.Members[len(g.Members)-1].Host
			}
		}
	}
	return ""
}

// victimEntry is the entry host that a fault hits: the one that the step's event comes from or goes to.
func (w *World) victimEntry(c Call) *rudderscene.Entry {
	for _, name := range []string{c.From, c.To} {
		if e := w.entryOf(name); e != nil {
			return e
		}
	}
	return w.live()[0]
}

// others lists the names of the running entry hosts but one.
func (w *World) others(name string) []string {
	var names []string
	for i := range w.Entries + 1 {
		if other := entryName(i); other != name {
			names = append(names, other)
		}
	}
	return names
}

// hold pauses an entry host: its clock stands still and no byte passes. The result lets it go on.
func (w *World) hold(name string) (resume func()) {
	w.mu.Lock()
	clock := w.clocks[name]
	w.mu.Unlock()
	clock.Hold()
	w.network.Cut(name, "", true)
	w.network.Cut("", name, true)
	return func() {
		clock.Release()
		w.network.Cut(name, "", false)
		w.network.Cut("", name, false)
	}
}

// leaseHolder is the entry host that holds the planner's lease of a domain, or "".
func (w *World) leaseHolder(domain string) string {
	entry, _, err := w.fleet.KV.Store().Get(context.Background(), ruddergroup.LeasePrefix+domain)
	if err != nil {
		return ""
	}
	var lease struct {
		Holder string `json:"holder"`
	}
	// A value that cannot be read has no holder.
	_ = json.Unmarshal(entry.Value, &lease)
	return lease.Holder
}

// watchCollector remembers which entry host last wrote a claims head.
func (w *World) watchCollector() {
	w.traps.set(&Trap{Spring: func(Call) {}, Matches: func(c Call) bool {
		if c.Method == http.MethodPut && strings.HasPrefix(c.Path, "/v1/kv/claims/") && !c.Answered {
			w.mu.Lock()
			w.collector = c.From
			w.mu.Unlock()
		}
		return false
	}})
}

func (w *World) lastCollector() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.collector
}

// planned records a planned stop, whose requests the stop must not cut.
func (w *World) planned(s rudderoracle.Stop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, s)
}

// plannedHost records that a target stops as planned from now to the end of the cell.
func (w *World) plannedHost(name string) {
	w.planned(rudderoracle.Stop{Host: name, Address: w.fleet.Host(name).Address, From: time.Now()})
}

// membersOf lists the hosts in groups of a selector.
func (w *World) membersOf(selector string) []string {
	var members []string
	for _, d := range w.fleet.Layout.Domains {
		for _, g := range w.planOf(d.Name).Groups {
			for _, m := range g.Members {
				if g.Selector == selector {
					members = append(members, m.Host)
				}
			}
		}
	}
	return members
}

// onList tells whether another entry host's list of entries names an entry host.
func (w *World) onList(e, asked *rudderscene.Entry) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	response, err := w.send(ctx, http.MethodGet, asked.App.CallerAddress(), "/v1/entries", nil)
	if err != nil {
		return true
	}
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Entries []rudderhttp.Entry `json:"entries"`
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(text, &list) != nil {
		return true
	}
	return slices.ContainsFunc(list.Entries, func(l rudderhttp.Entry) bool { return l.Name == e.Name })
}
