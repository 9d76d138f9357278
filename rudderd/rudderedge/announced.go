package rudderedge

import (
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
)

// maxAnnouncedPerCall bounds the announcements in one call between entry hosts. Later calls carry the rest, because an
// announcement is dropped from the list once the target's own record shows that it leaves.
const maxAnnouncedPerCall = 64

// announced lists the targets that have announced in a response, to this entry host or to another one, that they are
// leaving. The list is attached to calls to the owners of models, so that the planner and hosts that have sent nothing to
// such a target learn of it without a call to the key-value service.
func (e *Edge) announced() []*rudderpeer.LeavingTarget {
	list := e.view.UnrecordedAnnouncements()
	if len(list) == 0 {
		return nil
	}
	list = list[:min(len(list), maxAnnouncedPerCall)]
	out := make([]*rudderpeer.LeavingTarget, len(list))
	for i, a := range list {
		out[i] = &rudderpeer.LeavingTarget{Name: a.Target, Born: a.Born}
	}
	return out
}

// applyAnnounced applies the leave announcements that another entry host has passed on.
func (e *Edge) applyAnnounced(from string, list []*rudderpeer.LeavingTarget) {
	for _, x := range list[:min(len(list), maxAnnouncedPerCall)] {
		if e.view.MarkLeaving(rudderview.Announcement{Target: x.GetName(), Born: x.GetBorn()}) {
			e.Logger.Info().Str("target", x.GetName()).Int64("born", x.GetBorn()).Str("by", from).
				Msg("target is leaving, as reported by another entry host; no new requests")
		}
	}
}
