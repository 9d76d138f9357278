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

// victimHost selects the target that a fault affects: the receiver of the step's request, else a target that
// runs a request, else a member of a serving group, else the first host.
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

// servingMember returns the last member of the first serving group of the ledger model, or "".
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

// victimEntry selects the entry host that a fault affects: the sender or receiver of the step's request, else
// the first running one.
func (w *World) victimEntry(c Call) *rudderscene.Entry {
	for _, name := range []string{c.From, c.To} {
		if e := w.entryOf(name); e != nil {
			return e
		}
	}
	return w.live()[0]
}

// otherEntries returns the names of all entry hosts except one, including the one that may start during a cell.
func (w *World) otherEntries(name string) []string {
	var names []string
	for i := range w.Entries + 1 {
		if other := entryName(i); other != name {
			names = append(names, other)
		}
	}
	return names
}

// pauseEntry simulates a paused entry host by holding its clock and cutting its traffic. It returns the
// function that resumes it.
func (w *World) pauseEntry(name string) (resume func()) {
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

// leaseHolder returns the entry host that holds the planner's lease of a fabric domain, or "".
func (w *World) leaseHolder(domain string) string {
	entry, _, err := w.fleet.KV.Store().Get(context.Background(), ruddergroup.LeasePrefix+domain)
	if err != nil {
		return ""
	}
	var lease struct {
		Holder string `json:"holder"`
	}
	// A malformed lease counts as having no holder.
	_ = json.Unmarshal(entry.Value, &lease)
	return lease.Holder
}

// watchCollector keeps track of the entry host that last wrote a claims head.
func (w *World) watchCollector() {
	w.interceptors.add(&Interceptor{Intercept: func(Call) {}, Matches: func(c Call) bool {
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

// recordStop records a planned stop, which must not interrupt requests in flight.
func (w *World) recordStop(s rudderoracle.Stop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, s)
}

// recordHostStop records a planned stop of a target that lasts from now to the end of the cell.
func (w *World) recordHostStop(name string) {
	w.recordStop(rudderoracle.Stop{Host: name, Address: w.fleet.Host(name).Address, From: time.Now()})
}

// membersOf returns the hosts in all groups of a selector.
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

// inEntryList reports whether the entry list of one entry host contains another. It returns true if the list
// cannot be read.
func (w *World) inEntryList(e, asked *rudderscene.Entry) bool {
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
