package rudderfaults

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock is a real clock that can be held, as a process sees time while it is paused: it stands still,
// nothing fires, and after Release it jumps to the present.
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

// Release lets a held clock go on.
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

func (c *Clock) wait() {
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
		c.wait()
		offer(t.fired, c.Now())
	})
	return t
}

// AfterFunc implements clockwork.Clock.
func (c *Clock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	return &timer{inner: time.AfterFunc(d, func() {
		c.wait()
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

// offer drops a tick that nobody waits for, as package time does.
func offer(c chan time.Time, now time.Time) {
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
	t.clock.wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	offer(t.ticks, t.clock.Now())
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
