package rudderforward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// slowGroupFactor is the time between events, as a multiple of that of other streams, from which on a group counts as slow.
	slowGroupFactor = 1.5
	// moveMargin multiplies the time that a stream is expected to need in another group, and moveSlack is the least time to
	// spare.
	moveMargin = 1.25
	moveSlack  = 500 * time.Millisecond
	// moveLoad is the share of a group's slots up to which streams move there before their time limit. New streams need the rest.
	moveLoad = 0.75
	// moveInterval is the time between two searches for a group with room.
	moveInterval = 300 * time.Millisecond
)

// errSlowGroup cancels a send whose group would not finish the stream before its time limit or the shutdown.
var errSlowGroup = errors.New("forward: group is too slow to finish in time")

// movable reports whether a stream that is too slow in its group may go on in another one.
func (j *job) movable() bool { return j.route.Kind == rudderroute.KindStream && j.repeatable() }

// repeatable reports whether a request may be sent once more if its current send fails.
func (j *job) repeatable() bool {
	attempts := j.route.MaxAttempts
	return j.route.Repeatable() && j.runs+1 < attempts && j.sends+1 < attempts+extraSends
}

// leaveSlowGroup reports whether a stream goes on in another group now, because its own would not finish it in time. The next
// send goes to that group and has been taken from the retry budget.
func (f *Forwarder) leaveSlowGroup(ctx context.Context, j *job, g *rudderview.Group) bool {
	now := f.Uptime()
	if now < j.moveAfter || !j.movable() || !f.tooSlow(j, g, now) {
		return false
	}
	snapshot := f.View.Snapshot()
	groups := snapshot.Groups(j.service, j.request.Model)
	accepting, _ := f.accepting(groups)
	if !f.hasUsualPace(j, g, accepting, now) {
		return false
	}
	j.moveAfter = now + moveInterval
	releaseSend := j.releasePick
	j.releasePick = nil
	j.excludeGroup(g)
	c := f.chooseAccepting(ctx, j, snapshot, groups, accepting)
	if c.group == nil || !f.hasRoom(j, c.group, f.Uptime()) || !f.budget.takeRetry(j.service, f.Uptime(), f.Retries, len(snapshot.EntryHosts)) {
		delete(j.exclude, g.ID)
		j.release()
		j.releasePick = releaseSend
		return false
	}
	if releaseSend != nil {
		releaseSend()
	}
	f.Metrics.Count("streams.moved")
	j.moveTo = c.group
	return true
}

// hasRoom reports whether a stream may move to a group that was chosen for it. Before a shutdown, it may also wait there.
func (f *Forwarder) hasRoom(j *job, g *rudderview.Group, now time.Duration) bool {
	switch {
	case f.isSlow(g, now):
		return false
	case f.shuttingDown():
		return true
	}
	return j.expectedWait <= uncontendedWait && f.loads.load(g, now) <= moveLoad*float64(max(g.Slots, 1))
}

// hasUsualPace reports whether one of the groups, other than that of the stream, may take it and is not slow. When all are slow or
// full, no stream moves.
func (f *Forwarder) hasUsualPace(j *job, than *rudderview.Group, groups []*rudderview.Group, now time.Duration) bool {
	for _, g := range groups {
		if g.ID != than.ID && !j.exclude[g.ID] && !f.isSlow(g, now) && (f.shuttingDown() || f.loads.load(g, now) <= moveLoad*float64(max(g.Slots, 1))) {
			return true
		}
	}
	return false
}

// tooSlow reports whether the group of a stream is slower than others and would not finish it before its time limit or the
// shutdown. Most answers end far before their greatest length, so that it waits for the last moment at which a move helps.
func (f *Forwarder) tooSlow(j *job, g *rudderview.Group, now time.Duration) bool {
	left := j.remaining(now)
	beforeShutdown := false
	if f.shuttingDown() {
		if end := time.Duration(f.shutdown.end.Load()) - now; end < left {
			left, beforeShutdown = end, true
		}
	}
	pace := f.loads.pace(g.Leader.Name, now)
	if pace == 0 {
		pace = j.running.perEvent(now)
	}
	events := time.Duration(f.eventsLeft(j, now))
	if here := events * pace; pace == 0 || here <= left {
		return false
	}
	recent := f.durations.recent(j.running.kind, now)
	usualPace := f.usualPace(j, g, pace, recent, now)
	if usualPace == 0 || pace < scaled(usualPace, slowGroupFactor) || !beforeShutdown && !f.isSlow(g, now) {
		return false
	}
	elsewhere := recent.typicalFirstByte + events*usualPace
	if left-pace > max(scaled(elsewhere, moveMargin), elsewhere+moveSlack) {
		return false
	}
	return (left-recent.typicalFirstByte)/usualPace > left/pace // more events will arrive from another group
}

// usualPace returns the time between events that is expected in another group than one with a pace; 0 if it is not known. Streams
// in slow groups show nothing about it.
func (f *Forwarder) usualPace(j *job, than *rudderview.Group, pace time.Duration, recent recentDurations, now time.Duration) time.Duration {
	if !f.isSlow(than, now) {
		if pace < scaled(recent.perEvent, slowGroupFactor) {
			return recent.perEvent // without looking at all requests in flight
		}
		if recent.perEvent == 0 {
			return 0
		}
		return max(recent.perEvent, f.runningProgress(j.running.kind, now).perEvent)
	}
	var paces []time.Duration
	for _, g := range f.View.Snapshot().Groups(j.service, j.request.Model) {
		if pace := f.loads.pace(g.Leader.Name, now); g.ID != than.ID && pace > 0 && !f.isSlow(g, now) {
			paces = append(paces, pace)
		}
	}
	return max(f.fullBatchPace(than.Service, than.Model), median(paces))
}

// eventsLeft returns the greatest number of events that is expected of the rest of a stream; 0 if it is not known.
func (f *Forwarder) eventsLeft(j *job, now time.Duration) int {
	if n := f.maxEvents(j, now) - j.events; n > 0 {
		return n
	}
	return max(min(j.request.AnswerTokens, maxAnswerTokens)/f.tokensPerEvent(j)-j.events, 0)
}
