package rudderapp

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderadmission"
	"comfreyrudder.example/rudderd/rudderentry"
	"comfreyrudder.example/rudderd/rudderowner"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/rudderd/rudderservice"
	"comfreyrudder.example/rudderd/rudderstream"
	"comfreyrudder.example/shared/rudderconfig"
)

// workHistory makes rudderadmission's estimator, which estimates the tokens of requests, safe for concurrent use.
type workHistory struct {
	mu        sync.Mutex
	estimator rudderadmission.Estimator
}

func (w *workHistory) estimate(workspace string, promptTokens, maxTokens int) (int, rudderconfig.WorkClass) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.estimator.Estimate(workspace, promptTokens, maxTokens)
}

func (w *workHistory) observe(workspace string, promptTokens, generated int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.estimator.Observe(workspace, promptTokens, generated)
}

func (a *App) wireAdmission() {
	a.owner = &rudderowner.Owner{
		Self: a.self, Members: a.node.Live, Holders: a.node.Alive, Groups: a.servable, Confirm: a.confirmGroup, Clock: a.Clock, HTTPClient: a.peers,
		Logger: a.Logger, Seed: xxhash.Sum64String(a.self.Name), HasSelector: a.expected,
	}
}

// expected reports whether a selector in the configuration currently serves such work, and not only by groups in evacuated data
// centres.
func (a *App) expected(w rudderrouter.Requirements) bool {
	document := a.config.Current()
	if document == nil || a.onlyEvacuated(w) {
		return false
	}
	now := a.Clock.Now()
	return slices.ContainsFunc(document.Selectors, func(s rudderconfig.Selector) bool { return selectorServes(s, w) && s.ActiveAt(now) })
}

// workspace returns the configuration of a workspace, or the zero value.
func (a *App) workspace(name string) rudderconfig.Workspace {
	if document := a.config.Current(); document != nil {
		workspace, _ := document.Workspace(name)
		return workspace
	}
	return rudderconfig.Workspace{}
}

// acquireChat waits for a slot of a group that serves the model.
func (a *App) acquireChat(ctx context.Context, q rudderstream.Request, exclude []string) (rudderstream.Slot, error) {
	workspace := a.workspace(q.Workspace)
	start, limit := a.Clock.Now(), a.chatLimit(q)
	if q.Sent {
		limit = rudderentry.Limit{Deadline: start} // continued until it is cut off
	}
	if !a.stopping.mayStart(start, limit) {
		return rudderstream.Slot{}, stoppingRefusal()
	}
	wait, cancel := a.stopping.whileStartable(ctx, a.Clock, limit)
	defer cancel()
	avoid := slices.Clone(exclude)
	if !q.Colocate {
		avoid = append(avoid, a.suspectGroups(q.Fingerprint)...)
	}
	slot, err := a.acquireOutside(wait, rudderowner.Work{
		// Each attempt has its own slot ID, because the release of the previous attempt's slot may still be under way.
		RequestID: q.ID + "#" + strconv.Itoa(q.Attempt), Repeat: q.Attempt > 1, Workspace: q.Workspace, Weight: workspace.Weight, Preset: workspace.Preset,
		Wanted: rudderrouter.Requirements{Firm: q.Firm, Model: q.Model, Workspace: q.Workspace, Class: q.Class},
		Class:  q.Class, Tokens: q.EstimatedTokens, Deadline: a.queueDeadline(start),
		Avoid: avoid, Blocks: rudderrouter.PrefixBlocks(q.Prompt),
	})
	if a.stoppedWaiting(wait, slot, limit) {
		return rudderstream.Slot{}, stoppingRefusal()
	}
	if err != nil {
		return rudderstream.Slot{}, refusalOf(err)
	}
	a.suspects.started(slot.Group(), q.Fingerprint)
	untrack := func() {}
	if answer, found := a.answers.Find(q.ID); found {
		untrack = a.stopping.track(a.Clock.Now(), paceOfModel(q.Model), answer)
	}
	return rudderstream.Slot{
		Group: slot.Group(), Address: slot.Leader(), Domain: a.domainOf(slot.Group()), Wait: a.Clock.Since(start),
		Release: func(u rudderstream.Usage) {
			untrack()
			a.suspects.ended(slot.Group(), q.Fingerprint)
			slot.Release(rudderowner.Outcome{Tokens: u.Tokens, Failed: u.Failed})
		},
	}, nil
}

