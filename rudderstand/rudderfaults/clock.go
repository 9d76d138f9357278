package rudderfaults

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock is a real clock that can be held to simulate a paused process: while it is held, time stands still
// and no timer fires. After Release it jumps to the present time.
type Clock struct {
	mu       sync.Mutex
	frozen   time.Time
	released chan struct{} // nil while the clock runs
}

var _ clockwork.Clock = (*Clock)(nil)

// Hold stops the clock.
func (c *Clock) Hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released == nil {
		c.frozen, c.released = time.Now(), make(chan struct{})
	}
}

// Release ends Hold. Timers and ticks that became due meanwhile fire now.
func (c *Clock) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released != nil {
		close(c.released)
		c.released = nil
	}
}

// Held reports whether the clock is held.
func (c *Clock) Held() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released != nil
}

// awaitRelease returns at once unless the clock is held.
func (c *Clock) awaitRelease() {
	c.mu.Lock()
	released := c.released
	c.mu.Unlock()
	if released != nil {
		<-released
	}
}

// Now implements clockwork.Clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released != nil {
		return c.frozen
	}
	return time.Now()
}

// Since implements clockwork.Clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Sleep implements clockwork.Clock.
func (c *Clock) Sleep(d time.Duration) { <-c.After(d) }

// After implements clockwork.Clock.
func (c *Clock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// NewTimer implements clockwork.Clock.
func (c *Clock) NewTimer(d time.Duration) clockwork.Timer {
	t := &timer{fired: make(chan time.Time, 1)}
	t.inner = time.AfterFunc(d, func() {
		c.awaitRelease()
		sendNonBlocking(t.fired, c.Now())
	})
	return t
}

// AfterFunc implements clockwork.Clock.
func (c *Clock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	return &timer{inner: time.AfterFunc(d, func() {
		c.awaitRelease()
		f()
	})}
}

// NewTicker implements clockwork.Clock.
func (c *Clock) NewTicker(d time.Duration) clockwork.Ticker {
	t := &ticker{clock: c, every: d, ticks: make(chan time.Time, 1)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inner = time.AfterFunc(d, t.tick)
	return t
}

// sendNonBlocking drops a tick when the channel is full, as package time does.
func sendNonBlocking(c chan time.Time, now time.Time) {
	select {
	case c <- now:
	default:
	}
}

type timer struct {
	inner *time.Timer
	fired chan time.Time
}

func (t *timer) Chan() <-chan time.Time { return t.fired }

func (t *timer) Stop() bool { return t.inner.Stop() }

func (t *timer) Reset(d time.Duration) bool {
	select {
	case <-t.fired:
	default:
	}
	return t.inner.Reset(d)
}

type ticker struct {
	clock *Clock
	ticks chan time.Time

	mu      sync.Mutex
	every   time.Duration
	inner   *time.Timer
	stopped bool
}

func (t *ticker) tick() {
	t.clock.awaitRelease()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	sendNonBlocking(t.ticks, t.clock.Now())
	t.inner.Reset(t.every)
}

func (t *ticker) Chan() <-chan time.Time { return t.ticks }

func (t *ticker) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.every = d
	t.inner.Reset(d)
}

func (t *ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.inner.Stop()
}
