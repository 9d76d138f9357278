package rudderforward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderview"
)

// errTargetEnded reports a response without length and chunks whose target had ended when its connection was closed.
var errTargetEnded = errors.New("forward: target ended with the connection of its response")

const (
	// endCollectTime is how long ends of responses of one target are collected before it is checked. A process that dies
	// closes its connections one after the other, and its listener among them.
	endCollectTime = 20 * time.Millisecond
	// endCheckTimeout is how long the end of a response waits for the check. A sound target may be silent for longer, and
	// its response is complete.
	endCheckTimeout = 300 * time.Millisecond
)

// endChecks holds the checks of targets that have closed the connection of a response without length and chunks and
// that have not begun.
type endChecks struct {
	mu      sync.Mutex
	targets map[rudderlimit.Process]*endCheck
}

type endCheck struct {
	done  chan struct{}
	ended bool // valid once done is closed
}

func (c *endCheck) finished() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// unproven reports whether the end of a response's body may be that of its target.
func (r *reply) unproven() bool {
	request := r.response.Request
	return !r.framed() && r.connection != nil && (request == nil || request.Method != http.MethodHead)
}

// checkEnd returns an error if the end of a response without length and chunks is that of its target. Without a result
// the response counts as complete. Of a relayed response, the entry host that relays it checks the end.
func (f *Forwarder) checkEnd(ctx context.Context, answer *reply, t *rudderview.Target) error {
	if !answer.unproven() || f.leaving(t) {
		return nil
	}
	c := f.endCheck(t)
	timer := time.NewTimer(endCheckTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
	case <-c.done:
	}
	if !c.finished() { // on a slow host both may be ready
		f.Metrics.Count("targets.end_checks_without_result")
		return nil
	}
	if !c.ended {
		return nil
	}
	f.Metrics.Count("targets.ended_with_response")
	return errors.Mark(errors.Wrapf(errTargetEnded, "target %s", t.Name), ErrBroken)
}

// leaving reports whether a target may end as soon as it has finished its responses.
func (f *Forwarder) leaving(t *rudderview.Target) bool {
	now := f.View.Snapshot().Targets[t.Name]
	return t.Leaving() || now != nil && now.Born == t.Born && now.Leaving()
}

// endCheck returns the next check of a target, which begins after this call.
func (f *Forwarder) endCheck(t *rudderview.Target) *endCheck {
	key := processOf(t)
	f.endChecks.mu.Lock()
	defer f.endChecks.mu.Unlock()
	if c := f.endChecks.targets[key]; c != nil {
		return c
	}
	if f.endChecks.targets == nil {
		f.endChecks.targets = map[rudderlimit.Process]*endCheck{}
	}
	c := &endCheck{done: make(chan struct{})}
	f.endChecks.targets[key] = c
	time.AfterFunc(endCollectTime, func() {
		f.endChecks.mu.Lock()
		delete(f.endChecks.targets, key)
		f.endChecks.mu.Unlock()
		c.ended = f.hasEnded(t)
		close(c.done)
	})
	return c
}

// hasEnded reports whether the process of a target is known to have ended: another one answers at its address, or none
// listens there and this entry host reaches others. Silence shows neither.
func (f *Forwarder) hasEnded(t *rudderview.Target) bool {
	f.Metrics.Count("targets.end_checks")
	if now := f.View.Snapshot().Targets[t.Name]; now != nil && now.Born > t.Born {
		return true
	}
	if f.reports(t) && !f.Limits.Limited(processOf(t)) {
		ctx, cancel := context.WithTimeout(context.Background(), firstProbeTimeout)
		report, err := f.Report(ctx, t.Address)
		cancel()
		if err == nil {
			return report.Born != 0 && t.Born != 0 && report.Born != t.Born
		}
	}
	return f.Path.Recheck(pathTarget(t)) == rudderpath.Refused && !f.Path.Lost(pathTarget(t))
}

// reports reports whether a target answers requests for its state.
func (f *Forwarder) reports(t *rudderview.Target) bool {
	table := f.View.Snapshot().Table
	if table == nil {
		return false
	}
	service := table.Service(t.Service)
	return service != nil && service.Engine != nil
}
