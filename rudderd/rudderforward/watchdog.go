package rudderforward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderpoison"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// Limits on the silence of a target. They follow from the speed of the engines: at full batches a stream gets
// an event every 100 ms or sooner, and a long prompt delays the events of other streams by less than 200 ms.
const (
	// firstEventSilence is the time without a response after which the members of the group are probed.
	firstEventSilence = 500 * time.Millisecond
	// eventSilence is the time without an event of a running stream after which the members are probed.
	eventSilence = 220 * time.Millisecond
	// probeBackoff is how long new requests avoid a silent group while it is probed.
	probeBackoff = 300 * time.Millisecond
	// probeInterval is the time between two probes during the same silence.
	probeInterval = 600 * time.Millisecond
	// silenceLimit is the time without an event after which a running stream that can be resumed elsewhere is
	// cancelled although all members answer: the leader may have lost the connection to a member. It applies
	// if the callers' timeout is not known.
	silenceLimit = 1800 * time.Millisecond
	// callerTimeoutShare is the share of the callers' idle timeout that is used instead, which leaves time
	// to resume elsewhere.
	callerTimeoutShare = 0.85
	// defaultStallTimeout and stallMargin bound the silence of a stream that cannot be resumed elsewhere. It may
	// only be slow: a leader that has lost a member reports it after the stall time.
	defaultStallTimeout = 6 * time.Second
	stallMargin         = time.Second
	// maxTimerDelay is how late a timer may fire before this process counts as delayed itself. Events may
	// have arrived that it has not read, so that the silence is no evidence about the target.
	maxTimerDelay = 100 * time.Millisecond
	// firstEventLimit is the counterpart of silenceLimit for a stream that has not begun. It is longer,
	// because the request may wait for a slot.
	firstEventLimit = 3 * time.Second
)

// watchdog cancels the send of a stream that has gone silent.
type watchdog struct {
	forwarder *Forwarder
	group     *rudderview.Group
	parts     []rudderpoison.Part
	limit     time.Duration // silence after which a stream that has begun is cancelled
	cancel    context.CancelCauseFunc
	ctx       context.Context
	hang      *hangGuard
	last      bool        // the stream has no attempt left
	direct    atomic.Bool // the response arrives over a connection of this entry host

	mu        sync.Mutex
	timer     *time.Timer
	lastEvent time.Duration // uptime of the last event, or of the start
	due       time.Duration // uptime at which the timer should fire
	brokenAt  time.Duration // uptime at which the group was first found broken during the silence; 0 before
	events    bool
	ended     bool
}

// watch starts a watchdog for one send.
func (f *Forwarder) watch(ctx context.Context, cancel context.CancelCauseFunc, g *rudderview.Group, j *job) *watchdog {
	now := f.Uptime()
	silence := max(firstEventSilence, firstEventSilence/2+2*j.expectedWait)
	w := &watchdog{forwarder: f, group: g, parts: j.parts, cancel: cancel, ctx: ctx, limit: f.silenceLimit(j.route), lastEvent: now, due: now + silence, hang: j.hang, last: !j.repeatable()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silence, w.check) // which waits for the lock before it uses the timer
	return w
}

// silenceLimit returns the silence after which a stream that has begun is cancelled.
func (f *Forwarder) silenceLimit(r *rudderroute.Route) time.Duration {
	switch {
	case !r.Resumable && f.StallTimeout > 0:
		return f.StallTimeout + stallMargin
	case !r.Resumable:
		return defaultStallTimeout + stallMargin
	case r.CallerIdleTimeout > 0:
		return time.Duration(callerTimeoutShare * float64(r.CallerIdleTimeout))
	}
	return silenceLimit
}

// schedule sets the timer. The caller holds the lock.
func (w *watchdog) schedule(d time.Duration) {
	w.due = w.forwarder.Uptime() + d
	w.timer.Reset(d)
}

// event records an event of the stream and restarts the timer.
func (w *watchdog) event() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEvent, w.events, w.brokenAt = w.forwarder.Uptime(), true, 0
	if !w.ended {
		w.schedule(eventSilence)
	}
}

// hasBegun reports whether an event has arrived.
func (w *watchdog) hasBegun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events
}

