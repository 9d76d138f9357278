package rudderedge

import (
	"time"

	"comfreyrudder.example/rudderd/rudderentry"
	"comfreyrudder.example/rudderd/rudderview"
)

// Addresses lists the entry hosts that a caller should use, at most most of them, and how long it may keep the list.
func (e *Edge) Addresses(caller rudderentry.Caller, most int) ([]string, time.Duration) {
	leaving := ""
	if !e.Ready() {
		leaving = e.Settings.Name
	}
	list := callerAddresses(e.view.Snapshot().EntryHosts, leaving, caller, most)
	if len(list) == 0 && !e.stop.leaving() {
		list = append(list, e.Settings.CallerListen)
	}
	return list, e.Settings.DirectoryLifetime
}

// callerAddresses chooses the entry hosts for one caller, without the one that leaves. A caller uses its addresses at
// random, so the choice spreads callers over the whole fleet, by distance and capacity. The same caller gets the same
// addresses while the fleet stays as it is: it closes connections to hosts that are missing from a new answer.
func callerAddresses(entries []rudderview.EntryHost, leaving string, caller rudderentry.Caller, most int) []string {
	hosts := make([]rudderentry.Host, 0, len(entries))
	for _, x := range entries {
		hosts = append(hosts, rudderentry.Host{
			Name: x.Name, Address: x.Address, Region: x.Region, DataCentre: x.DataCentre, Capacity: x.Capacity,
			Live: true, Leaving: x.Name == leaving,
		})
	}
	ranked := rudderentry.Rank(caller, hosts)
	list := make([]string, 0, min(len(ranked), most))
	for _, x := range ranked[:min(len(ranked), most)] {
		list = append(list, x.Address)
	}
	return list
}
