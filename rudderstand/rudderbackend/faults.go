package rudderbackend

import "time"

// Kill ends the process: all connections are cut and the port refuses new ones. Calls that have not
// taken effect never do.
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

// Pause stops the process as a signal does: its connections stay open and silent, and calls that run
// go on only after Resume.
func (b *Backend) Pause() {
	b.front.Pause(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.resumed == nil {
		b.resumed = make(chan struct{})
	}
}

// Resume lets a paused process go on as if nothing had happened.
func (b *Backend) Resume() {
	b.mu.Lock()
	b.wakePaused()
	b.mu.Unlock()
	b.front.Pause(false)
}

// wakePaused needs the mutex.
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

// SetIsolated cuts the host off the network while its calls go on, or ends that.
func (b *Backend) SetIsolated(dark bool) { b.front.SetIsolated(dark) }

// SetBlocked parts the host from the callers at one IP, or ends that.
func (b *Backend) SetBlocked(ip string, cut bool) { b.front.SetBlocked(ip, cut) }

// StallConnections makes the connections that exist now silent for good. New ones work.
func (b *Backend) StallConnections() { b.front.StallConnections() }

// SetDelay makes each call take this long before it takes effect.
func (b *Backend) SetDelay(delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = delay
}

// SetLeaving changes the leaving mark in the status.
func (b *Backend) SetLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = leaving
}

// KillBeforeRun kills the process at each of the next count calls before it takes effect.
func (b *Backend) KillBeforeRun(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.killBefore = count
}

// KillAfterRun kills the process at each of the next count calls after it took effect and before it
// is answered.
func (b *Backend) KillAfterRun(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.killAfter = count
}

// SetRunTwice makes each call take effect twice, as a service with a fault of its own does.
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
