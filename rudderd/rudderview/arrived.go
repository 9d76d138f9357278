package rudderview

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxArrivals limits the arrivals that are kept. It is above the number of entry hosts of a large fleet.
	maxArrivals = 1024
	// arrivalRetention is how long an arrival is kept while the key-value service answers. The process registers within this
	// time if it lives and reaches the service.
	arrivalRetention = retainedEntryTime
)

// arrival is a process that serves and is not registered yet.
type arrival struct {
	entry EntryHost
	at    time.Duration // uptime of the announcement
}

// MarkArrived adds an entry host that serves and cannot register yet. The registration of its name replaces it, unless that is
// hidden because its process has departed. It returns false if the arrival was known, or if the process has departed.
func (v *View) MarkArrived(x EntryHost) bool { return v.markArrived(x, true) }

// MarkReportedArrival is MarkArrived for a process that a third entry host has reported. It may have ended before the one that is
// known here, which it does not replace.
func (v *View) MarkReportedArrival(x EntryHost) bool { return v.markArrived(x, false) }

func (v *View) markArrived(x EntryHost, replace bool) bool {
	v.snapshotMu.Lock()
	defer v.snapshotMu.Unlock()
	old, known := v.arrivals[x.Name]
	_, departed := v.departures[x.process()]
	switch {
	case x.Name == "" || x.Instance == "" || departed:
		return false
	case known && (!replace || old.entry.process() == x.process()):
		return false
	case !known && len(v.arrivals) >= maxArrivals:
		return false
	}
	if v.arrivals == nil {
		v.arrivals = map[string]arrival{}
	}
	x.unregistered = true
	v.arrivals[x.Name] = arrival{entry: x, at: v.Uptime()}
	v.publishEntryHosts()
	return true
}

// Arrivals returns the entry hosts that serve and are not registered yet.
func (v *View) Arrivals() []EntryHost {
	v.snapshotMu.Lock()
	defer v.snapshotMu.Unlock()
	list := make([]EntryHost, 0, len(v.arrivals))
	for _, a := range v.arrivals {
		list = append(list, a.entry)
	}
	return list
}

// addArrived adds the arrivals to a snapshot that is not published yet, and forgets those that have registered or departed. The
// caller holds v.snapshotMu.
func (v *View) addArrived(s *Snapshot) {
	s.EntryHosts = slices.DeleteFunc(s.EntryHosts, func(x EntryHost) bool { return x.unregistered })
	for name, a := range v.arrivals {
		_, departed := v.departures[a.entry.process()]
		registered := slices.ContainsFunc(s.EntryHosts, func(x EntryHost) bool { return x.process() == a.entry.process() })
		switch {
		case departed || registered:
			delete(v.arrivals, name)
		case !s.hasEntryHost(name):
			s.addEntryHost(a.entry)
		}
	}
}

// expireArrivals forgets the processes that have not registered although the key-value service answers. It is called only by the
// goroutine of Run.
func (v *View) expireArrivals() {
	v.snapshotMu.Lock()
	defer v.snapshotMu.Unlock()
	now, before := v.Uptime(), len(v.arrivals)
	maps.DeleteFunc(v.arrivals, func(_ string, a arrival) bool { return now-max(a.at, v.recoveredAt) > arrivalRetention })
	if len(v.arrivals) < before {
		v.publishEntryHosts()
	}
}
