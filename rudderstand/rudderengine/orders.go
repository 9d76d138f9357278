package rudderengine

import (
	"context"
	"slices"

	"comfreyrudder.example/shared/ruddertarget"
)

// applyOrder executes an order. Loading continues after it returns.
func (e *Engine) applyOrder(order ruddertarget.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed, err := e.holder.Apply(order, e.Clock.Now())
	if err != nil {
		return err
	}
	if changed {
		// A leader whose role changes fails its queued and running requests.
		e.failRuns(OutcomeFailed)
	}
	switch {
	case order.Kind == ruddertarget.OrderPreload:
		e.load(order.Role, false)
	case order.Kind == ruddertarget.OrderRelease:
		e.phase, e.fraction = ruddertarget.PhaseIdle, 0
	case changed:
		e.phase, e.fraction = ruddertarget.PhaseLoading, 0
		e.load(order.Role, true)
	}
	return nil
}

// load fetches the weights and adapters of a role and, if the role is assigned to the host, makes the host
// ready. It needs the mutex.
func (e *Engine) load(role ruddertarget.Role, assigned bool) {
	missing := e.missing(role)
	if len(missing) == 0 {
		e.loaded(role, assigned)
		return
	}
	life := e.life
	go func() {
		for i, name := range missing {
			progress := func(fraction float64) { e.progress(role, (float64(i)+fraction)/float64(len(missing))) }
			if err := e.fetch(life, name, progress); err != nil {
				return // the process has died
			}
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if life.Err() == nil {
			e.loaded(role, assigned)
		}
	}()
}

// fetch transfers weights to the host. Concurrent calls for the same weights share one transfer.
func (e *Engine) fetch(life context.Context, name string, progress func(float64)) error {
	for {
		e.mu.Lock()
		if slices.Contains(e.weights, name) || life.Err() != nil {
			e.mu.Unlock()
			return life.Err()
		}
		other, busy := e.fetching[name]
		if !busy {
			break
		}
		e.mu.Unlock()
		select {
		case <-life.Done():
		case <-other:
		}
	}
	done := make(chan struct{})
	e.fetching[name] = done
	e.mu.Unlock()
	err := e.Weights.Fetch(life, name, progress)
	e.mu.Lock()
	defer e.mu.Unlock()
	close(done)
	if life.Err() == nil {
		delete(e.fetching, name)
		e.keep(name)
	}
	return err
}

// missing lists the weights and adapters that a role needs and the host lacks.
func (e *Engine) missing(role ruddertarget.Role) []string {
	var missing []string
	names := append([]string{modelName(role)}, role.Adapters...)
	for _, name := range names {
		if !slices.Contains(e.weights, name) {
			missing = append(missing, name)
		}
	}
	return missing
}

func (e *Engine) progress(role ruddertarget.Role, fraction float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if current := e.holder.Role(); current.Group == role.Group || e.phase == ruddertarget.PhaseIdle {
		e.fraction = fraction
	}
}

// keep adds weights to the host and, beyond WeightSlots, evicts the oldest ones that its role does not need.
// It needs the mutex.
func (e *Engine) keep(name string) {
	e.weights = append(e.weights, name)
	role := e.holder.Role()
	inUse := func(name string) bool { return name == modelName(role) || slices.Contains(role.Adapters, name) }
	for i := 0; len(e.weights) > e.WeightSlots && i < len(e.weights)-1; {
		if inUse(e.weights[i]) {
			i++
			continue
		}
		e.weights = slices.Delete(e.weights, i, i+1)
	}
}

// loaded makes the host ready if the role is assigned and the host still has it. It needs the mutex.
func (e *Engine) loaded(role ruddertarget.Role, assigned bool) {
	if !assigned || e.holder.Role().Group != role.Group {
		return
	}
	e.phase, e.fraction = ruddertarget.PhaseReady, 1
	e.notify()
}
