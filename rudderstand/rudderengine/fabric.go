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

// condition is what a leader finds about its group, worst last.
type condition int

const (
	conditionWhole   condition = iota // every member can work
	conditionLoading                  // a member still loads weights
	conditionStalled                  // a member is paused
	conditionBroken                   // a member is dead or has another role
)

// groupView is one look of a leader at its group.
type groupView struct {
	condition condition
	role      ruddertarget.Role
	present   []string
	straggle  float64 // the slowest member's factor
}

// look asks each member of the engine's group for its state.
func (e *Engine) look() groupView {
	e.mu.Lock()
	role := e.holder.Role()
	e.mu.Unlock()
	view := groupView{role: role, straggle: 1}
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
		condition, straggle := member.conditionIn(role.Group, rank)
		view.condition = max(view.condition, condition)
		view.straggle = max(view.straggle, straggle)
		if condition <= conditionLoading {
			view.present = append(view.present, address)
		}
	}
	return view
}

// conditionIn is the engine's own state as a member of a group.
func (e *Engine) conditionIn(group string, rank int) (condition, float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	role := e.holder.Role()
	switch {
	case e.dead || role.Group != group || role.Rank != rank:
		return conditionBroken, e.straggle
	case e.paused:
		return conditionStalled, e.straggle
	case e.phase != ruddertarget.PhaseReady:
		return conditionLoading, e.straggle
	}
	return conditionWhole, e.straggle
}
