package rudderowner

import (
	"slices"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderpeer"
)

// localShare of a shard's slots is divided among the live members while its owner is unreachable.
// It lasts for the suspicion time of 3 s, and engines queue what exceeds their slots.
const localShare = 0.25

// fromLocalShare takes a slot of this entry host's local share without the owner. o.mu is not held.
func (o *Owner) fromLocalShare(shard string, work Work) (*Slot, bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.view.byID[shard]
	used, mine := 0, map[string]int{}
	for _, s := range o.slots {
		mine[s.group]++
		if s.local && s.currentShard() == shard {
			used++
		}
	}
	limit := max(1, int(localShare*float64(known.Slots())/float64(max(1, len(o.view.owners[shard])))))
	best, free := -1, 0
	for i, g := range known.Groups() {
		room := g.Slots - max(g.Load, mine[g.ID])
		if !g.Draining && !slices.Contains(work.Avoid, g.ID) && room > free {
			best, free = i, room
		}
	}
	if used >= limit || best < 0 {
		return nil, true, &refusedError{after: suspectTTL, reason: "shard owner unreachable, local share in use"}
	}
	g := known.Groups()[best]
	return o.holdLocked(shard, work, g.ID, g.Leader, true), false, nil
}

// admission returns the owner's service: in process for this entry host. o.mu is held.
func (o *Owner) admission(m ruddermember.Member) rudderpeer.Admission {
	if m.Name == o.Self.Name {
		return (*server)(o)
	}
	client := o.clients[m.PeerAddress]
	if client == nil {
		client = rudderpeer.NewAdmissionProtobufClient("http://"+m.PeerAddress, o.HTTPClient)
		o.clients[m.PeerAddress] = client
	}
	return client
}

func (o *Owner) markSuspect(m ruddermember.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m.Name != o.Self.Name {
		o.suspect[m.Name] = o.Clock.Now().Add(suspectTTL)
		o.Logger.Warn().Str("owner", m.Name).Msg("shard owner gives no answer, using the local share")
	}
}

func (o *Owner) isSuspect(m ruddermember.Member) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.Clock.Now().Before(o.suspect[m.Name])
}