// stoppedWaiting reports whether work must not be started after its wait because this entry host stops. It then releases
// the slot, if there is one.
func (a *App) stoppedWaiting(wait context.Context, slot *rudderowner.Slot, work rudderentry.Limit) bool {
	if slot == nil {
		return errors.Is(context.Cause(wait), rudderstream.ErrStopping)
	}
	if a.stopping.mayStart(a.Clock.Now(), work) {
		return false
	}
	slot.Release(rudderowner.Outcome{Failed: true})
	return true
}

// queueDeadline returns the time until which a request may wait for a slot. Zero means that the workspace's preset
// decides.
func (a *App) queueDeadline(start time.Time) time.Time {
	if a.Settings.QueueDeadline == 0 {
		return time.Time{}
	}
	return start.Add(a.Settings.QueueDeadline)
}

// acquireService waits for a slot on a host of a plain service.
func (a *App) acquireService(ctx context.Context, call *rudderservice.Call, exclude []string) (string, func(), error) {
	workspace := a.workspace(call.Workspace)
	deadline, _ := ctx.Deadline()
	limit := a.callLimit(call, deadline)
	wait, cancel := a.stopping.whileStartable(ctx, a.Clock, limit)
	defer cancel()
	slot, err := a.acquireOutside(wait, rudderowner.Work{
		// Each attempt has its own slot ID, because the slot of the previous attempt may still be held.
		RequestID: call.RequestID + "#" + strconv.Itoa(len(exclude)), Repeat: len(exclude) > 0, Workspace: call.Workspace, Weight: workspace.Weight, Preset: workspace.Preset,
		Wanted: rudderrouter.Requirements{Firm: workspace.Firm, Service: call.Service, Workspace: call.Workspace, Class: rudderconfig.ClassShort},
		Class:  rudderconfig.ClassShort, Tokens: 1, Deadline: a.queueDeadline(a.Clock.Now()),
		Avoid: a.groupsAt(exclude),
	})
	if a.stoppedWaiting(wait, slot, limit) {
		return "", nil, errors.Mark(errors.New(messageStopping), rudderservice.ErrNotReady)
	}
	if errors.Is(err, errEvacuated) {
		return "", nil, errors.Mark(err, rudderservice.ErrEvacuated)
	}
	if err != nil {
		return "", nil, err
	}
	return slot.Leader(), func() { slot.Release(rudderowner.Outcome{}) }, nil
}

// refusalOf converts an error of admission to a refusal for the caller.
func refusalOf(err error) error {
	refusal := &rudderstream.Refusal{
		Code: rudderstream.CodeNoCapacity, Message: err.Error(), RetryAfter: rudderowner.RetryAfter(err),
		NoGroup: errors.Is(err, rudderowner.ErrNoGroup),
	}
	if errors.Is(err, rudderowner.ErrNoGroup) {
		refusal.Code = rudderstream.CodeNoGroup
	}
	if errors.Is(err, errEvacuated) {
		refusal.Code = rudderstream.CodeEvacuated
	}
	if refusal.RetryAfter <= 0 {
		refusal.RetryAfter = time.Second
	}
	if errors.Is(err, context.Canceled) {
		refusal.Code = rudderstream.CodeAbandoned
	}
	return refusal
}

// domainOf returns the fabric domain of a group, or "".
func (a *App) domainOf(group string) string {
	for _, plan := range a.fleet.Plans() {
		for _, g := range plan.Groups {
			if g.ID == group {
				return plan.Domain
			}
		}
	}
	return ""
}

// groupsAt returns the groups whose leader has one of the addresses.
func (a *App) groupsAt(addresses []string) []string {
	var groups []string
	for _, plan := range a.fleet.Plans() {
		for _, g := range plan.Groups {
			for _, address := range addresses {
				if g.Leader() == address {
					groups = append(groups, g.ID)
				}
			}
		}
	}
	return groups
}
