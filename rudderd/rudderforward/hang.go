package rudderforward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// A send hangs if its target takes longer than hangFactor times the median time to a response of recent sends of the same
	// kind, and than slowFactor times what slowShare of them took at most.
	hangFactor = 4
	slowFactor = 2
	slowShare  = 0.9
	// repeatMargin multiplies the median time to a response: a send is repeated only while so much time is left for the caller.
	repeatMargin = 2
	// hangCheckInterval is the time between two checks of a send that hangs and has nowhere else to go.
	hangCheckInterval = 200 * time.Millisecond
	// answerShare is the share of the callers' idle timeout after which a stream that has not begun is answered with an error.
	answerShare = 0.95
	// sendSamples is the number of recent sends that are kept for a service.
	sendSamples = 64
)

// errHung cancels a send whose target has not begun its response although other targets answer.
var errHung = errors.New("forward: target has not begun its response within the usual time")

// errUnanswered cancels a send whose caller is about to leave.
var errUnanswered = errors.New("forward: target has not begun its response before the caller leaves")

// errLateResponse reports a response that began after its send had been cancelled.
var errLateResponse = errors.New("forward: response began after its send had been cancelled")

// recentSends holds the latest sends of each service, those in flight too.
type recentSends struct {
	mu       sync.Mutex
	services map[string]*sendRing
}

type sendRing struct {
	samples [sendSamples]*sendSample
	next    int
}

// sendSample is one send.
type sendSample struct {
	model, route, target string
	sentAt               time.Duration // uptime
	endedAt              time.Duration // uptime of the first event, or of the end without one; 0 before
	answered             bool
}

// silence returns how long the target took, or has been silent.
func (s *sendSample) silence(now time.Duration) time.Duration {
	if s.endedAt > 0 {
		now = s.endedAt
	}
	return now - s.sentAt
}

func (r *recentSends) begin(service string, s *sendSample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = map[string]*sendRing{}
	}
	ring := r.services[service]
	if ring == nil {
		ring = &sendRing{}
		r.services[service] = ring
	}
	ring.samples[ring.next] = s
	ring.next = (ring.next + 1) % sendSamples
}

func (r *recentSends) end(s *sendSample, answered bool, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.endedAt == 0 {
		s.endedAt, s.answered = max(now, 1), answered
	}
}

// usualTimes summarizes the times to a response of recent sends of one kind.
type usualTimes struct {
	known        int
	median, slow time.Duration // slow is that of slowShare of the responses
	// overloaded is set if the other targets of the model have answered less since the send than they leave unanswered.
	overloaded bool
}

// usual compares a send with others. One without a response counts in the median once it has been silent for as long.
func (r *recentSends) usual(service string, than *sendSample, now time.Duration) usualTimes {
	r.mu.Lock()
	defer r.mu.Unlock()
	var u usualTimes
	var times, responses [sendSamples]time.Duration
	responded := 0
	ring := r.services[service]
	if ring == nil {
		return u
	}
	silence := than.silence(now)
	for _, s := range ring.samples {
		if s == nil || s == than || s.model != than.model || s.route != than.route || now-s.sentAt > durationTTL {
			continue
		}
		took := s.silence(now)
		if s.answered || took >= silence {
			times[u.known] = took
			u.known++
		}
		if s.answered {
			responses[responded] = took
			responded++
		}
	}
	u.median = median(times[:u.known])
	if responded > 0 {
		slices.Sort(responses[:responded])
		u.slow = responses[int(slowShare*float64(responded))]
	}
	u.overloaded = ring.overloaded(than, now)
	return u
}

// overloaded compares what the other targets of a model have answered since a send with what they leave unanswered.
func (r *sendRing) overloaded(than *sendSample, now time.Duration) bool {
	silence := than.silence(now)
	answered, silent := 0, 0
	for _, s := range r.samples {
		if s == nil || s.model != than.model || s.target == than.target {
			continue
		}
		took := s.silence(now)
		switch {
		case s.answered && s.endedAt > than.sentAt && took < silence:
			answered++
		case s.sentAt >= than.sentAt-silence && took >= silence/2:
			silent++
		}
	}
	return answered < silent
}

