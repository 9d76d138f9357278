package rudderbackend

import "time"

// Kill ends the process: all connections are closed and the port refuses new ones. Calls that have not taken
// effect never do.
func (b *Backend) Kill() {
	b.mu.Lock()
	b.dead = true
	b.wakePaused()
	b.mu.Unlock()
	b.front.Kill()
}

// Restart starts a new process at the same address, without a role.
func (b *Backend) Restart() error {
	b.Kill()
	b.mu.Lock()
	b.reset()
	b.mu.Unlock()
	return b.front.Restart()
}

// Pause suspends the process as SIGSTOP does: its connections stay open without traffic, and running calls
// continue only after Resume.
func (b *Backend) Pause() {
	b.front.Pause(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.resumed == nil {
		b.resumed = make(chan struct{})
	}
}

// Resume continues a paused process with its state unchanged.
func (b *Backend) Resume() {
	b.mu.Lock()
	b.wakePaused()
	b.mu.Unlock()
	b.front.Pause(false)
}

// wakePaused releases the calls that wait for Resume. It needs the mutex.
func (b *Backend) wakePaused() {
	if b.resumed != nil {
		close(b.resumed)
		b.resumed = nil
	}
}

func (b *Backend) waitWhilePaused() {
	b.mu.Lock()
	resumed := b.resumed
	b.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// SetIsolated isolates the host from the network while its calls go on, or ends that.
func (b *Backend) SetIsolated(isolated bool) { b.front.SetIsolated(isolated) }

// SetBlocked blocks the traffic between the host and the callers at one IP, or ends that.
func (b *Backend) SetBlocked(ip string, blocked bool) { b.front.SetBlocked(ip, blocked) }

// StallConnections stops the traffic on the existing connections for good. New ones work.
func (b *Backend) StallConnections() { b.front.StallConnections() }

// SetDelay sets the time from the arrival of a call to its effect.
func (b *Backend) SetDelay(delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = delay
}

// SetHang makes the process accept calls and neither run nor answer them, while it reports that it is sound, or ends that for
// new calls.
func (b *Backend) SetHang(hang bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hang = hang
}

func (b *Backend) hangs() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hang
}

// SetLeaving sets the leaving flag in the status.
func (b *Backend) SetLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = leaving
}

// KillBeforeRun kills the process on each of the next count calls, before the call takes effect.
func (b *Backend) KillBeforeRun(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.killBefore = count
}

// KillAfterRun kills the process on each of the next count calls, after the call took effect and before its
// response.
func (b *Backend) KillAfterRun(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.killAfter = count
}

// SetRunTwice makes each call take effect twice, which simulates a bug in the service itself.
func (b *Backend) SetRunTwice(twice bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runTwice = twice
}

// Alive reports whether the process runs, paused or not.
func (b *Backend) Alive() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.dead
}
