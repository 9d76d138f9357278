package rudderplan

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/shared/rudderconfig"
)

// AllocationCache keeps the last division and computes it again only when something that it depends on has
// changed: a division of 730 hosts takes milliseconds, and a planner needs it every second. It is not
// safe for concurrent use.
type AllocationCache struct {
	key        uint64
	config     *rudderconfig.Document
	allocation Allocation
	upcoming   map[string][]UpcomingWindow
}

// Allocate returns Allocate and Upcoming of the input. A configuration document must not be changed in
// place.
func (d *AllocationCache) Allocate(in AllocationInput, t Timing) (Allocation, map[string][]UpcomingWindow) {
	if key := in.key(t); d.config != in.Config || d.key != key {
		d.key, d.config = key, in.Config
		d.allocation, d.upcoming = Allocate(in), Upcoming(in, t)
	}
	return d.allocation, d.upcoming
}

// key is a hash of everything but the configuration's content: the hosts and the selectors that are
// active or open soon.
func (in AllocationInput) key(t Timing) uint64 {
	h := xxhash.New()
	write := func(s string) {
		_, _ = h.WriteString(s) // never fails
		_, _ = h.WriteString("\x00")
	}
	for _, host := range in.Hosts {
		write(host.Name)
		write(host.FabricDomain)
		write(host.DataCentre)
		write(host.Region)
		write(string(host.Kind))
		write(string(host.State))
		write(strconv.FormatBool(in.Down[host.Name]))
		var labels uint64 // independent of the map's order
		for k, v := range host.Labels {
			labels += xxhash.Sum64String(k + "\x00" + v)
		}
		write(strconv.FormatUint(labels, 16))
	}
	for _, s := range in.Config.Selectors {
		var held uint64 // independent of the map's order
		for domain, n := range in.Current[s.Name] {
			held += xxhash.Sum64String(domain + "\x00" + strconv.Itoa(n))
		}
		write(strconv.FormatUint(held, 16))
		if len(s.Windows) == 0 {
			continue
		}
		state := strconv.FormatBool(s.ActiveAt(in.Now))
		if opens, ok := opensSoon(in, s, t); ok {
			state = opens.String()
		}
		write(s.Name)
		write(state)
	}
	return h.Sum64()
}
