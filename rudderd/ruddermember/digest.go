package ruddermember

import (
	"time"

	"comfreyrudder.example/rudderd/rudderpermit"
	"comfreyrudder.example/shared/rudderpeer"
)

// Flags of a digest entry.
const (
	flagLeaving     = 1
	flagNoConfig    = 2
	flagOtherConfig = 4
)

// minRemoteLead is how many heartbeats an entry of another region must be ahead of the puller's to be sent.
// Entries of other regions may be older, and there are more of them.
const minRemoteLead = 4

// maxLead is the largest number of heartbeats by which a puller is taken to be ahead of the host that it
// pulls from.
const maxLead = 8

// shortHeartbeat is the one-byte form of a heartbeat in a digest request, 1 to 128; 0 stands for "no entry".
// Heartbeats with the same short form are considered equal. The next heartbeat corrects a false match.
func shortHeartbeat(e Entry) byte { return byte((e.heartbeat+e.incarnation*31)&0x7f) + 1 }

// digestRequest states the heartbeats in the table, in the registry's order.
func digestRequest(r Registry, t *table, region string) *rudderpeer.DigestRequest {
	known := make([]byte, len(r.Members))
	for i, m := range r.Members {
		if e, found := t.entries[memberID(m.Name)]; found {
			known[i] = shortHeartbeat(e)
		}
	}
	return &rudderpeer.DigestRequest{
		RegistryVersion: r.Version, RegistryOrder: r.orderHash(), Known: known, Region: region,
	}
}

// missing reports whether an entry must be sent to a puller that knows the given short heartbeat. Entries
// with the same heartbeat are left out, as are entries of other regions that have advanced by less than
// minRemoteLead.
func missing(known byte, e Entry, sameRegion bool) bool {
	have := shortHeartbeat(e)
	if known == 0 || known == have {
		return known == 0
	}
	ahead := (have - known) & 0x7f
	if ahead >= 64 {
		// Either the puller is ahead or the incarnation changed. Gossip spreads a heartbeat in fewer than
		// maxLead rounds, so a larger lead means a new incarnation.
		return 128-ahead > maxLead
	}
	return sameRegion || ahead >= minRemoteLead || e.leaving
}

// digestResponse returns the entries that the puller lacks. self is the entry of the answering member; the
// versions of the entries are encoded relative to its versions.
func digestResponse(r Registry, t *table, self Entry, q *rudderpeer.DigestRequest, now time.Time) *rudderpeer.DigestResponse {
	d := &rudderpeer.DigestResponse{
		ConfigVersion: self.config.Number, ConfigHash: self.config.Hash, RegistryVersion: r.Version,
	}
	if q.RegistryVersion < r.Version {
		d.Registry = r.Encode()
	}
	sameOrder := q.RegistryOrder == r.orderHash() && len(q.Known) == len(r.Members)
	for i, m := range r.Members {
		e, found := t.entries[memberID(m.Name)]
		known := sameOrder && found && m.Name != self.name && !missing(q.Known[i], e, m.Region == q.Region)
		if !found || known {
			continue
		}
		appendEntry(d, e, now)
	}
	dropZeroColumns(d)
	return d
}

func appendEntry(d *rudderpeer.DigestResponse, e Entry, now time.Time) {
	d.Members = append(d.Members, memberID(e.name))
	d.Incarnations = append(d.Incarnations, e.incarnation)
	d.Heartbeats = append(d.Heartbeats, e.heartbeat)
	// Rounded up, because the age must be an upper bound.
	d.AgesMs = append(d.AgesMs, uint32(e.Age(now)/time.Millisecond)+1)
	d.ConfigLags = append(d.ConfigLags, d.ConfigVersion-e.config.Number)
	d.RegistryLags = append(d.RegistryLags, d.RegistryVersion-e.registry)
	d.InFlight = append(d.InFlight, uint32(e.load.InFlight))
	d.QueuePermille = append(d.QueuePermille, uint32(e.load.QueuePermille))
	var flags uint32
	if e.leaving {
		flags |= flagLeaving
	}
	if !e.hasConfig {
		flags |= flagNoConfig
	}
	if e.config.Hash != d.ConfigHash {
		flags |= flagOtherConfig
		d.OtherHashes = append(d.OtherHashes, e.config.Hash)
	}
	d.Flags = append(d.Flags, flags)
}

// decodeEntries decodes a response. sent is the time just before the request; ages are counted from it, so
// that they include the round trip. Entries of members that the registry does not list are skipped.
func decodeEntries(r Registry, d *rudderpeer.DigestResponse, sent time.Time) []Entry {
	names := make(map[uint32]string, len(r.Members))
	for _, m := range r.Members {
		names[memberID(m.Name)] = m.Name
	}
	entries := make([]Entry, 0, len(d.Members))
	others := 0
	for i, id := range d.Members {
		flags := at(d.Flags, i)
		hash := d.ConfigHash
		if flags&flagOtherConfig != 0 {
			hash = at(d.OtherHashes, others)
			others++
		}
		name, listed := names[id]
		if !listed {
			continue
		}
		entries = append(entries, Entry{
			name: name, incarnation: at(d.Incarnations, i), heartbeat: at(d.Heartbeats, i),
			config:    rudderpermit.Version{Number: d.ConfigVersion - at(d.ConfigLags, i), Hash: hash},
			hasConfig: flags&flagNoConfig == 0,
			registry:  d.RegistryVersion - at(d.RegistryLags, i),
			load:      Load{InFlight: int(at(d.InFlight, i)), QueuePermille: int(at(d.QueuePermille, i))},
			leaving:   flags&flagLeaving != 0,
			observed:  sent.Add(-time.Duration(at(d.AgesMs, i)) * time.Millisecond),
		})
	}
	return entries
}

// at returns an element of a column, or 0 if the column was left out because it held only zeros.
func at[T uint32 | uint64 | int64](column []T, i int) T {
	if i >= len(column) {
		return 0
	}
	return column[i]
}

func dropZeroColumns(d *rudderpeer.DigestResponse) {
	d.ConfigLags, d.RegistryLags = dropZero(d.ConfigLags), dropZero(d.RegistryLags)
	d.InFlight, d.QueuePermille, d.Flags = dropZero(d.InFlight), dropZero(d.QueuePermille), dropZero(d.Flags)
}

func dropZero[T uint32 | int64](column []T) []T {
	for _, v := range column {
		if v != 0 {
			return column
		}
	}
	return nil
}
