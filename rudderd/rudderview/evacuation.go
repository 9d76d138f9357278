package rudderview

import (
	"maps"
	"slices"
	"strings"
	"time"

	"comfreyrudder.example/shared/rudderstore"
)

// Restoration is the end of an evacuation.
type Restoration struct {
	// At is the uptime at which this entry host learned of it.
	At time.Duration
	// Revision is that of the key-value service as of which the data centre is no longer evacuated.
	Revision int64
}

// Evacuated reports whether operators have asked that no more requests are sent to the targets of a data centre.
func (s *Snapshot) Evacuated(dataCentre string) bool { return s.evacuated[dataCentre] }

// EvacuatedDataCentres returns the data centres that are evacuated, sorted by name.
func (s *Snapshot) EvacuatedDataCentres() []string { return slices.Sorted(maps.Keys(s.evacuated)) }

// Restored returns the last end of an evacuation of a data centre that this entry host has seen.
func (s *Snapshot) Restored(dataCentre string) (Restoration, bool) {
	r, found := s.restored[dataCentre]
	return r, found
}

// ColdUntil returns the uptime until which a target is cold. After an evacuation the targets are cold for coldStart, until their
// records, written since, say that they are not.
func (s *Snapshot) ColdUntil(t *Target, coldStart time.Duration) time.Duration {
	until := t.coldUntil
	if r, found := s.restored[t.DataCentre]; found && t.Revision <= r.Revision {
		until = max(until, r.At+coldStart)
	}
	return until
}

// maxDataCentreName bounds the name in the key of an evacuation, in bytes.
const maxDataCentreName = 128

// evacuationOf returns the data centre that a key evacuates.
func (v *View) evacuationOf(key string) (dataCentre string, found bool) {
	if v.Keys.EvacuationPrefix == "" {
		return "", false
	}
	name, found := strings.CutPrefix(key, v.Keys.EvacuationPrefix)
	return name, found && name != "" && len(name) <= maxDataCentreName
}

// keepEvacuations carries over the evacuations that a restore of the service has lost, until the operators have had time to write them
// again.
func (v *View) keepEvacuations(s, old *Snapshot) {
	for name := range old.evacuated {
		if !s.evacuated[name] {
			key := v.Keys.EvacuationPrefix + name
			s.evacuated[name] = true
			v.keepRecord(key, rudderstore.EraStart(s.Revision))
			v.retainedUntil[key] = v.Uptime() + v.ReturnGrace
		}
	}
}

// noteEvacuations records and logs what has changed since the last snapshot. The caller holds v.snapshotMu.
func (v *View) noteEvacuations(s *Snapshot) {
	old := v.Snapshot().evacuated
	if maps.Equal(old, s.evacuated) {
		return
	}
	for name := range old {
		if !s.evacuated[name] {
			s.restored[name] = Restoration{At: v.Uptime(), Revision: s.Revision}
			v.Logger.Info().Str("data_centre", name).Int64("revision", s.Revision).Msg("evacuation ended; targets of the data centre get requests again")
		}
	}
	for name := range s.evacuated {
		if !old[name] {
			v.Logger.Warn().Str("data_centre", name).Int64("revision", s.Revision).Msg("data centre is evacuated; its targets get no new requests")
		}
	}
	for _, service := range s.servicesWithoutTargets() {
		v.Logger.Error().Str("service", service).Strs("evacuated", s.EvacuatedDataCentres()).Msg("evacuations leave no target for a service")
	}
}

// servicesWithoutTargets returns the services all of whose targets are in evacuated data centres.
func (s *Snapshot) servicesWithoutTargets() []string {
	left := map[string]bool{}
	for _, t := range s.Targets {
		left[t.Service] = left[t.Service] || !s.Evacuated(t.DataCentre)
	}
	maps.DeleteFunc(left, func(_ string, left bool) bool { return left })
	return slices.Sorted(maps.Keys(left))
}
