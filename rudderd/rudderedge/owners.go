package rudderedge

import (
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/rudderd/rudderview"
)

// ledgerKey identifies one partition of the ledger of a model.
type ledgerKey struct {
	service, model string
	partition      int
}

// owners caches which entry host owns each partition of each ledger.
type owners struct {
	mu       sync.Mutex
	snapshot *rudderview.Snapshot // that assigned was computed from
	assigned map[ledgerKey]rudderview.EntryHost
	chains   map[ledgerKey][]rudderview.EntryHost
}

// maxOwners bounds the entry hosts that may own a partition in turn while the registrations of the earlier ones have lapsed.
const maxOwners = 3

// chain returns the owner of a partition, followed by the one that would be computed without it, and so on.
func (o *owners) chain(s *rudderview.Snapshot, key ledgerKey) []rudderview.EntryHost {
	owner, found := o.of(s, key)
	if !found {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if list := o.chains[key]; list != nil && o.snapshot == s {
		return list
	}
	list, entries := []rudderview.EntryHost{owner}, slices.Clone(s.EntryHosts)
	keys := []ledgerKey{key}
	if key.model != "" {
		keys = ledgerKeys(s)
	}
	for len(list) < maxOwners {
		last := list[len(list)-1].Name
		entries = slices.DeleteFunc(entries, func(x rudderview.EntryHost) bool { return x.Name == last })
		next, found := assignOwners(entries, keys)[key]
		if !found {
			break
		}
		list = append(list, next)
	}
	if o.snapshot == s {
		o.chains[key] = list
	}
	return list
}

// of returns the owner of a partition, computed from a snapshot of the fleet.
func (o *owners) of(s *rudderview.Snapshot, key ledgerKey) (rudderview.EntryHost, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snapshot != s || o.assigned == nil {
		o.snapshot, o.assigned = s, assignOwners(s.EntryHosts, ledgerKeys(s))
		o.chains = map[ledgerKey][]rudderview.EntryHost{}
	}
	owner, found := o.assigned[key]
	if !found && key.model == "" {
		// A plain service has an owner only while one of its targets limits the rate of requests.
		owner, found = assignOwners(s.EntryHosts, []ledgerKey{key})[key]
		o.assigned[key] = owner
	}
	return owner, found
}

// ledgerKeys lists all partitions of all ledgers, in the order of the routing document.
func ledgerKeys(s *rudderview.Snapshot) []ledgerKey {
	if s.Table == nil {
		return nil
	}
	var keys []ledgerKey
	for _, service := range s.Table.Services() {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			for partition := range s.Partitions(service.Name) {
				keys = append(keys, ledgerKey{service.Name, model.Name, partition})
			}
		}
	}
	return keys
}

// assignOwners assigns each partition to one of the entry hosts with enough capacity, by rendezvous hashing
// with bounded load: no host gets more partitions than an even distribution, rounded up, would give it. Two
// entry hosts that see different lists may compute different owners; then each of the two ledgers holds some of
// the requests.
func assignOwners(entries []rudderview.EntryHost, keys []ledgerKey) map[ledgerKey]rudderview.EntryHost {
	var hosts []rudderview.EntryHost
	for _, x := range rudderview.HighCapacity(entries) {
		if x.Peer != "" {
			hosts = append(hosts, x)
		}
	}
	if len(hosts) == 0 {
		return map[ledgerKey]rudderview.EntryHost{}
	}
	maxPartitions := (len(keys) + len(hosts) - 1) / len(hosts)
	load := make([]int, len(hosts))
	assigned := make(map[ledgerKey]rudderview.EntryHost, len(keys))
	for _, key := range keys {
		best, bestScore := -1, uint64(0)
		suffix := "\x00" + key.service + "\x00" + key.model + "\x00" + strconv.Itoa(key.partition)
		for i, x := range hosts {
			if score := xxhash.Sum64String(x.Name + suffix); load[i] < maxPartitions && (best < 0 || score > bestScore) {
				best, bestScore = i, score
			}
		}
		load[best]++
		assigned[key] = hosts[best]
	}
	return assigned
}
