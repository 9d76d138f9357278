package rudderforward

import (
	"net/http"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
)

// unservable says why no group can take a request, by what its head tells, or returns nil.
func (f *Forwarder) unservable(j *job) *refusal {
	groups := f.View.Snapshot().Groups(j.service, j.request.Model)
	if len(groups) == 0 {
		return noGroup()
	}
	if accepting, wait := f.accepting(groups); len(accepting) == 0 {
		return pausedRefusal(wait)
	}
	return f.tooLate(j, groups)
}

func noGroup() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: "no_group", message: "no group serves this request now", retryAfter: longPause}
}

// tooLate refuses a request for which less time is left than an idle group needs before its first token. It names no time
// to come back: there would be less left.
func (f *Forwarder) tooLate(j *job, groups []*rudderview.Group) *refusal {
	if j.remaining(f.Uptime()) > f.leastTime(j, groups[0].Model) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, code: "too_late", message: "the model needs more time for this prompt than is left"}
}

// modelOf is the model of the groups that may take a request.
func (f *Forwarder) modelOf(j *job) string {
	if groups := f.View.Snapshot().Groups(j.service, j.request.Model); len(groups) > 0 {
		return groups[0].Model
	}
	return ""
}

// leastTime is the time that an idle group of a model needs for the prompt of a request; 0 where it is not known.
func (f *Forwarder) leastTime(j *job, modelName string) time.Duration {
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

// waitLimit is the longest wait for a group that a request can bear: the objective of its route, unless its stream has
// begun, and in any case what the time left allows.
func (f *Forwarder) waitLimit(j *job, model string, now time.Duration) time.Duration {
	limit := max(j.remaining(now)-f.leastTime(j, model), time.Millisecond)
	if j.started || j.route.Objective <= 0 {
		return limit
	}
	return min(limit, f.firsts.waitLimit(j.service+"\x00"+model, j.route.Objective))
}

// bodyPatience is how long a refusal waits for a body that is on its way, so that the connection can be used again: two round
// trips within a region.
const bodyPatience = 50 * time.Millisecond

// refuseEarly answers a request whose body may still be on its way. The server reads the rest of a body before it writes an
// answer; it closes the connection after one whose body does not come in time.
func (f *Forwarder) refuseEarly(j *job, r refusal) {
	_ = http.NewResponseController(j.writer).SetReadDeadline(time.Now().Add(bodyPatience)) // not supported by test recorders
	f.refuse(j, r)
}

// Parts of a request's time up to which a refusal counts as given at once, or early.
const (
	atOnceShare = 0.125
	earlyShare  = 0.5
)

// lateness names the part of a request's time that was used up before it was refused.
func lateness(used, limit time.Duration) string {
	switch part := float64(used) / float64(limit); {
	case limit <= 0 || part < atOnceShare:
		return "at_once"
	case part < earlyShare:
		return "early"
	}
	return "late"
}
