package rudderforward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderresponse"
)

// failureBackoff is how long new requests avoid a leader after a failed send, as long as other groups are
// available.
const failureBackoff = time.Second

// nextGroup chooses the group for the next send, or returns the reason for refusing the request. Requests are
// not queued here: one that no group can take now is refused.
func (f *Forwarder) nextGroup(ctx context.Context, j *job) (*rudderview.Group, *refusal) {
	now := f.Uptime()
	if refused := f.permitted(j); refused != nil {
		return nil, refused
	}
	if j.remaining(now) <= 0 {
		return nil, &refusal{status: http.StatusServiceUnavailable, code: "deadline", message: "time is up"}
	}
	if refused := f.checkPoison(j); refused != nil {
		return nil, refused
	}
	if j.unanswered {
		return nil, &refusal{status: http.StatusBadGateway, code: "unanswered", message: "no target has begun a response in time"}
	}
	if refused := j.checkAttempts(); refused != nil {
		return nil, refused
	}
	if g := j.moveTo; g != nil {
		j.moveTo = nil
		if f.accepts(g) {
			return g, nil
		}
		j.retryTaken = true
	}
	snapshot := f.View.Snapshot()
	groups := snapshot.Groups(j.service, j.request.Model)
	if len(groups) == 0 {
		return nil, noGroup()
	}
	accepting, wait := f.accepting(groups)
	if len(accepting) == 0 {
		return nil, pausedRefusal(wait)
	}
	if refused := f.checkTimeLeft(j, accepting); refused != nil {
		return nil, refused
	}
	c := f.chooseAccepting(ctx, j, snapshot, groups, accepting)
	if c.group == nil {
		return nil, f.noRoom(j, c)
	}
	if j.runs == 0 && !f.endsBeforeShutdown(j) {
		return nil, shutdownRefusal() // the owner expects a longer wait, or a send that was refused has taken too long
	}
	if j.runs > 0 && f.repeatInVain(j) {
		return nil, shutdownRefusal()
	}
	if j.sends > 0 && !f.takeRetry(j, now, len(snapshot.EntryHosts)) {
		return nil, &refusal{status: http.StatusServiceUnavailable, code: "retry_budget", message: "the budget of repeated sends is spent", retryAfter: longRetryAfter}
	}
	return c.group, nil
}

// checkAttempts returns a refusal if the request may not be sent again, or nil.
func (j *job) checkAttempts() *refusal {
	if j.runs > 0 && !j.route.Repeatable() {
		return &refusal{status: http.StatusBadGateway, code: "may_have_run", message: "the request may have run and must not repeat"}
	}
	attempts := max(j.route.MaxAttempts, 1)
	// A stream that has begun is not given up because connections fail: nobody else can finish its response.
	if j.runs >= attempts || j.sends >= attempts+extraSends || j.unsent > attempts+extraSends && !j.started {
		return &refusal{status: http.StatusServiceUnavailable, code: "attempts_exhausted", message: "no attempt is left", retryAfter: shortRetryAfter}
	}
	return nil
}

// chooseAccepting chooses a group and checks it again, because the request may have waited for an owner's answer.
func (f *Forwarder) chooseAccepting(ctx context.Context, j *job, snapshot *rudderview.Snapshot, groups, accepting []*rudderview.Group) choice {
	c := f.choose(ctx, j, snapshot, groups)
	for c.group != nil && (f.permitExpired(c) || !f.accepts(c.group)) {
		if !f.permitExpired(c) {
			j.excludeGroup(c.group)
		}
		c = f.chooseHere(j, snapshot, accepting)
	}
	return c
}

// noRoom returns the refusal of a request for which no group was chosen. Callers wait no longer than a part of the time that they
// have left, so that a longer Retry-After would make them come back before there is a place.
func (f *Forwarder) noRoom(j *job, c choice) *refusal {
	part := time.Duration(maxRetryShare * float64(j.remaining(f.Uptime())))
	r := &refusal{
		status: http.StatusServiceUnavailable, code: "groups_failed", message: "no group has room for this request now",
		retryAfter: max(minRetryAfter, min(max(shortRetryAfter, j.expectedWait), maxRetryAfter, part)),
	}
	switch {
	case c.limited:
		r.code, r.message = "rate_limited", "the targets of this request take no more requests now"
	case c.full:
		r.code = "groups_full"
		if f.EndUnread != nil {
			f.EndUnread(j.service)
		}
	}
	return r
}