// stop ends the watchdog.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// Streaming reports whether this entry host gets events of a running stream from a target that leads a group. The end of its process
// would break the connections.
func (f *Forwarder) Streaming(t *rudderview.Target) (streaming bool) {
	f.watchdogs.Range(func(key, _ any) bool {
		w := key.(*watchdog)
		leader := w.group.Leader
		streaming = leader.Name == t.Name && leader.Born == t.Born && w.progresses()
		return !streaming
	})
	return streaming
}

// progresses reports whether the last event is recent.
func (w *watchdog) progresses() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events && !w.ended && w.brokenAt == 0 && w.forwarder.Uptime()-w.lastEvent < eventSilence
}

// check probes the members of a silent group. It cancels the send if one is dead; without another possible send, if that was found
// verdictTTL ago or earlier, and no event has come since. A silent target may recover: a send that has not begun and whose group has a
// member that does not respond, and one whose silence has reached its limit, are cancelled only if another send is possible.
func (w *watchdog) check() {
	w.mu.Lock()
	begin, events := w.lastEvent, w.events
	if late := w.forwarder.Uptime() - w.due; late > maxTimerDelay && !w.ended {
		w.forwarder.Metrics.Count("streams.late_timers")
		w.schedule(eventSilence)
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	known := time.Duration(0) // an event shows that all members were alive
	if events {
		known = w.forwarder.Uptime() - begin
	}
	// New requests avoid the group until the probe has ended.
	w.forwarder.loads.silent(w.group.Leader.Name, w.forwarder.Uptime()+probeBackoff, w.forwarder.Uptime())
	lost := make(chan bool, 1)
	go func() { lost <- w.pathLost() }()
	health := w.forwarder.probeGroup(w.ctx, w.group, known)
	noPath := health != groupBroken && <-lost
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.lastEvent != begin {
		return // an event arrived meanwhile and restarted the timer
	}
	w.decide(health, noPath, w.forwarder.Uptime()-begin)
}

// suspected handles the finding of another entry host that a member of the group is dead, like one of an own check. Events that still
// arrive contradict it.
func (w *watchdog) suspected() {
	w.mu.Lock()
	defer w.mu.Unlock()
	silence := w.forwarder.Uptime() - w.lastEvent
	if !w.ended && w.brokenAt == 0 && silence >= eventSilence {
		w.decide(groupBroken, false, silence)
	}
}

// decide cancels a send that has been silent for some time, or schedules the next check. The caller holds the lock.
func (w *watchdog) decide(health groupHealth, noPath bool, silence time.Duration) {
	limit := firstEventLimit
	if w.events {
		limit = w.limit
	}
	switch {
	case health == groupBroken && (w.confirmsBroken() || w.hang.takeNext(true)):
		w.cancel(errGroupBroken)
	case health == groupBroken:
		w.schedule(verdictTTL)
	case noPath && w.hang.takeNext(false):
		w.cancel(errPathLost)
	case health == groupSilent && !w.events && w.hang.takeNext(true):
		w.cancel(errUnresponsive)
	case silence >= limit && w.hang.takeNext(health == groupSilent): // if the group is alive, the connection may have failed
		w.cancel(errUnresponsive)
	case silence >= limit:
		w.schedule(probeInterval)
	default:
		w.schedule(min(probeInterval, limit-silence))
	}
}

// confirmsBroken records that the group was found broken and reports whether an earlier probe has found that too. The caller holds the
// lock.
func (w *watchdog) confirmsBroken() bool {
	now := w.forwarder.Uptime()
	if w.brokenAt == 0 {
		w.brokenAt = now
	}
	return now-w.brokenAt >= verdictTTL
}

// pathLost reports whether a silent stream should be resumed through another entry host, because this one no longer reaches
// the target and another one does.
func (w *watchdog) pathLost() bool {
	return w.direct.Load() && !w.last && w.forwarder.pathLost(w.ctx, w.group.Leader)
}

// pathLost reports whether a silent target is reached by another entry host, but not by this one.
func (f *Forwarder) pathLost(ctx context.Context, target *rudderview.Target) bool {
	t := pathTarget(target)
	return f.Relay.Usable(t.Service) && f.Path.Check(t) == rudderpath.Silent && f.ReachedElsewhere(ctx, target)
}
