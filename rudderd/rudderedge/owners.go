package rudderedge

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"comfreyrudder.example/rudderd/rudderview"
)

// ledgerKey identifies one part of the ledger of a model.
type ledgerKey struct {
	service, model string
	part           int
}

// owners caches which entry host owns each part of each ledger.
type owners struct {
	mu       sync.Mutex
	snapshot *rudderview.Snapshot // that assigned was computed from
	assigned map[ledgerKey]rudderview.EntryHost
}

// of returns the owner of a part, computed from a snapshot of the fleet.
func (o *owners) of(s *rudderview.Snapshot, key ledgerKey) (rudderview.EntryHost, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.snapshot != s || o.assigned == nil {
		o.snapshot, o.assigned = s, assignOwners(s.EntryHosts, ledgerKeys(s))
	}
	owner, found := o.assigned[key]
	return owner, found
}

// ledgerKeys lists all parts of all ledgers, in the order of the routing document.
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
			for part := range s.Partitions(service.Name) {
				keys = append(keys, ledgerKey{service.Name, model.Name, part})
			}
		}
	}
	return keys
}

// assignOwners assigns each part to one of the entry hosts with enough capacity, by rendezvous hashing with bounded load:
// no host gets more parts than an even distribution, rounded up, would give it. Two entry hosts that see different lists
// may compute different owners; then each of the two ledgers holds some of the requests.
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
	maxParts := (len(keys) + len(hosts) - 1) / len(hosts)
	load := make([]int, len(hosts))
	assigned := make(map[ledgerKey]rudderview.EntryHost, len(keys))
	for _, key := range keys {
		best, bestScore := -1, uint64(0)
		suffix := "\x00" + key.service + "\x00" + key.model + "\x00" + strconv.Itoa(key.part)
		for i, x := range hosts {
			if score := xxhash.Sum64String(x.Name + suffix); load[i] < maxParts && (best < 0 || score > bestScore) {
				best, bestScore = i, score
			}
		}
		load[best]++
		assigned[key] = hosts[best]
	}
	return assigned
}