// choose requests a group from the owner of the model. If the owner gives no usable answer, it chooses from the
// load known to this entry host.
func (f *Forwarder) choose(ctx context.Context, j *job, snapshot *rudderview.Snapshot, groups []*rudderview.Group) choice {
	now := f.Uptime()
	j.release()
	f.Limits.SetHosts(len(snapshot.EntryHosts), now)
	if model := groups[0].Model; model != "" && len(groups) > 1 || f.limited(groups) {
		q := PickQuery{
			Service: j.service, Model: model, PromptTokens: j.request.PromptTokens, AnswerTokens: j.request.AnswerTokens, Limit: j.remaining(now),
			Cost: f.cost(j, model), Objective: f.waitLimit(j, model, now), Urgency: j.urgency(), Workspace: j.workspaceName(),
		}
		for id := range j.exclude {
			q.Avoid = append(q.Avoid, id)
		}
		for _, g := range groups {
			if !j.exclude[g.ID] && (f.loads.avoided(g.Leader.Name, now) || f.pauses.left(g.Leader, now) > 0) {
				q.Avoid = append(q.Avoid, g.ID)
			}
			if f.loads.isFoundSilent(g.Leader.Name, now) || f.loads.isHung(g.Leader.Name, now) {
				q.Silent = append(q.Silent, g.ID)
			}
			if f.loads.isFoundSlow(g.Leader.Name, now) {
				q.Slow = append(q.Slow, g.ID)
			}
		}
		pick := f.Pick(ctx, q)
		j.releasePick = pick.Release
		f.recordSlow(groups, pick.Slow)
		if pick.Answered {
			j.expectedWait, j.pickedAt, j.pickedModel = pick.Wait, f.Uptime(), model
			f.work.set(j.service, model, pick.Work)
			f.work.setRefused(j.service, model, pick.Refused, f.Uptime())
			for _, g := range groups {
				if g.ID == pick.Group {
					return choice{group: g, permittedAt: now}
				}
			}
			if pick.Group != "" {
				f.SkipBatchPause() // the owner knows a group that is missing from this entry host's view
			}
			if pick.Full {
				return choice{full: true, limited: pick.Limited}
			}
		}
	}
	accepting, _ := f.accepting(groups)
	return f.chooseHere(j, snapshot, accepting)
}

// chooseHere chooses a group from the load known to this entry host, without a call to the model's owner. Targets with a
// limit get this host's share of it.
func (f *Forwarder) chooseHere(j *job, snapshot *rudderview.Snapshot, groups []*rudderview.Group) choice {
	permitted := f.withShare(groups)
	c := f.chooseByLoad(j, snapshot, permitted)
	if c.group != nil && !f.Limits.TakeShare(processOf(c.group.Leader), f.Uptime()) {
		c = choice{}
	}
	if c.group == nil && len(permitted) < len(groups) {
		c.full, c.limited = true, true
	}
	return c
}

func (f *Forwarder) chooseByLoad(j *job, snapshot *rudderview.Snapshot, groups []*rudderview.Group) choice {
	slow := map[string]bool{} // found before loads is locked
	now := f.Uptime()
	for _, g := range groups {
		slow[g.ID] = f.isSlow(g, now)
	}
	return f.loads.choose(groups, choiceInputs{now: now, entries: len(snapshot.EntryHosts), dataCentre: f.DataCentre, exclude: j.exclude, slow: slow})
}