// prune drops services without recent sends.
func (r *recentSends) prune(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, ring := range r.services {
		if newest := ring.samples[(ring.next+sendSamples-1)%sendSamples]; now-newest.sentAt > time.Minute {
			delete(r.services, service)
		}
	}
}

// hangGuard cancels a send without a response in time for another one.
type hangGuard struct {
	forwarder *Forwarder
	job       *job // only what does not change during a send is read
	group     *rudderview.Group
	cancel    context.CancelCauseFunc
	sample    *sendSample
	leaves    time.Duration // uptime at which the caller leaves or the time limit ends
	wait      time.Duration // expected wait and time for the prompt
	answerBy  time.Duration // uptime at which a stream that has not begun is answered with an error; 0 for none
	attempts  int           // left, this send included
	exclude   map[string]bool

	mu    sync.Mutex
	timer *time.Timer
	due   time.Duration // uptime at which the timer should fire
	hung  bool          // the send has been cancelled, and a retry taken from the budget
	ended bool
	// unanswered is set if the send has been cancelled because its caller is about to leave.
	unanswered bool
}

// guardSend records a send. When it hangs, new requests avoid its target, and it is cancelled if it may be repeated in time.
func (f *Forwarder) guardSend(cancel context.CancelCauseFunc, g *rudderview.Group, j *job) *hangGuard {
	now := f.Uptime()
	h := &hangGuard{
		forwarder: f, job: j, group: g, cancel: cancel, attempts: j.attemptsLeft(), leaves: j.begin + j.limit,
		sample: &sendSample{model: g.Model, route: j.route.Name, target: g.Leader.Name, sentAt: now},
		wait:   2*j.expectedWait + f.minServiceTime(j, g.Model), exclude: maps.Clone(j.exclude),
	}
	if idle := j.route.CallerIdleTimeout; idle > 0 {
		h.leaves = min(h.leaves, max(j.begin, j.deliveredAt)+idle)
		if !j.started {
			h.answerBy = j.begin + scaled(idle, answerShare)
		}
	}
	f.sends.begin(j.service, h.sample)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(time.Hour, h.check)
	h.schedule(h.limit(f.sends.usual(j.service, h.sample, now)))
	return h
}

// attemptsLeft returns how many times a request may be sent to targets that may run it.
func (j *job) attemptsLeft() int {
	if !j.route.Repeatable() {
		return 1
	}
	return min(j.route.MaxAttempts-j.runs, j.route.MaxAttempts+extraSends-j.sends)
}

// limit returns the silence after which a send hangs. If too little is known, it divides the time that the caller has left
// among the attempts.
func (h *hangGuard) limit(u usualTimes) time.Duration {
	least := firstEventSilence
	if objective := h.job.route.Objective; objective > 0 {
		least = objective
	}
	if u.known < minDurationSamples {
		return max(least, (h.leaves-h.sample.sentAt)/time.Duration(max(h.attempts, 1)))
	}
	return max(least, max(hangFactor*u.median, slowFactor*u.slow)+h.wait)
}

// schedule sets the timer, to answerBy at the latest. The caller holds the lock.
func (h *hangGuard) schedule(d time.Duration) {
	now := h.forwarder.Uptime()
	if h.answerBy > 0 {
		d = min(d, max(h.answerBy-now, 0))
	}
	h.due = now + d
	h.timer.Reset(d)
}

