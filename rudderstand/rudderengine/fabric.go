package rudderengine

import (
	"sync"

	"comfreyrudder.example/shared/ruddertarget"
)

// Fabric connects the engines of an environment: a group's leader sees the state of its members
// through it. The zero value is ready.
type Fabric struct {
	Ledger Ledger

	mu      sync.Mutex
	engines map[string]*Engine
}

func (f *Fabric) add(address string, e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.engines == nil {
		f.engines = map[string]*Engine{}
	}
	f.engines[address] = e
}

func (f *Fabric) find(address string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[address]
}

// condition is the state of a group as its leader sees it, in order of severity.
type condition int

const (
	conditionWhole   condition = iota // every member can work
	conditionLoading                  // a member still loads weights
	conditionStalled                  // a member is paused
	conditionBroken                   // a member is dead or has another role
)

// groupView is the state of a group as its leader sees it at one time.
type groupView struct {
	condition condition
	role      ruddertarget.Role
	present   []string // addresses of the members that are alive and unpaused in this group
	slowdown  float64  // the slowest member's factor
}

// inspect returns the state of the engine's group, read from each member.
func (e *Engine) inspect() groupView {
	e.mu.Lock()
	role := e.holder.Role()
	e.mu.Unlock()
	view := groupView{role: role, slowdown: 1}
	if role.Group == "" || len(role.Members) == 0 || (role.Size > 0 && role.Size != len(role.Members)) {
		view.condition = conditionBroken
		return view
	}
	for rank, address := range role.Members {
		member := e.Fabric.find(address)
		if member == nil {
			view.condition = conditionBroken
			continue
		}
		condition, slowdown := member.conditionIn(role.Group, rank)
		view.condition = max(view.condition, condition)
		view.slowdown = max(view.slowdown, slowdown)
		if condition <= conditionLoading {
			view.present = append(view.present, address)
		}
	}
	return view
}

// conditionIn returns the engine's own condition as a member of a group, and its slowdown factor.
func (e *Engine) conditionIn(group string, rank int) (condition, float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	role := e.holder.Role()
	switch {
	case e.dead || role.Group != group || role.Rank != rank:
		return conditionBroken, e.slowdown
	case e.paused:
		return conditionStalled, e.slowdown
	case e.phase != ruddertarget.PhaseReady:
		return conditionLoading, e.slowdown
	}
	return conditionWhole, e.slowdown
}
