package rudderforward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderview"
)

// failureAvoid keeps new requests away from a leader after a failed send, beside others that work.
const failureAvoid = time.Second

// next chooses the group for the next send, or says why there is none. Nothing is held back: a request that
// no group can take now is refused.
func (f *Forwarder) next(ctx context.Context, j *job) (*rudderview.Group, *refusal) {
	now := f.Uptime()
	if refused := f.permitted(j); refused != nil {
		return nil, refused
	}
	if j.remaining(now) <= 0 {
		return nil, &refusal{status: http.StatusServiceUnavailable, code: "deadline", message: "time is up"}
	}
	if j.runs > 0 && !j.route.Repeatable() {
		return nil, &refusal{status: http.StatusBadGateway, code: "may_have_run", message: "the request may have run and must not repeat"}
	}
	attempts := max(j.route.MaxAttempts, 1)
	if j.runs >= attempts || j.sends >= attempts+extraSends || j.unsent > attempts+extraSends {
		return nil, &refusal{status: http.StatusServiceUnavailable, code: "attempts_exhausted", message: "no attempt is left", retryAfter: shortPause}
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
	if refused := f.tooLate(j, accepting); refused != nil {
		return nil, refused
	}
	c := f.choose(ctx, j, snapshot, groups)
	for c.group != nil && !f.accepts(c.group) {
		j.excludeGroup(c.group)
		c = f.chooseHere(j, snapshot, accepting)
	}
	if c.group == nil {
		code := "groups_failed"
		if c.full {
			code = "groups_full"
		}
		return nil, &refusal{
			status: http.StatusServiceUnavailable, code: code, message: "no group has room for this request now",
			retryAfter: max(shortPause, min(j.wait, longestPause)),
		}
	}
	if j.sends > 0 && !f.budget.repeat(j.service, now, f.Retries, len(snapshot.EntryHosts)) {
		return nil, &refusal{status: http.StatusServiceUnavailable, code: "retry_budget", message: "the budget of repeated sends is spent", retryAfter: longPause}
	}
	return c.group, nil
}

// choose asks the owner of the model, and chooses here when there is no answer that can be used.
func (f *Forwarder) choose(ctx context.Context, j *job, snapshot *rudderview.Snapshot, groups []*rudderview.Group) choice {
	now := f.Uptime()
	j.release()
	if model := groups[0].Model; model != "" && len(groups) > 1 {
		q := PickQuery{
			Service: j.service, Model: model, PromptTokens: j.request.PromptTokens, AnswerTokens: j.request.AnswerTokens, Limit: j.remaining(now),
			Cost: f.cost(j, model), Objective: f.waitLimit(j, model, now),
		}
		for id := range j.exclude {
			q.Avoid = append(q.Avoid, id)
		}
		for _, g := range groups {
			if !j.exclude[g.ID] && (f.loads.avoided(g.Leader.Name, now) || f.pauses.left(g.Leader, now) > 0) {
				q.Avoid = append(q.Avoid, g.ID)
			}
		}
		pick := f.Pick(ctx, q)
		j.ticket = pick.Release
		if pick.Answered {
			j.wait, j.picked, j.pickedModel = pick.Wait, f.Uptime(), model
			f.work.set(j.service, model, pick.Work)
			for _, g := range groups {
				if g.ID == pick.Group {
					return choice{group: g}
				}
			}
			if pick.Group != "" {
				f.Nudge() // the owner knows a group that this entry host does not know yet
			}
			if pick.Full {
				return choice{full: true}
			}
		}
	}
	accepting, _ := f.accepting(groups)
	return f.chooseHere(j, snapshot, accepting)
}

// chooseHere chooses a group by what this entry host knows alone.
func (f *Forwarder) chooseHere(j *job, snapshot *rudderview.Snapshot, groups []*rudderview.Group) choice {
	return f.loads.choose(groups, chooser{now: f.Uptime(), entries: len(snapshot.EntryHosts), dataCentre: f.DataCentre, exclude: j.exclude})
}

// giveUp ends a request for which there is no further send. A request that may have run is never answered
// with a status that promises the contrary.
func (f *Forwarder) giveUp(ctx context.Context, j *job, r refusal) {
	if errors.Is(ctx.Err(), context.Canceled) {
		j.code, j.abort = "caller_left", true
		return
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

// failed takes note of a failed send.
func (f *Forwarder) failed(ctx context.Context, j *job, g *rudderview.Group, err error) {
	now := f.Uptime()
	j.last = err
	j.excludeGroup(g)
	if errors.Is(err, ErrNotSent) {
		j.unsent++
	} else {
		j.sends++
		j.runs++
	}
	if ctx.Err() != nil {
		return // the caller left or the time is up; that says nothing about the group
	}
	f.loads.avoid(g.Leader.Name, now+failureAvoid, now)
	f.Metrics.Count("sends.failed")
	f.Logger.Warn().Err(err).Str("request_id", j.request.ID).Str("group", g.ID).Str("target", g.Leader.Name).
		Bool("may_have_run", !errors.Is(err, ErrNotSent)).Dur("after_ms", now-j.begin).Msg("send failed")
	if notListening(err) || errors.Is(err, ErrBroken) && !errors.Is(err, errGroupBroken) && !errors.Is(err, ErrWrongAnswer) {
		go f.judge(j.fingerprint(), g)
	}
}

// judge finds out whether a leader died on a request.
func (f *Forwarder) judge(fingerprint uint64, g *rudderview.Group) {
	if f.dead(context.Background(), g.Leader) {
		f.Suspect(g.Leader, "connection broke")
		f.Crashed(fingerprint, g.Leader)
	}
}

// refused takes note of a target that did not run the request.
func (f *Forwarder) refused(j *job, g *rudderview.Group, answer *reply) {
	now := f.Uptime()
	j.sends++
	j.excludeGroup(g)
	j.last = errors.Newf("target %s answered %d without running the request", g.Leader.Name, answer.response.StatusCode)
	_ = answer.response.Body.Close()
	f.Metrics.Count("sends.refused")
	f.Logger.Info().Str("request_id", j.request.ID).Str("group", g.ID).Str("target", g.Leader.Name).
		Int("status", answer.response.StatusCode).Str("culprit", answer.FailedMember).Msg("target refused the request unrun")
	f.loads.avoid(g.Leader.Name, now+failureAvoid/4, now)
	if answer.FailedMember != "" {
		go f.groupBroken(context.Background(), g)
	}
}
