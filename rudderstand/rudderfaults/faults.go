package rudderfaults

import (
	"time"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
)

// Fault is one kind of failure.
type Fault struct {
	Name string
	// Subsystem is the part of the system that fails.
	Subsystem Subsystem
	// Inject starts the fault and returns the function that heals it. It is called while the request that
	// triggered the step is held back.
	Inject func(w *World, c Call) (heal func())
	// HealWhen returns a condition that must be met before the fault is healed; nil heals it as soon as the
	// workload has ended.
	HealWhen func(w *World, c Call) func() bool
	// InterruptsWork is true if the fault by itself may interrupt work that a planned stop must not interrupt.
	InterruptsWork bool
	// NeedsRole is true if the fault needs a target that has been assigned a role before.
	NeedsRole bool
	// EndsTarget is true if the process of a target ends, NeedsTarget if it must keep running.
	EndsTarget, NeedsTarget bool
	// KeyValueMode is true for a lasting fault of the key-value service. Such faults share one setting, so one
	// replaces another. StopsKeyValue is true if the service answers nothing meanwhile.
	KeyValueMode, StopsKeyValue bool
	// NeedsClaims is true if the fault needs a collector that has written claims before.
	NeedsClaims bool
}

// faultPoison is a constant because a rule of the matrix refers to it.
const faultPoison = "poison_request"

const (
	straggleFactor = 6 // by which a straggling engine is slower
	slowCall       = 400 * time.Millisecond
	slowKeyValue   = 150 * time.Millisecond
	lostAnswers    = 4 // number of writes whose answers the key-value service loses
	poisonMarker   = "[poison]"
)

// Faults returns all faults that docs/design.md, section 3, lists.
func Faults() []Fault {
	return []Fault{
		{Name: "member_dies", Subsystem: SubsystemEngines, InterruptsWork: true, EndsTarget: true, Inject: killMember},
		{Name: "member_pauses", Subsystem: SubsystemEngines, InterruptsWork: true, NeedsTarget: true, Inject: pauseMember},
		{Name: "member_straggles", Subsystem: SubsystemEngines, NeedsTarget: true, Inject: slowMember},
		{Name: "member_returns", Subsystem: SubsystemEngines, InterruptsWork: true, NeedsRole: true, NeedsTarget: true, Inject: pauseMember, HealWhen: untilGroupReplaced},
		{Name: "domain_dark", Subsystem: SubsystemEngines, InterruptsWork: true, Inject: darkDomain},
		{Name: "entry_without_key_value", Subsystem: SubsystemEntries, Inject: func(w *World, c Call) func() {
			return w.partition(w.victimEntry(c).Name, partyKeyValue)
		}},
		{Name: "entry_without_peers", Subsystem: SubsystemEntries, Inject: func(w *World, c Call) func() {
			name := w.victimEntry(c).Name
			return w.partition(name, w.otherEntries(name)...)
		}},
		{Name: "entry_without_targets", Subsystem: SubsystemEntries, InterruptsWork: true, Inject: func(w *World, c Call) func() {
			return w.partition(w.victimEntry(c).Name, w.hostNames()...)
		}},
		{Name: "entries_halved", Subsystem: SubsystemEntries, Inject: splitEntries},
		{Name: "key_value_down", Subsystem: SubsystemPlatform, KeyValueMode: true, StopsKeyValue: true, Inject: func(w *World, _ Call) func() {
			w.fleet.KV.SetDown(true)
			return w.fleet.KV.ClearFaults
		}},
		{Name: "key_value_slow", Subsystem: SubsystemPlatform, KeyValueMode: true, Inject: func(w *World, _ Call) func() {
			w.fleet.KV.SetDelay(slowKeyValue)
			return w.fleet.KV.ClearFaults
		}},
		{Name: "key_value_answers_lost", Subsystem: SubsystemPlatform, KeyValueMode: true, Inject: func(w *World, _ Call) func() {
			w.fleet.KV.DropResponses(lostAnswers)
			return w.fleet.KV.ClearFaults
		}},
		{Name: "key_value_restored", Subsystem: SubsystemPlatform, Inject: func(w *World, _ Call) func() {
			w.fleet.KV.Restore(w.initial)
			return func() {}
		}},
		{Name: "planner_lapses", Subsystem: SubsystemEntries, Inject: pausePlanner, HealWhen: untilPlannerReplaced},
		{Name: "collector_lapses", Subsystem: SubsystemEntries, NeedsClaims: true, Inject: pauseCollector, HealWhen: untilCollectorReplaced},
		{Name: "operators_race", Subsystem: SubsystemPlatform, Inject: func(w *World, _ Call) func() {
			raced := make(chan struct{})
			go func() {
				defer close(raced)
				w.raceOperators()
			}()
			return func() { <-raced }
		}},
		{Name: faultPoison, Subsystem: SubsystemEngines, InterruptsWork: true, Inject: sendPoisonRequests},
		{Name: "connections_silent", Subsystem: SubsystemEntries, Inject: func(w *World, _ Call) func() {
			w.network.BlackholeOpen()
			return func() {}
		}},
		{Name: "entry_killed", Subsystem: SubsystemEntries, InterruptsWork: true, Inject: killEntry},
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

// restart restarts a host that is down. If its port cannot be bound it stays down, and awaitProgress fails.
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
		h.Engine.SetSlowdown(straggleFactor)
		return func() { h.Engine.SetSlowdown(1) }
	}
	h.Backend.SetDelay(slowCall)
	return func() { h.Backend.SetDelay(0) }
}

// untilGroupReplaced is met when the plan no longer contains the current group of the victim.
func untilGroupReplaced(w *World, c Call) func() bool {
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

// darkDomain cuts all hosts of the victim's fabric domain off from the network.
func darkDomain(w *World, c Call) func() {
	domain := w.victimHost(c).FabricDomain
	set := func(dark bool) {
		for _, h := range w.fleet.Hosts {
			switch {
			case h.FabricDomain != domain:
			case h.Engine != nil:
				h.Engine.SetIsolated(dark)
			default:
				h.Backend.SetIsolated(dark)
			}
		}
	}
	set(true)
	return func() { set(false) }
}

// partition cuts a party off from others in both directions and returns the function that ends it.
func (w *World) partition(party string, others ...string) func() {
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

// splitEntries partitions the entry hosts into two halves.
func splitEntries(w *World, _ Call) func() {
	var heals []func()
	names := w.otherEntries("")
	half := len(names) / 2
	for _, name := range names[:half] {
		heals = append(heals, w.partition(name, names[half:]...))
	}
	return func() {
		for _, heal := range heals {
			heal()
		}
	}
}
