package rudderapp

import (
	"sort"

	"comfreyrudder.example/rudderd/rudderhttp"
	"comfreyrudder.example/rudderd/ruddermember"
)

// ranked lists the live entry hosts for a caller in a data centre, nearest and least loaded first.
func (a *App) ranked(dataCentre string) []rudderhttp.Entry {
	if dataCentre == "" {
		dataCentre = a.self.DataCentre
	}
	live := a.node.Live()
	distance := func(m ruddermember.Member) int {
		switch {
		case m.DataCentre == dataCentre:
			return 0
		case m.Region == a.self.Region:
			return 1
		default:
			return 2
		}
	}
	inFlight := func(m ruddermember.Member) int {
		entry, _ := a.node.Entry(m.Name)
		return entry.Load().InFlight
	}
	sort.SliceStable(live, func(i, j int) bool {
		if distance(live[i]) != distance(live[j]) {
			return distance(live[i]) < distance(live[j])
		}
		return inFlight(live[i]) < inFlight(live[j])
	})
	entries := make([]rudderhttp.Entry, 0, len(live))
	for _, m := range live {
		entries = append(entries, rudderhttp.Entry{Address: m.CallerAddress, Name: m.Name, Region: m.Region, DataCentre: m.DataCentre})
	}
	return entries
}