func (h *hangGuard) check() {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, j := h.forwarder, h.job
	now := f.Uptime()
	if h.ended || h.hung || h.unanswered {
		return
	}
	if now-h.due > maxTimerDelay {
		h.schedule(hangCheckInterval) // this process was delayed, and the response may have arrived
		return
	}
	if h.answerBy > 0 && now >= h.answerBy {
		f.Metrics.Count("sends.unanswered")
		h.unanswered = true
		h.cancel(errUnanswered)
		return
	}
	usual := f.sends.usual(j.service, h.sample, now)
	if left := h.limit(usual) - h.sample.silence(now); left > 0 {
		h.schedule(left)
		return
	}
	snapshot := f.View.Snapshot()
	if usual.overloaded || !h.hasOther(snapshot, now) {
		h.schedule(hangCheckInterval)
		return
	}
	f.loads.hung(h.group.Leader.Name, now+failureBackoff, now)
	inTime := now+repeatMargin*usual.median+h.wait < h.leaves
	if h.attempts < 2 || !inTime || f.repeatInVain(j) || !f.budget.takeRetry(j.service, now, f.Retries, len(snapshot.EntryHosts)) {
		f.Metrics.Count("sends.hung_kept")
		h.schedule(failureBackoff)
		return
	}
	f.Metrics.Count("sends.hung")
	h.hung = true
	h.cancel(errHung)
}

// takeNext takes the next send of the request from its attempts and the retry budget, so that the current one may be cancelled.
// With elsewhere set, another group has to be free for it. It reports whether that was possible. A nil guard, of a request that is
// relayed, does not count sends.
func (h *hangGuard) takeNext(elsewhere bool) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hung || h.unanswered || h.attempts < 2 {
		return false
	}
	f, j := h.forwarder, h.job
	now, snapshot := f.Uptime(), f.View.Snapshot()
	if elsewhere && !h.hasOther(snapshot, now) || f.repeatInVain(j) || !f.budget.takeRetry(j.service, now, f.Retries, len(snapshot.EntryHosts)) {
		return false
	}
	h.hung = true
	return true
}

// hasOther reports whether another group has a free slot for the request. More work for groups that are full would delay all, and a
// slow group is no better than another one.
func (h *hangGuard) hasOther(snapshot *rudderview.Snapshot, now time.Duration) bool {
	f, j := h.forwarder, h.job
	groups, _ := f.accepting(snapshot.Groups(j.service, j.request.Model))
	slow := f.isSlow(h.group, now)
	for _, g := range groups {
		if g.ID != h.group.ID && !h.exclude[g.ID] && f.loads.free(g, now) && (!slow || !f.isSlow(g, now)) {
			return true
		}
	}
	return false
}

// free reports whether a group has a free slot, as far as this entry host knows, and is not avoided.
func (l *loads) free(g *rudderview.Group, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(g.Leader.Name, now)
	return !x.avoided(now) && x.estimate(now, 0) < float64(max(g.Slots, 1))
}

// hung makes new requests avoid a leader until an uptime, those of other entry hosts too if there is another choice. Streams that
// it has begun may go on.
func (l *loads) hung(leader string, until, now time.Duration) {
	l.avoid(leader, until, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(leader, now).hungUntil = until
}

func (l *loads) isHung(leader string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.leaders[leader]
	return x != nil && x.hungUntil > now
}

// answered records that the response has begun; sound is not set for one that reports a failure. The send is not cancelled
// from then on. The result is false if it has been cancelled, so that the response must not be used.
func (h *hangGuard) answered(sound bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end(sound)
	return !h.hung && !h.unanswered
}

// stop ends the guard. It marks the error of a send that it has cancelled.
func (h *hangGuard) stop(err error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end(false)
	switch {
	case err == nil:
	case h.unanswered:
		h.job.unanswered = true
		return errors.Mark(err, errUnanswered)
	case h.hung:
		h.job.retryTaken = true
		return errors.Mark(err, errHung)
	}
	return err
}

// end stops the timer. The caller holds the lock.
func (h *hangGuard) end(answered bool) {
	if h.ended {
		return
	}
	h.ended = true
	h.forwarder.sends.end(h.sample, answered, h.forwarder.Uptime())
	h.timer.Stop()
}

// takeRetry takes a retry from the budget, unless that has been done when the last send was cancelled.
func (f *Forwarder) takeRetry(j *job, now time.Duration, entries int) bool {
	if j.retryTaken {
		j.retryTaken = false
		return true
	}
	return f.budget.takeRetry(j.service, now, f.Retries, entries)
}
