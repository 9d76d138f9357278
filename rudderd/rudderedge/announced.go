package rudderedge

import (
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
)

// announcedPerCall bounds the announcements that one call between entry hosts carries. Later calls carry the others, as
// the records of the first ones follow.
const announcedPerCall = 64

// announced lists the targets that have told callers of this entry host, or of others, that they leave. It travels with
// the questions to the owners of models, so that the planner and hosts that have not sent such a target anything learn of
// it without a call to the key-value service.
func (e *Edge) announced() []*rudderpeer.LeavingTarget {
	list := e.view.UnrecordedAnnouncements()
	if len(list) == 0 {
		return nil
	}
	list = list[:min(len(list), announcedPerCall)]
	out := make([]*rudderpeer.LeavingTarget, len(list))
	for i, a := range list {
		out[i] = &rudderpeer.LeavingTarget{Name: a.Target, Born: a.Born}
	}
	return out
}

// takeAnnounced takes what another entry host knows of leaving targets.
func (e *Edge) takeAnnounced(from string, list []*rudderpeer.LeavingTarget) {
	for _, x := range list[:min(len(list), announcedPerCall)] {
		if e.view.MarkLeaving(rudderview.Announcement{Target: x.GetName(), Born: x.GetBorn()}) {
			e.Logger.Info().Str("target", x.GetName()).Int64("born", x.GetBorn()).Str("by", from).
				Msg("target leaves, by another entry host's word; no new requests")
		}
	}
}
