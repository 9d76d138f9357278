package rudderplacement

import (
	"slices"

	"comfreyrudder.example/rudderd/rudderroster"
)

// loss is why a group cannot run; reason is empty if it can.
type loss struct {
	reason string
	// silent is the member that does not answer if that is the only reason, and unconfirmed is set if no further probe has
	// confirmed it.
	silent      rudderroster.Member
	unconfirmed bool
}

// add adds a member that does not answer. One that is known to be lost goes before others.
func (l *loss) add(m rudderroster.Member, unconfirmed bool) {
	if l.reason == "" || l.unconfirmed && !unconfirmed {
		*l = loss{reason: "member " + m.Target + " does not answer", silent: m, unconfirmed: unconfirmed}
	}
}

// leaveSent reports whether a member was ordered to leave a group. One that has not answered the order may still carry it out.
func (in *Input) leaveSent(g rudderroster.Group) bool {
	leave := leaveOrder(g)
	return slices.ContainsFunc(g.Members, func(m rudderroster.Member) bool { return in.State.orders[orderKey(m.Target, leave)] != nil })
}

// silentMember returns a member of a group that did not answer its last probe, if there is one.
func (in *Input) silentMember(g rudderroster.Group) rudderroster.Member {
	for _, m := range g.Members {
		if t := in.member(m); t != nil && in.Silent(t) {
			return m
		}
	}
	return rudderroster.Member{}
}

// answers reports whether a member that was found dead has answered since.
func (in *Input) answers(m rudderroster.Member) bool {
	t := in.member(m)
	return t != nil && !in.Dead(t)
}

// leaderLost is leaderDead for steps that end the group.
func (in *Input) leaderLost(g rudderroster.Group) bool {
	t := in.member(g.Members[0])
	return t == nil || in.Lost(t)
}
