package rudderedge

import (
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderentry"
	"comfreyrudder.example/rudderd/rudderview"
)

// stoppingLifetime is the share of the usual lifetime for which callers may cache addresses while entry hosts stop.
const stoppingLifetime = 0.5

// Addresses returns the addresses of up to limit entry hosts that a caller should use, and how long it may cache them.
func (e *Edge) Addresses(caller rudderentry.Caller, limit int) ([]string, time.Duration) {
	leaving, ready := "", e.Ready()
	if !ready {
		leaving = e.Settings.Name
	}
	list := callerAddresses(e.view.Snapshot().EntryHosts, leaving, caller, limit)
	if len(list) == 0 && !ready {
		list = callerAddresses(e.stoppingHosts(), "", caller, limit)
	}
	// Before it has read the records, this entry host rejects all requests, while others that callers ask next may serve.
	if len(list) == 0 && !e.stop.leaving() && !e.view.AwaitsRecords() {
		list = append(list, e.Settings.CallerListen)
	}
	lifetime := e.Settings.DirectoryLifetime
	if age, known := e.view.LastDeparture(); known && age < e.Settings.StopGrace {
		lifetime = time.Duration(stoppingLifetime * float64(lifetime)) // others may follow, as in a rolling restart
	}
	return list, lifetime
}

// stoppingHosts returns the entry hosts that stop and still accept requests for long after callers may have cached their addresses.
// They are better than none.
func (e *Edge) stoppingHosts() []rudderview.EntryHost {
	serve := time.Duration(stopServeShare * float64(e.Settings.StopGrace))
	var list []rudderview.EntryHost
	for _, d := range e.view.Departures(serve - 2*e.Settings.DirectoryLifetime) {
		list = append(list, d.EntryHost)
	}
	return list
}

// servedElsewhere reports whether other entry hosts take new work.
func (e *Edge) servedElsewhere() bool {
	return slices.ContainsFunc(e.view.Snapshot().EntryHosts, func(x rudderview.EntryHost) bool { return x.Name != e.Settings.Name })
}

// callerAddresses chooses the entry hosts for one caller, excluding the one that is leaving. Callers pick among their
// addresses at random, so the choice spreads them over the whole fleet, weighted by distance and capacity. The same caller
// gets the same addresses while the fleet is unchanged, because callers close their connections to hosts that are missing
// from a new response.
func callerAddresses(entries []rudderview.EntryHost, leaving string, caller rudderentry.Caller, limit int) []string {
	hosts := make([]rudderentry.Host, 0, len(entries))
	for _, x := range entries {
		hosts = append(hosts, rudderentry.Host{
			Name: x.Name, Address: x.Address, Region: x.Region, DataCentre: x.DataCentre, Capacity: x.Capacity,
			Live: true, Leaving: x.Name == leaving,
		})
	}
	ranked := rudderentry.Rank(caller, hosts)
	list := make([]string, 0, min(len(ranked), limit))
	for _, x := range ranked[:min(len(ranked), limit)] {
		list = append(list, x.Address)
	}
	return list
}
