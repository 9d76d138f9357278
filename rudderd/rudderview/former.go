package rudderview

import (
	"net"
	"sync"
	"time"
)

const (
	// formerRetention is how long the address of an entry host is remembered that is no longer registered. maxFormer bounds
	// the number of such addresses; a large fleet stays below it.
	formerRetention = 10 * time.Minute
	maxFormer       = 1024
)

// formerHosts holds the IP addresses of entry hosts that are no longer registered, with the uptime at which they were last.
type formerHosts struct {
	mu   sync.Mutex
	byIP map[string]time.Duration
}

// noteFormer remembers the addresses of the entry hosts that lose their registrations.
func (v *View) noteFormer(entries []EntryHost, lost func(EntryHost) bool) {
	for _, x := range entries {
		if lost(x) {
			v.addFormer(x, 0)
		}
	}
}

func (v *View) addFormer(x EntryHost, age time.Duration) {
	for _, address := range []string{x.Address, x.Peer} {
		v.AddFormerHost(ipOf(address), age)
	}
}

// AddFormerHost remembers the IP address of an entry host that lost its registration some time ago.
func (v *View) AddFormerHost(ip string, age time.Duration) {
	f, now := &v.former, v.Uptime()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byIP == nil {
		f.byIP = map[string]time.Duration{}
	}
	if len(f.byIP) >= maxFormer {
		for x, at := range f.byIP {
			if now-at > formerRetention {
				delete(f.byIP, x)
			}
		}
	}
	at, known := f.byIP[ip]
	if ip != "" && age >= 0 && age <= formerRetention && (known && now-age > at || !known && len(f.byIP) < maxFormer) {
		f.byIP[ip] = now - age
	}
}

// FormerHosts returns the IP addresses of entry hosts that are no longer registered, with the time since they were.
func (v *View) FormerHosts() map[string]time.Duration {
	f, now := &v.former, v.Uptime()
	f.mu.Lock()
	defer f.mu.Unlock()
	ages := make(map[string]time.Duration, len(f.byIP))
	for ip, at := range f.byIP {
		if now-at <= formerRetention {
			ages[ip] = now - at
		}
	}
	return ages
}

// HasEntryHostAt reports whether an entry host with this IP address is registered or was a while ago. A host that restarts
// loses its registration.
func (v *View) HasEntryHostAt(ip string) bool {
	if ip == "" {
		return false
	}
	for _, x := range v.Snapshot().EntryHosts {
		if ipOf(x.Address) == ip || ipOf(x.Peer) == ip {
			return true
		}
	}
	f := &v.former
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known := f.byIP[ip]
	return known && v.Uptime()-at <= formerRetention
}

func ipOf(address string) string {
	host, _, _ := net.SplitHostPort(address) // an address without a port matches none
	return host
}
