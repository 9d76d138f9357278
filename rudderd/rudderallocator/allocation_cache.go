package rudderallocator

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/shared/rudderconfig"
)

// AllocationCache keeps the last allocation and recomputes it only when its inputs change: an allocation over
// 730 hosts takes milliseconds, and a planner needs one every second. It is not safe for concurrent use.
type AllocationCache struct {
	key        uint64
	config     *rudderconfig.Document
	allocation Allocation
	upcoming   map[string][]UpcomingWindow
}

// Allocate returns the results of the functions Allocate and Upcoming for the input. Documents are compared by
// pointer, so a configuration document must not be modified in place.
func (c *AllocationCache) Allocate(in AllocationInput, t Timing) (Allocation, map[string][]UpcomingWindow) {
	if key := in.key(t); c.config != in.Config || c.key != key {
		c.key, c.config = key, in.Config
		c.allocation, c.upcoming = Allocate(in), Upcoming(in, t)
	}
	return c.allocation, c.upcoming
}

// key hashes every input except the content of the configuration: the hosts, the current groups, and which
// selectors are active or open soon.
func (in AllocationInput) key(t Timing) uint64 {
	h := xxhash.New()
	write := func(s string) {
		_, _ = h.WriteString(s) // xxhash never returns an error
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
		var labels uint64 // a sum, so that map iteration order does not matter
		for k, v := range host.Labels {
			labels += xxhash.Sum64String(k + "\x00" + v)
		}
		write(strconv.FormatUint(labels, 16))
	}
	for _, s := range in.Config.Selectors {
		var current uint64 // a sum, so that map iteration order does not matter
		for domain, n := range in.Current[s.Name] {
			current += xxhash.Sum64String(domain + "\x00" + strconv.Itoa(n))
		}
		write(strconv.FormatUint(current, 16))
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
