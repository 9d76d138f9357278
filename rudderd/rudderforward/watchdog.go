package rudderforward

import (
	"context"
	"sync"
	"time"

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
	// silenceLimit is the time without an event after which a running stream is given up on although all
	// members answer: the leader may be cut off from a member.
	silenceLimit = 1800 * time.Millisecond
	// firstLimit is the same for a stream that has not begun; it may wait for a slot.
	firstLimit = 3 * time.Second
)

// watchdog ends the send of a stream that has gone silent.
type watchdog struct {
	forwarder *Forwarder
	group     *rudderview.Group
	cancel    context.CancelCauseFunc
	ctx       context.Context

	mu     sync.Mutex
	timer  *time.Timer
	last   time.Duration // uptime of the last event or of the begin
	events bool
	ended  bool
}

func (f *Forwarder) watch(ctx context.Context, cancel context.CancelCauseFunc, g *rudderview.Group) *watchdog {
	w := &watchdog{forwarder: f, group: g, cancel: cancel, ctx: ctx, last: f.Uptime()}
	w.timer = time.AfterFunc(firstSilence, w.check)
	return w
}

// event notes that the stream lives.
func (w *watchdog) event() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last, w.events = w.forwarder.Uptime(), true
	if !w.ended {
		w.timer.Reset(eventSilence)
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
		limit = silenceLimit
	}
	switch {
	case broken:
		w.cancel(errGroupBroken)
	case silence >= limit:
		w.cancel(errSilent)
	default:
		w.timer.Reset(min(probeAgain, max(limit-silence, time.Millisecond)))
	}
}
