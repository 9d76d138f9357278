package rudderforward

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// relayCopies is the number of copies of a body that are made to relay a request, at either entry host.
const relayCopies = 2

// LimitRelayed refuses requests of other entry hosts for whose bodies there is no memory, before they are read. It has to run
// before the check of the signature, which reads the body.
func (f *Forwarder) LimitRelayed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := r.ContentLength
		if size < 0 {
			size = rudderpath.MaxBodyBytes + rudderpath.MaxHeadBytes
		}
		memory := f.Bodies.Reservation(relayCopies)
		defer memory.Release()
		if err := memory.Resize(size); err != nil {
			f.refuseRelayed(w, rudderpath.Request{}, rudderpath.OutcomeBusy, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ServeRelayed sends a request to a target for another entry host that cannot reach it. It is sent directly or not at all.
func (f *Forwarder) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	q, err := rudderpath.DecodeRequest(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	relaying := f.relaying.Add(1)
	defer f.relaying.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), max(q.Remaining, 0))
	defer cancel()
	x, outcome := f.relayedExchange(q)
	if relaying > int64(f.MaxRelayed) || f.shuttingDown() {
		outcome = rudderpath.OutcomeBusy
	}
	if outcome != "" {
		f.refuseRelayed(w, q, outcome, nil)
		return
	}
	// An idle connection may have lost its path too.
	if !f.Path.Confirm(pathTarget(x.group.Leader)) {
		f.refuseRelayed(w, q, f.unreachableOutcome(q.Service), nil)
		return
	}
	answer, err := f.sendDirect(ctx, x, true)
	if err != nil {
		outcome = rudderpath.OutcomeMayHaveRun
		switch {
		case errors.Is(err, errNotAccepting):
			outcome = rudderpath.OutcomeDeclined
		case errors.Is(err, ErrNotSent):
			outcome = f.unreachableOutcome(q.Service)
		}
		if ctx.Err() == nil && (notListening(err) || brokenByTarget(err)) {
			f.checkCrash(x.job, x.group, err)
		}
		f.refuseRelayed(w, q, outcome, err)
		return
	}
	f.copyRelayed(ctx, w, x, answer)
}

// relayedExchange returns the exchange for a request of another entry host, or the outcome if it is not sent.
func (f *Forwarder) relayedExchange(q rudderpath.Request) (*exchange, string) {
	t := f.View.Snapshot().Targets[q.Target]
	if t == nil || t.Born != q.Born {
		return nil, rudderpath.OutcomeDeclined
	}
	g := &rudderview.Group{ID: t.Name, Service: t.Service, Leader: t, Members: []*rudderview.Target{t}, Slots: t.Slots}
	switch {
	case !f.accepts(g):
		return nil, rudderpath.OutcomeDeclined
	case f.Path.Cut(t.Service):
		return nil, rudderpath.OutcomeNoPath
	case !f.Path.Reachable(pathTarget(t)):
		return nil, rudderpath.OutcomeUnreachable
	}
	j := &job{
		request: Request{ID: q.ID}, method: q.Method, target: q.RequestTarget, host: q.Host, body: q.Body, begin: f.Uptime(), limit: q.Remaining,
		route: &rudderroute.Route{Kind: rudderroute.KindStream}, service: q.Service,
	}
	return &exchange{job: j, group: g, header: q.Header, repeatable: q.Repeatable, last: !q.Repeatable, sentAt: f.Uptime()}, ""
}

// unreachableOutcome tells whether only one target is unreachable, or all of its service.
func (f *Forwarder) unreachableOutcome(service string) string {
	if f.Path.Cut(service) {
		return rudderpath.OutcomeNoPath
	}
	return rudderpath.OutcomeUnreachable
}

func (f *Forwarder) refuseRelayed(w http.ResponseWriter, q rudderpath.Request, outcome string, err error) {
	f.Metrics.Count("relaying." + outcome)
	f.Logger.Info().Err(err).Str("request_id", q.ID).Str("target", q.Target).Str("outcome", outcome).Msg("request of another entry host was not relayed")
	rudderpath.Refuse(w, outcome)
}

// copyRelayed passes a response on as it arrives. A response that is cut off aborts the call, so that it does not look
// complete.
func (f *Forwarder) copyRelayed(ctx context.Context, w http.ResponseWriter, x *exchange, answer *reply) {
	if answer.NotRun {
		defer answer.retire(x.job.request.ID)
	}
	defer func() { _ = answer.response.Body.Close() }()
	if !answer.Sealed && answer.response.StatusCode < http.StatusMultipleChoices {
		defer answer.discard()
	}
	f.Metrics.Count("relaying." + rudderpath.OutcomeAnswered)
	err := rudderpath.CopyResponse(w, answer.response, func() { f.Path.Heard(x.group.Service) })
	if err == nil {
		err = f.checkEnd(ctx, answer, x.group.Leader)
	}
	if err == nil {
		return
	}
	if ctx.Err() == nil {
		f.Logger.Info().Err(err).Str("request_id", x.job.request.ID).Str("target", x.group.Leader.Name).Msg("relayed response was cut off")
		f.checkCrash(x.job, x.group, errors.Mark(err, ErrBroken))
	}
	panic(http.ErrAbortHandler)
}
