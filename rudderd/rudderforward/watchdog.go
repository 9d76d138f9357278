package rudderforward

import (
	"context"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// Times of silence. They follow from the pace of the engines: at full batches an event comes every 100 ms
// and less, a long prompt delays the events of others by less than 200 ms.
const (
	// firstSilence is the time without an answer after which the members are probed.
	firstSilence = 500 * time.Millisecond
	// eventSilence is the time without an event of a running stream after which the members are probed.
	eventSilence = 220 * time.Millisecond
	// doubtAvoid keeps new requests away from a silent group while it is probed.
	doubtAvoid = 300 * time.Millisecond
	// probeAgain is the time between two probes of the same silence.
	probeAgain = 600 * time.Millisecond
	// silenceLimit is the time without an event after which a running stream that can go on elsewhere is given up on
	// although all members answer: the leader may be cut off from a member. It applies where the patience of callers is
	// not known.
	silenceLimit = 1800 * time.Millisecond
	// patienceShare is the part of the callers' patience that is used instead, so that there is time to go on elsewhere.
	patienceShare = 0.75
	// defaultStall and stallMargin bound the silence of a stream that cannot go on elsewhere. It may only be slow: a
	// leader that has lost a member says so after the stall time.
	defaultStall = 6 * time.Second
	stallMargin  = time.Second
	// lateTimer is how late a timer may fire before this process takes itself for late: events may have come that it has
	// not read, so that a silence says nothing of the target.
	lateTimer = 100 * time.Millisecond
	// firstLimit is the same for a stream that has not begun; it may wait for a slot.
	firstLimit = 3 * time.Second
)

// watchdog ends the send of a stream that has gone silent.
type watchdog struct {
	forwarder *Forwarder
	group     *rudderview.Group
	limit     time.Duration // silence after which a stream that has begun is given up on
	cancel    context.CancelCauseFunc
	ctx       context.Context

	mu     sync.Mutex
	timer  *time.Timer
	last   time.Duration // uptime of the last event or of the begin
	due    time.Duration // uptime at which the timer should fire
	events bool
	ended  bool
}

func (f *Forwarder) watch(ctx context.Context, cancel context.CancelCauseFunc, g *rudderview.Group, j *job) *watchdog {
	now := f.Uptime()
	silence := max(firstSilence, firstSilence/2+2*j.wait)
	w := &watchdog{forwarder: f, group: g, cancel: cancel, ctx: ctx, limit: f.silenceLimit(j.route), last: now, due: now + silence}
	w.timer = time.AfterFunc(silence, w.check)
	return w
}

// silenceLimit is the pause after which a stream that has begun is given up on.
func (f *Forwarder) silenceLimit(r *rudderroute.Route) time.Duration {
	switch {
	case !r.Resumable && f.Stall > 0:
		return f.Stall + stallMargin
	case !r.Resumable:
		return defaultStall + stallMargin
	case r.CallerIdleTimeout > 0:
		return time.Duration(patienceShare * float64(r.CallerIdleTimeout))
	}
	return silenceLimit
}

// wait sets the timer. The caller holds the lock.
func (w *watchdog) wait(d time.Duration) {
	w.due = w.forwarder.Uptime() + d
	w.timer.Reset(d)
}

// event notes that the stream lives.
func (w *watchdog) event() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last, w.events = w.forwarder.Uptime(), true
	if !w.ended {
		w.wait(eventSilence)
	}
}

// stop ends the watch.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// check probes the members of a silent group and ends the send when one does not answer.
func (w *watchdog) check() {
	w.mu.Lock()
	begin, events := w.last, w.events
	if late := w.forwarder.Uptime() - w.due; late > lateTimer && !w.ended {
		w.forwarder.Metrics.Count("streams.late_timers")
		w.wait(eventSilence)
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	// New requests go elsewhere until it is clear whether the group lives.
	w.forwarder.loads.avoid(w.group.Leader.Name, w.forwarder.Uptime()+doubtAvoid, w.forwarder.Uptime())
	broken := w.forwarder.groupBroken(w.ctx, w.group)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.last != begin {
		return // an event came meanwhile and has set the timer
	}
	silence := w.forwarder.Uptime() - begin
	limit := firstLimit
	if events {
		limit = w.limit
	}
	switch {
	case broken:
		w.cancel(errGroupBroken)
	case silence >= limit:
		w.cancel(errSilent)
	default:
		w.wait(min(probeAgain, max(limit-silence, time.Millisecond)))
	}
}
