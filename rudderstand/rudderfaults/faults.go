package rudderfaults

import (
	"time"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
)

// Fault is one kind of failure.
type Fault struct {
	Name string
	// Hits says which part of the system fails.
	Hits Domain
	// Inject puts the fault in place and returns how it is healed. It is called while the step's event
	// is held back.
	Inject func(w *World, c Call) (heal func())
	// Lasts is the event that the fault must last for; nil needs none beyond the workload.
	Lasts func(w *World, c Call) func() bool
	// Cuts is true when the fault itself may end work that a planned stop must not cut.
	Cuts bool
	// NeedsRole is true when the fault needs a target that had a role before.
	NeedsRole bool
	// EndsTarget is true when a target's process ends, NeedsTarget when it must go on.
	EndsTarget, NeedsTarget bool
	// Switch is true for a lasting fault of the key-value service, Silences for one after which it
	// answers nothing.
	Switch, Silences bool
	// NeedsClaims is true when the fault needs a collector that has written claims.
	NeedsClaims bool
}

// faultPoison is named by a rule of the matrix.
const faultPoison = "poison_request"

const (
	straggleFactor = 6
	slowCall       = 400 * time.Millisecond
	slowKeyValue   = 150 * time.Millisecond
	lostAnswers    = 4
	poisonMark     = "[poison]"
)

// Faults lists all faults of docs/design.md, section 3.
func Faults() []Fault {
	return []Fault{
		{Name: "member_dies", Hits: OnEngines, Cuts: true, EndsTarget: true, Inject: killMember},
		{Name: "member_pauses", Hits: OnEngines, Cuts: true, NeedsTarget: true, Inject: pauseMember},
		{Name: "member_straggles", Hits: OnEngines, NeedsTarget: true, Inject: slowMember},
		{Name: "member_returns", Hits: OnEngines, Cuts: true, NeedsRole: true, NeedsTarget: true, Inject: pauseMember, Lasts: untilReplaced},
		{Name: "domain_dark", Hits: OnEngines, Cuts: true, Inject: darkDomain},
		{Name: "entry_without_key_value", Hits: OnEntries, Inject: func(w *World, c Call) func() {
			return w.part(w.victimEntry(c).Name, partyKeyValue)
		}},
		{Name: "entry_without_peers", Hits: OnEntries, Inject: func(w *World, c Call) func() {
			name := w.victimEntry(c).Name
			return w.part(name, w.others(name)...)
		}},
		{Name: "entry_without_targets", Hits: OnEntries, Cuts: true, Inject: func(w *World, c Call) func() {
			return w.part(w.victimEntry(c).Name, w.hostNames()...)
		}},
		{Name: "entries_halved", Hits: OnEntries, Inject: halveEntries},
		{Name: "key_value_down", Hits: OnPlatform, Switch: true, Silences: true, Inject: func(w *World, _ Call) func() {
			w.fleet.KV.SetDown(true)
			return w.fleet.KV.ClearFaults
		}},
		{Name: "key_value_slow", Hits: OnPlatform, Switch: true, Inject: func(w *World, _ Call) func() {
			w.fleet.KV.SetDelay(slowKeyValue)
			return w.fleet.KV.ClearFaults
		}},
		{Name: "key_value_answers_lost", Hits: OnPlatform, Switch: true, Inject: func(w *World, _ Call) func() {
			w.fleet.KV.LoseAnswers(lostAnswers)
			return w.fleet.KV.ClearFaults
		}},
		{Name: "key_value_restored", Hits: OnPlatform, Inject: func(w *World, _ Call) func() {
			w.fleet.KV.Restore(w.initial)
			return func() {}
		}},
		{Name: "planner_lapses", Hits: OnEntries, Inject: holdPlanner, Lasts: untilPlannerReplaced},
		{Name: "collector_lapses", Hits: OnEntries, NeedsClaims: true, Inject: holdCollector, Lasts: untilCollectorReplaced},
		{Name: "operators_race", Hits: OnPlatform, Inject: func(w *World, _ Call) func() {
			raced := make(chan struct{})
			go func() {
				defer close(raced)
				w.race()
			}()
			return func() { <-raced }
		}},
		{Name: faultPoison, Hits: OnEngines, Cuts: true, Inject: poison},
		{Name: "connections_silent", Hits: OnEntries, Inject: func(w *World, _ Call) func() {
			w.network.BlackholeOpen()
			return func() {}
		}},
		{Name: "entry_killed", Hits: OnEntries, Cuts: true, Inject: killEntry},
	}
}

func killMember(w *World, c Call) func() {
	h := w.victimHost(c)
	kill(h)
	return func() { w.restart(h) }
}

func kill(h *rudderfleetstand.Host) {
	if h.Engine != nil {
		h.Engine.Kill()
	} else {
		h.Backend.Kill()
	}
}

// restart brings a host back. A port that cannot be bound leaves it dead, which progress notices.
func (w *World) restart(h *rudderfleetstand.Host) {
	if h.Alive() {
		return
	}
	if h.Engine != nil {
		_ = h.Engine.Restart()
	} else {
		_ = h.Backend.Restart()
	}
}

func pauseMember(w *World, c Call) func() {
	h := w.victimHost(c)
	if h.Engine != nil {
		h.Engine.Pause()
		return h.Engine.Resume
	}
	h.Backend.Pause()
	return h.Backend.Resume
}

func slowMember(w *World, c Call) func() {
	h := w.victimHost(c)
	if h.Engine != nil {
		h.Engine.SetStraggle(straggleFactor)
		return func() { h.Engine.SetStraggle(1) }
	}
	h.Backend.SetDelay(slowCall)
	return func() { h.Backend.SetDelay(0) }
}

// untilReplaced lasts until the plan has no group of the victim's present group ID.
func untilReplaced(w *World, c Call) func() bool {
	h := w.victimHost(c)
	group := ""
	for _, g := range w.planOf(h.FabricDomain).Groups {
		for _, m := range g.Members {
			if m.Host == h.Name {
				group = g.ID
			}
		}
	}
	return func() bool {
		for _, g := range w.planOf(h.FabricDomain).Groups {
			if g.ID == group {
				return false
			}
		}
		return true
	}
}

func darkDomain(w *World, c Call) func() {
	domain := w.victimHost(c).FabricDomain
	set := func(dark bool) {
		for _, h := range w.fleet.Hosts {
			switch {
			case h.FabricDomain != domain:
			case h.Engine != nil:
				h.Engine.SetDark(dark)
			default:
				h.Backend.SetDark(dark)
			}
		}
	}
	set(true)
	return func() { set(false) }
}

// part cuts a party off from others.
func (w *World) part(party string, others ...string) func() {
	for _, o := range others {
		w.network.Partition(party, o, true)
	}
	return func() {
		for _, o := range others {
			w.network.Partition(party, o, false)
		}
	}
}

func (w *World) hostNames() []string {
	var names []string
	for _, h := range w.fleet.Hosts {
		names = append(names, h.Name)
	}
	return names
}

func halveEntries(w *World, _ Call) func() {
	var heals []func()
	names := w.others("")
	half := len(names) / 2
	for _, name := range names[:half] {
		heals = append(heals, w.part(name, names[half:]...))
	}
	return func() {
		for _, heal := range heals {
			heal()
		}
	}
}
