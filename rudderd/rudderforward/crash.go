package rudderforward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderpoison"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// survivalEvents is the number of events after which a target has survived the beginning of an answer.
	survivalEvents = 2
	// crashCollectTime is how long broken sends to one target are collected before the target is checked: a crash
	// breaks all of them at once.
	crashCollectTime = 20 * time.Millisecond
	// crashCheckWait is how long a request waits at most for the check of its last target. A target that is only silent is
	// checked for longer.
	crashCheckWait = 500 * time.Millisecond
	// crashCheckTTL is how long the result of a check is kept.
	crashCheckTTL = 5 * time.Second
	// maxCrashSuspects bounds the suspects of one crash.
	maxCrashSuspects = 16
	// suspectDelay is how long a request waits before it is sent again, if it may have crashed its target. Meanwhile
	// crashes on other entry hosts may show that it would crash the next one too.
	suspectDelay = 300 * time.Millisecond
)

// crashChecks holds the checks of leaders whose connections broke, by target and incarnation.
type crashChecks struct {
	mu      sync.Mutex
	targets map[string]*crashCheck
}

type crashCheck struct {
	startedAt time.Duration
	done      chan struct{} // closed when the leader has been checked
	crashed   bool
	suspects  []rudderpoison.SuspectRequest // not yet recorded
}

// suspect returns what is held against a request if the target that runs it crashes.
func (j *job) suspect() rudderpoison.SuspectRequest {
	return rudderpoison.SuspectRequest{Request: rudderpoison.Fingerprint(j.fingerprint()), Parts: j.parts, Events: j.sendEvents}
}

// mayHaveCrashed reports whether the target had just begun the answer when the connection broke. A target that has
// sent more than that, or nothing yet, crashed for another reason.
func (j *job) mayHaveCrashed(err error) bool {
	if !errors.Is(err, ErrBroken) || errors.Is(err, errUnresponsive) || errors.Is(err, errHung) || errors.Is(err, errUnanswered) {
		return false
	}
	if j.route.Kind == rudderroute.KindStream {
		return j.answeredAt > 0 && j.sendEvents < survivalEvents
	}
	return true
}

// checkCrash checks a leader after a broken connection, once for all sends that broke with it. If it has crashed, the
// other entry hosts are notified, and the requests that it had just begun are recorded as possible causes.
func (f *Forwarder) checkCrash(j *job, g *rudderview.Group, err error) {
	now := f.Uptime()
	key := fmt.Sprintf("%s/%d", g.Leader.Name, g.Leader.Born)
	f.crashChecks.mu.Lock()
	defer f.crashChecks.mu.Unlock()
	c := f.crashChecks.targets[key]
	if c == nil {
		if f.crashChecks.targets == nil {
			f.crashChecks.targets = map[string]*crashCheck{}
		}
		c = &crashCheck{startedAt: now, done: make(chan struct{})}
		f.crashChecks.targets[key] = c
		time.AfterFunc(crashCollectTime, func() { f.finishCrashCheck(key, c, g) })
	}
	if j.mayHaveCrashed(err) && len(c.suspects) < maxCrashSuspects {
		c.suspects = append(c.suspects, j.suspect())
		j.suspectedIn = c
		if c.crashed {
			time.AfterFunc(crashCollectTime, func() { f.recordSuspects(c, g) })
		}
	}
}

func (f *Forwarder) finishCrashCheck(key string, c *crashCheck, g *rudderview.Group) {
	report, alive := f.Confirm(context.Background(), g.Leader, 0)
	// Its group took orders to form. A report of the same incarnation without any is a copy of an earlier one.
	restarted := alive && g.Model != "" && report.Orders == 0 && (report.Born == 0 || g.Leader.Born == 0)
	if !alive {
		f.Suspect(g.Leader, "connection broke")
	}
	f.crashChecks.mu.Lock()
	c.crashed = !alive || restarted
	if !c.crashed {
		delete(f.crashChecks.targets, key) // the next broken connection is checked again
	}
	for k, x := range f.crashChecks.targets {
		if f.Uptime()-x.startedAt > crashCheckTTL {
			delete(f.crashChecks.targets, k)
		}
	}
	crashed := c.crashed
	close(c.done)
	f.crashChecks.mu.Unlock()
	if crashed {
		f.recordSuspects(c, g)
	}
}

// recordSuspects records the suspects of a crash, unless another member of the group died too: a request crashes only
// the leader that runs it.
func (f *Forwarder) recordSuspects(c *crashCheck, g *rudderview.Group) {
	f.crashChecks.mu.Lock()
	suspects := c.suspects
	c.suspects = nil
	f.crashChecks.mu.Unlock()
	if len(suspects) == 0 {
		return
	}
	if len(g.Members) > 1 && f.unresponsive(context.Background(), g.Members[len(g.Members)-1]) {
		f.Logger.Info().Str("group", g.ID).Str("target", g.Leader.Name).Msg("several members died; no request is a suspect")
		return
	}
	f.RecordCrash(g.Leader, suspects)
}

// delaySuspect delays a request that may have crashed its target.
func (f *Forwarder) delaySuspect(ctx context.Context, j *job) {
	c := j.suspectedIn
	j.suspectedIn = nil
	if c == nil || j.sendEvents > 0 {
		return
	}
	timer := time.NewTimer(min(suspectDelay, j.remaining(f.Uptime())/4))
	defer timer.Stop()
	checked := time.NewTimer(crashCheckWait)
	defer checked.Stop()
	select {
	case <-ctx.Done():
		return
	case <-checked.C:
		return
	case <-c.done:
	}
	f.crashChecks.mu.Lock()
	crashed := c.crashed
	f.crashChecks.mu.Unlock()
	if !crashed {
		return
	}
	f.Metrics.Count("poison.retries_delayed")
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// countEvent counts a new event of the current send.
func (f *Forwarder) countEvent(j *job) {
	j.events++
	j.sendEvents++
	if j.sendEvents == survivalEvents {
		f.recordSurvival(j)
	}
}

// recordSurvival records once for each send that its target has survived the beginning of the answer.
func (f *Forwarder) recordSurvival(j *job) {
	if !j.survived {
		j.survived = true
		f.RecordSurvival(j.suspect())
	}
}

// checkPoison refuses a request that has crashed targets, or that has a part which does.
func (f *Forwarder) checkPoison(j *job) *refusal {
	if left := f.Poisoned(j.fingerprint()); left > 0 {
		return &refusal{status: http.StatusServiceUnavailable, code: "poison_request", message: "targets died running this request", retryAfter: left}
	}
	return f.checkParts(j)
}

// checkParts refuses a request by the parts of its prompt, which its headers name. A trial is checked again only after
// its first send.
func (f *Forwarder) checkParts(j *job) *refusal {
	if len(j.parts) == 0 || j.trial && j.sends+j.unsent == 0 {
		return nil
	}
	part, left, trial := f.BlockedPart(j.parts)
	j.trial = trial
	if left <= 0 {
		return nil
	}
	j.blockedPart = part
	return &refusal{status: http.StatusServiceUnavailable, code: "poison_part", message: "a part of the prompt crashes targets", retryAfter: left}
}

// CancelBlocked cancels the sends that wait at targets with a part that has been blocked.
func (f *Forwarder) CancelBlocked(part rudderpoison.Part) {
	f.watchdogs.Range(func(key, _ any) bool {
		if w := key.(*watchdog); slices.Contains(w.parts, part) && !w.hasBegun() {
			f.Metrics.Count("poison.sends_cancelled")
			w.cancel(errPoisoned)
		}
		return true
	})
}
