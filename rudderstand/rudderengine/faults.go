package rudderengine

import (
	"slices"

	"comfreyrudder.example/shared/ruddertarget"
)

// Kill ends the process: all connections are closed and the port refuses new ones.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.dead = true
	e.die()
	e.failRuns(OutcomeFailed)
	e.mu.Unlock()
	e.front.Kill()
}

// Restart starts a new process at the same address, without weights or a role. A process that still runs is
// killed first.
func (e *Engine) Restart() error {
	e.Kill()
	e.mu.Lock()
	e.reset()
	e.mu.Unlock()
	return e.front.Restart()
}

// Pause suspends the process as SIGSTOP does: its connections stay open without traffic.
func (e *Engine) Pause() {
	e.front.Pause(true)
	e.setPaused(true)
}

// Resume continues a paused process with its state unchanged.
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

// SetIsolated isolates the host from the network while its process and its group go on, or ends that.
func (e *Engine) SetIsolated(isolated bool) { e.front.SetIsolated(isolated) }

// SetBlocked blocks the traffic between the host and the callers at one IP, or ends that.
func (e *Engine) SetBlocked(ip string, blocked bool) { e.front.SetBlocked(ip, blocked) }

// StallConnections stops the traffic on the existing connections for good. New ones work.
func (e *Engine) StallConnections() { e.front.StallConnections() }

// SetSlowdown slows the host, and each group that it is in, by a factor; 1 is the normal speed.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = max(1, factor)
}

// SetLeaving sets the leaving flag in the status.
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

// crash kills the process and restarts it after RestartAfter.
func (e *Engine) crash() {
	e.Kill()
	if e.RestartAfter <= 0 {
		return
	}
	e.Clock.AfterFunc(e.RestartAfter, func() {
		if !e.Alive() {
			// If the port cannot be bound again the host stays dead, which makes the test fail.
			_ = e.Restart()
		}
	})
}

func modelName(role ruddertarget.Role) string { return role.Model + "@" + role.ModelVersion }

func remove(runs []*run, gone *run) []*run {
	return slices.DeleteFunc(runs, func(r *run) bool { return r == gone })
}
