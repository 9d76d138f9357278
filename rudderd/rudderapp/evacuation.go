package rudderapp

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/rudderd/rudderowner"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
)

// errEvacuated marks refusals of work all of whose groups are in evacuated data centres.
var errEvacuated = errors.New("admission: every group that serves the work is in an evacuated data centre")

// evacuated reports whether the targets of a data centre get no new work by the configuration of this entry host.
func (a *App) evacuated(dataCentre string) bool {
	document := a.config.Current()
	return document != nil && document.Evacuated(dataCentre)
}

// acquireOutside waits for a slot outside evacuated data centres. A slot is checked after it has been granted: the shard's owner
// may not know the newest configuration yet, and this entry host may have learned of an evacuation during the wait.
func (a *App) acquireOutside(ctx context.Context, work rudderowner.Work) (*rudderowner.Slot, error) {
	for {
		slot, err := a.acquire(ctx, work)
		switch {
		case errors.Is(err, rudderowner.ErrNoGroup) && a.onlyEvacuated(work.Wanted):
			return nil, errors.Mark(errEvacuated, rudderowner.ErrNoGroup)
		case err != nil || !a.evacuated(a.dataCentreOf(slot.Group())):
			return slot, err
		}
		slot.Release(rudderowner.Outcome{Failed: true})
		work.RequestID += "!" // the release of the slot may still be under way
		work.Repeat, work.Avoid = true, append(slices.Clone(work.Avoid), slot.Group())
	}
}

// dataCentreOf returns the data centre of a group, or "".
func (a *App) dataCentreOf(group string) string {
	plan, _ := a.fleet.Plan(a.domainOf(group))
	return plan.DataCentre
}

// onlyEvacuated reports whether all groups that serve the work are in evacuated data centres. Such work is refused at once,
// because waiting for plans and reports does not help it.
func (a *App) onlyEvacuated(w rudderrouter.Requirements) bool {
	document := a.config.Current()
	return document != nil && onlyEvacuated(document, a.fleet.Plans(), func(s rudderconfig.Selector) bool { return selectorServes(s, w) })
}

// onlyEvacuated reports whether some selectors have groups, all of them in evacuated data centres. Draining groups do not count.
func onlyEvacuated(document *rudderconfig.Document, plans []ruddergroup.Plan, wanted func(rudderconfig.Selector) bool) bool {
	if len(document.EvacuatedDataCentres) == 0 {
		return false
	}
	found := false
	for _, plan := range plans {
		for _, g := range plan.Groups {
			s, exists := document.Selector(g.Selector)
			if g.State == ruddergroup.StateDraining || !exists || !wanted(s) {
				continue
			}
			if !document.Evacuated(plan.DataCentre) {
				return false
			}
			found = true
		}
	}
	return found
}

// selectorServes reports whether groups of a selector serve the work.
func selectorServes(s rudderconfig.Selector, w rudderrouter.Requirements) bool {
	group := rudderrouter.Group{
		Firm: s.Firm, Model: s.Model, ModelVersion: s.ModelVersion, Service: s.Service,
		Workspaces: s.Workspaces, Classes: s.Classes,
	}
	return group.Serves(w)
}

// logEvacuations logs the beginnings and ends of evacuations. The controller of the configuration calls it for one document after
// the other.
func (a *App) logEvacuations(document *rudderconfig.Document) {
	known := a.evacuations.logged
	a.evacuations.logged = document.EvacuatedDataCentres
	for _, name := range document.EvacuatedDataCentres {
		if !slices.Contains(known, name) {
			a.Logger.Warn().Str("data_centre", name).Int64("version", document.Version).Msg("data centre is evacuated; its targets get no new work")
		}
	}
	for _, name := range known {
		if !document.Evacuated(name) {
			a.Logger.Info().Str("data_centre", name).Int64("version", document.Version).Msg("evacuation ended; targets of the data centre get work again")
		}
	}
}

// logSelectorsWithoutGroups logs an error for each active selector that has no group left outside evacuated data centres, once
// until it has one again.
func (a *App) logSelectorsWithoutGroups(document *rudderconfig.Document, now time.Time) {
	plans, without := a.fleet.Plans(), map[string]bool{}
	for _, s := range document.Selectors {
		if !s.ActiveAt(now) || !onlyEvacuated(document, plans, func(other rudderconfig.Selector) bool { return other.Name == s.Name }) {
			continue
		}
		without[s.Name] = true
		if !a.evacuations.without[s.Name] {
			a.Logger.Error().Str("selector", s.Name).Strs("evacuated", document.EvacuatedDataCentres).Msg("evacuations leave no group for a selector")
		}
	}
	a.evacuations.without = without
}

// evacuations is what has been logged of evacuations.
type evacuations struct {
	logged  []string        // data centres; guarded by the controller of the configuration
	without map[string]bool // selectors; used by sampleDowntime only
}

// dataCentreReports lists the data centres with what runs there by the last reports of the groups' leaders.
func (a *App) dataCentreReports(ctx context.Context) ([]rudderadmin.DataCentre, error) {
	hosts, err := a.lastHosts.read(ctx, a.hosts.Hosts)
	if err != nil {
		return nil, err
	}
	a.relay.Refresh(ctx)
	byName := make(map[string]*rudderadmin.DataCentre)
	at := func(name string) *rudderadmin.DataCentre {
		if byName[name] == nil {
			byName[name] = &rudderadmin.DataCentre{Name: name, Evacuated: a.evacuated(name)}
		}
		return byName[name]
	}
	if document := a.config.Current(); document != nil {
		for _, name := range document.EvacuatedDataCentres {
			at(name)
		}
	}
	for _, h := range hosts {
		at(h.DataCentre).Hosts++
	}
	now, reported := a.Clock.Now(), a.fleet.Confirmations("")
	for _, g := range a.fleet.Groups(now) {
		d := at(g.DataCentre)
		d.Groups++
		i := slices.IndexFunc(reported, func(c rudderfleet.Confirmation) bool {
			return c.Address == g.Leader() && now.Sub(c.At) < a.Settings.ConfirmTTL
		})
		if i < 0 {
			d.Unreported++
			continue
		}
		d.Running += reported[i].Status.Load.Running
		d.Waiting += reported[i].Status.Load.Waiting
	}
	list := make([]rudderadmin.DataCentre, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, *byName[name])
	}
	return list, nil
}
