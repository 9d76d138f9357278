package rudderforward

import (
	"net/http"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
)

// checkServable returns a refusal if the request's headers show that no group can take it, or nil.
func (f *Forwarder) checkServable(j *job) *refusal {
	groups := f.View.Snapshot().Groups(j.service, j.request.Model)
	if len(groups) == 0 {
		return noGroup()
	}
	if accepting, wait := f.accepting(groups); len(accepting) == 0 {
		return pausedRefusal(wait)
	}
	return f.checkTimeLeft(j, groups)
}

func noGroup() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: "no_group", message: "no group serves this request now", retryAfter: longRetryAfter}
}

// checkTimeLeft refuses a request that has less time left than an idle group needs before the first token. It
// sends no Retry-After: a retry would have even less time.
func (f *Forwarder) checkTimeLeft(j *job, groups []*rudderview.Group) *refusal {
	if j.remaining(f.Uptime()) > f.minServiceTime(j, groups[0].Model) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, code: "too_late", message: "the model needs more time for this prompt than is left"}
}

// modelOf returns the model of the groups that may take a request, or "".
func (f *Forwarder) modelOf(j *job) string {
	if groups := f.View.Snapshot().Groups(j.service, j.request.Model); len(groups) > 0 {
		return groups[0].Model
	}
	return ""
}

// minServiceTime returns the time that an idle group of a model needs for the prompt of a request; 0 if it is
// not known.
func (f *Forwarder) minServiceTime(j *job, modelName string) time.Duration {
	table := f.View.Snapshot().Table
	if table == nil || modelName == "" {
		return 0
	}
	service := table.Service(j.service)
	if service == nil || service.Engine == nil {
		return 0
	}
	model, _ := service.Engine.Model(modelName)
	return service.Engine.Cost(model, j.request.PromptTokens, 0)
}

// waitLimit returns the longest wait for a group that a request can bear: the time left for it, and the
// objective of its route if its stream has not begun.
func (f *Forwarder) waitLimit(j *job, model string, now time.Duration) time.Duration {
	limit := max(j.remaining(now)-f.minServiceTime(j, model), time.Millisecond)
	if j.started || j.route.Objective <= 0 {
		return limit
	}
	return min(limit, f.firstEvents.waitLimit(j.service+"\x00"+model, j.route.Objective))
}

// Shares of a request's time limit below which a refusal counts as immediate or as early.
const (
	atOnceShare = 0.125
	earlyShare  = 0.5
)

// lateness classifies a refusal by the share of the request's time that had passed. The result is part of a
// metric's name.
func lateness(used, limit time.Duration) string {
	switch part := float64(used) / float64(limit); {
	case limit <= 0 || part < atOnceShare:
		return "at_once"
	case part < earlyShare:
		return "early"
	}
	return "late"
}