// finishFailed ends a request that will not be sent again. The status for a request that may have run never
// promises that it did not run.
func (f *Forwarder) finishFailed(ctx context.Context, j *job, r refusal) {
	if errors.Is(context.Cause(ctx), errShutDown) {
		r = *shutdownRefusal()
	} else if errors.Is(ctx.Err(), context.Canceled) {
		// net/http also cancels the context when a caller has closed only its sending side and still waits for a response.
		r = refusal{status: http.StatusServiceUnavailable, code: "caller_left", message: "the connection was closed by its caller"}
	}
	if errors.Is(j.lastErr, rudderbody.ErrNoMemory) && ctx.Err() == nil {
		r.code, r.message = codeMemoryFull, "the responses to other requests leave no memory for this one"
	}
	if j.runs > 0 {
		r.retryAfter = 0
		r.status = http.StatusBadGateway
		if errors.Is(ctx.Err(), context.DeadlineExceeded) || r.code == "deadline" {
			r.status = http.StatusGatewayTimeout
		}
	}
	f.refuse(j, r)
}

// recordFailure records a failed send, excludes its group and starts a check of the leader where the error
// points to its death.
func (f *Forwarder) recordFailure(ctx context.Context, j *job, g *rudderview.Group, err error) {
	now := f.Uptime()
	j.lastErr = err
	if !errors.Is(err, errPathLost) || len(f.View.Snapshot().Groups(j.service, j.request.Model)) > len(j.exclude)+1 {
		j.excludeGroup(g)
	}
	if errors.Is(err, ErrNotSent) {
		j.unsent++
	} else {
		j.sends++
		j.runs++
	}
	if ctx.Err() != nil {
		return // cancelled by the caller or the deadline, which is no evidence about the group
	}
	onThisSide := errors.Is(err, errPathLost) || errors.Is(err, errNoPath)
	if !onThisSide && !errors.Is(err, errUnanswered) && !errors.Is(err, errSlowGroup) {
		f.loads.avoid(g.Leader.Name, now+failureBackoff, now)
	}
	f.Metrics.Count("sends.failed")
	line := f.Logger.Warn().Err(err).Str("request_id", j.request.ID).Str("group", g.ID).Str("target", g.Leader.Name).
		Bool("may_have_run", !errors.Is(err, ErrNotSent)).Dur("after_ms", now-j.begin).Int("events", j.sendEvents).Bool("relayed", j.relayed)
	if j.answeredAt > 0 {
		line = line.Dur("answering_ms", now-j.answeredAt)
	}
	line.Strs("prompt_parts", j.request.PromptParts).Msg("send failed")
	// The entry host that relayed the request checks the target.
	if !onThisSide && !j.relayed && (notListening(err) || brokenByTarget(err)) {
		f.checkCrash(j, g, err)
	}
}

// brokenByTarget reports whether a send may have failed because its target died. One that this entry host has cancelled shows
// nothing about the target.
func brokenByTarget(err error) bool {
	for _, other := range []error{errGroupBroken, errUnresponsive, errHung, errUnanswered, errSlowGroup, errPoisoned, ErrWrongAnswer, rudderbody.ErrNoMemory, rudderresponse.ErrInvalidHead} {
		if errors.Is(err, other) {
			return false
		}
	}
	return errors.Is(err, ErrBroken)
}

// recordRefusal records that a target answered without running the request.
func (f *Forwarder) recordRefusal(j *job, g *rudderview.Group, answer *reply) {
	now := f.Uptime()
	j.sends++
	j.excludeGroup(g)
	j.lastErr = errors.Newf("target %s answered %d without running the request", g.Leader.Name, answer.response.StatusCode)
	_ = answer.response.Body.Close()
	answer.retire(j.request.ID)
	f.Metrics.Count("sends.refused")
	f.Logger.Info().Str("request_id", j.request.ID).Str("group", g.ID).Str("target", g.Leader.Name).
		Int("status", answer.response.StatusCode).Str("culprit", answer.FailedMember).Int("sends", j.sends).Bool("relayed", answer.connection == nil).
		Bool("reused", answer.reused()).Msg("target refused the request without running it")
	f.loads.avoid(g.Leader.Name, now+failureBackoff/4, now)
	if answer.FailedMember != "" {
		go f.probeGroup(context.Background(), g, 0)
	}
}
