package rudderapp

import (
	"comfreyrudder.example/rudderd/rudderentry"
	"comfreyrudder.example/rudderd/rudderhttp"
)

// entryHosts lists all entry hosts with the state that this one knows of them.
func (a *App) entryHosts() []rudderentry.Host {
	live := make(map[string]bool)
	for _, m := range a.node.Live() {
		live[m.Name] = true
	}
	members := a.node.Members()
	hosts := make([]rudderentry.Host, 0, len(members))
	for _, m := range members {
		entry, _ := a.node.Entry(m.Name)
		hosts = append(hosts, rudderentry.Host{
			Name: m.Name, Address: m.CallerAddress, Region: m.Region, DataCentre: m.DataCentre,
			Live: live[m.Name], Leaving: entry.Leaving(),
			InFlight: entry.Load().InFlight, QueuePermille: entry.Load().QueuePermille,
		})
	}
	return hosts
}

// caller returns the location of a caller. A caller without a data centre is assumed to be in that of this entry host.
func (a *App) caller(key, dataCentre string) rudderentry.Caller {
	c := rudderentry.Caller{Key: key, Region: a.self.Region, DataCentre: dataCentre}
	if dataCentre == "" {
		c.DataCentre = a.self.DataCentre
		return c
	}
	for _, m := range a.node.Members() {
		if m.DataCentre == dataCentre {
			c.Region = m.Region
		}
	}
	return c
}

// ranked lists the entry addresses for a caller, the best first.
func (a *App) ranked(key, dataCentre string) []rudderhttp.Entry {
	regions := make(map[string]string)
	for _, m := range a.node.Members() {
		regions[m.Name] = m.Region
	}
	entries := []rudderhttp.Entry{}
	for _, r := range rudderentry.Rank(a.caller(key, dataCentre), a.entryHosts()) {
		entries = append(entries, rudderhttp.Entry{Address: r.Address, Name: r.Name, Region: regions[r.Name], DataCentre: r.DataCentre})
	}
	return entries
}

// betterEntry returns the address of a less loaded entry host, or else of the best other one, or "".
func (a *App) betterEntry() string {
	hosts := a.entryHosts()
	for _, h := range hosts {
		if h.Name != a.self.Name {
			continue
		}
		if better, found := rudderentry.Better(a.caller("", ""), h, hosts); found {
			return better.Address
		}
	}
	for _, e := range a.ranked("", "") {
		if e.Name != a.self.Name {
			return e.Address
		}
	}
	return ""
}
