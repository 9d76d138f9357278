package rudderengine

import (
	"slices"

	"comfreyrudder.example/shared/ruddertarget"
)

// Kill ends the process: all connections are cut and the port refuses new ones.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.dead = true
	e.die()
	e.failRuns(OutcomeFailed)
	e.mu.Unlock()
	e.front.Kill()
}

// Restart starts a new process at the same address. It has no weights and no role. A process that
// still runs is killed first.
func (e *Engine) Restart() error {
	e.Kill()
	e.mu.Lock()
	e.reset()
	e.mu.Unlock()
	return e.front.Restart()
}

// Pause stops the process as a signal does: its connections stay open and silent.
func (e *Engine) Pause() {
	e.front.Pause(true)
	e.setPaused(true)
}

// Resume lets a paused process go on as if nothing had happened.
func (e *Engine) Resume() {
	e.setPaused(false)
	e.front.Pause(false)
	e.notify()
}

func (e *Engine) setPaused(paused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = paused
}

// SetIsolated cuts the host off the network while its process and its group go on, or ends that.
func (e *Engine) SetIsolated(dark bool) { e.front.SetIsolated(dark) }

// SetBlocked parts the host from the callers at one IP, or ends that.
func (e *Engine) SetBlocked(ip string, cut bool) { e.front.SetBlocked(ip, cut) }

// StallConnections makes the connections that exist now silent for good. New ones work.
func (e *Engine) StallConnections() { e.front.StallConnections() }

// SetSlowdown slows the host, and each group that it is in, by a factor; 1 is the normal speed.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.straggle = max(1, factor)
}

// SetLeaving changes the leaving mark in the status.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Alive reports whether the process runs, paused or not.
func (e *Engine) Alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.dead
}

// failRuns ends all queued and running requests. It needs the mutex.
func (e *Engine) failRuns(outcome string) {
	for _, r := range e.running {
		e.finish(r, outcome)
	}
	for _, r := range e.queue {
		r.end(outcome)
	}
	e.running, e.queue = nil, nil
	e.sample()
}

func (e *Engine) crash() {
	e.Kill()
	if e.RestartAfter <= 0 {
		return
	}
	e.Clock.AfterFunc(e.RestartAfter, func() {
		if !e.Alive() {
			// A port that cannot be bound again leaves the host dead, which tests notice.
			_ = e.Restart()
		}
	})
}

func modelName(role ruddertarget.Role) string { return role.Model + "@" + role.ModelVersion }

func remove(runs []*run, gone *run) []*run {
	return slices.DeleteFunc(runs, func(r *run) bool { return r == gone })
}
