package rudderview

import (
	"slices"
	"time"
)

const (
	// maxDepartures limits the departures that are kept. It is above the number of entry hosts of a large fleet that stop
	// within DepartureRetention.
	maxDepartures = 4096
	// DepartureRetention is how long a departure is kept after the registration of its process was last seen. A registration
	// may come back with a late write, or with a restore of the key-value service.
	DepartureRetention = 10 * time.Minute
)

// Departure records that a process of an entry host has begun to stop. Its addresses are served until it ends.
type Departure struct {
	EntryHost
	// Age is the time since the announcement.
	Age time.Duration
}

// process identifies a process of an entry host. Another process of the same host has another instance.
type process struct{ name, instance string }

// departure is the state of a Departure in the view.
type departure struct {
	entry       EntryHost
	announcedAt time.Duration // uptime
	seenAt      time.Duration // uptime of the announcement, or at which a registration of this process was last seen
}

// MarkDeparted hides the registration of a process that stops, whatever the records say, but not that of a later process of the same
// entry host. It returns false if the departure was known or is too old.
func (v *View) MarkDeparted(d Departure) bool {
	if d.Name == "" || d.Instance == "" || d.Age < 0 || d.Age > DepartureRetention {
		return false // the processes of earlier versions cannot be told apart
	}
	v.snapshotMu.Lock()
	defer v.snapshotMu.Unlock()
	key, now := d.process(), v.Uptime()
	if _, known := v.departures[key]; known {
		return false
	}
	if v.departures == nil {
		v.departures = map[process]departure{}
	}
	v.limitDepartures(now)
	v.addFormer(d.EntryHost, d.Age)
	v.departures[key] = departure{entry: d.EntryHost, announcedAt: now - d.Age, seenAt: now - d.Age}
	v.lastDeparture.Store(max(int64(now-d.Age), v.lastDeparture.Load(), 1))
	if !slices.ContainsFunc(v.Snapshot().EntryHosts, func(x EntryHost) bool { return x.process() == key }) {
		return true
	}
	v.publishEntryHosts()
	return true
}

// publishEntryHosts publishes the entry hosts anew after a departure or an arrival. Nothing else in the snapshot depends on them, so
// it is shared with the earlier one. The caller holds v.snapshotMu.
func (v *View) publishEntryHosts() {
	s := *v.Snapshot()
	s.EntryHosts = slices.Clone(s.EntryHosts)
	v.applyProcesses(&s)
	v.current.Store(&s)
	v.notifyWaiters()
}

// applyProcesses applies the departures and arrivals to a snapshot that is not published yet. The caller holds v.snapshotMu.
func (v *View) applyProcesses(s *Snapshot) {
	v.hideDeparted(s)
	v.addArrived(s)
}

// limitDepartures makes room for a departure. The caller holds v.snapshotMu.
func (v *View) limitDepartures(now time.Duration) {
	var oldest process
	for key, d := range v.departures {
		if now-d.seenAt > DepartureRetention {
			delete(v.departures, key)
		} else if oldest == (process{}) || d.seenAt < v.departures[oldest].seenAt {
			oldest = key
		}
	}
	if len(v.departures) >= maxDepartures {
		delete(v.departures, oldest)
	}
}

// hideDeparted removes the processes that stop from a snapshot that is not published yet. The caller holds v.snapshotMu.
func (v *View) hideDeparted(s *Snapshot) {
	if len(v.departures) == 0 {
		return
	}
	now := v.Uptime()
	s.EntryHosts = slices.DeleteFunc(s.EntryHosts, func(x EntryHost) bool {
		d, departed := v.departures[x.process()]
		if departed {
			d.seenAt = now
			v.departures[x.process()] = d
		}
		return departed
	})
}

// Departures returns the departures that were announced within the given time.
func (v *View) Departures(within time.Duration) []Departure {
	v.snapshotMu.Lock()
	defer v.snapshotMu.Unlock()
	now := v.Uptime()
	list := make([]Departure, 0, len(v.departures))
	for _, d := range v.departures {
		if now-d.announcedAt <= within {
			list = append(list, Departure{EntryHost: d.entry, Age: now - d.announcedAt})
		}
	}
	return list
}

// LastDeparture returns the time since the last departure was announced. known is false if none was.
func (v *View) LastDeparture() (age time.Duration, known bool) {
	at := v.lastDeparture.Load()
	return v.Uptime() - time.Duration(at), at != 0
}

func (x EntryHost) process() process { return process{x.Name, x.Instance} }
