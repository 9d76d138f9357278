package rudderforward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderresponse"
)

const (
	// maxLateResponses bounds the cancelled sends whose responses are awaited at once: each holds a connection.
	maxLateResponses = 512
	// lateResponseBytes is what one of them holds beside the body of its request: buffers and goroutines of its connection.
	lateResponseBytes = 24 << 10
)

// received is the outcome of one HTTP exchange.
type received struct {
	response *http.Response
	err      error
}

// roundTrip sends a request and returns its response once the head has arrived. If the context ends before that, the response may
// still be awaited in the background, for what its head tells about the target.
func (f *Forwarder) roundTrip(ctx context.Context, x *exchange, a *attempt) (*http.Response, error) {
	// A context of its own lets the exchange outlive the send.
	own, end := context.WithCancelCause(context.WithoutCancel(ctx))
	request := f.request(httptrace.WithClientTrace(own, a.trace()), x)
	a.header = request.Header
	results := make(chan received, 1)
	go func() {
		response, err := f.Responses.Do(request, f.checkedSend) //nolint:bodyclose // whoever gets the result closes it
		results <- received{response, err}
	}()
	var r received
	select {
	case r = <-results:
	case <-ctx.Done():
		select {
		case r = <-results:
			return r.finish(ctx, end)
		default:
		}
		if f.awaitLate(ctx, x, a, results, end) {
			return nil, context.Cause(ctx)
		}
		end(context.Cause(ctx))
		r = <-results
	}
	return r.finish(ctx, end)
}

func (f *Forwarder) checkedSend(r *http.Request) (*http.Response, error) {
	return rudderresponse.Do(r, f.Client.Do)
}

// finish returns the outcome to the send, with whose context the response's body ends.
func (r received) finish(ctx context.Context, end context.CancelCauseFunc) (*http.Response, error) {
	if r.err != nil {
		end(nil)
		return nil, r.err
	}
	context.AfterFunc(ctx, func() { end(context.Cause(ctx)) })
	return r.response, nil
}

// awaitLate awaits the response to a cancelled send in the background, until its target must have answered. It reports whether it
// does so.
func (f *Forwarder) awaitLate(ctx context.Context, x *exchange, a *attempt, results <-chan received, end context.CancelCauseFunc) bool {
	connection := a.used.Load()
	if connection == nil || connection.unwritten() || !a.wrote.Load() || errors.Is(context.Cause(ctx), errShutDown) {
		return false
	}
	memory := f.Bodies.Reservation(1)
	if f.lateResponses.Add(1) > maxLateResponses || memory.Resize(int64(len(x.job.body))+lateResponseBytes) != nil {
		f.lateResponses.Add(-1)
		f.Metrics.Count("sends.late_not_awaited")
		return false
	}
	ended := a.endRequests(connection)
	// The job goes on without this send.
	late := &exchange{
		job: &job{request: Request{ID: x.job.request.ID}}, group: x.group, repeatable: x.repeatable, sentAt: x.sentAt,
	}
	left := targetSilence
	if ended { // the target ends its work at the deadline of the request, and may be silent then
		left += max(x.job.begin+x.job.limit-f.Uptime(), 0)
	}
	timer := time.AfterFunc(left, func() { end(context.DeadlineExceeded) })
	go func() {
		defer f.lateResponses.Add(-1)
		defer memory.Release()
		defer end(nil)
		defer timer.Stop()
		if r := <-results; r.err == nil {
			f.receiveLate(late, &reply{response: r.response, connection: connection, claimed: true}, ended)
		}
	}()
	return true
}

// receiveLate records what the head of a late response tells about its target. Its body is not read. With ended set, no request
// can follow on its connection, which is closed then.
func (f *Forwarder) receiveLate(x *exchange, answer *reply, ended bool) {
	f.Path.Heard(x.group.Service)
	if _, err := f.receive(x, answer); err != nil {
		return
	}
	if ended {
		answer.discard()
	} else {
		_ = answer.response.Body.Close()
	}
	if answer.NotRun {
		answer.retire(x.job.request.ID)
	}
	f.loads.heard(x.group.Leader.Name, f.Uptime())
	f.Metrics.Count("sends.late_responses")
	f.Logger.Info().Str("request_id", x.job.request.ID).Str("group", x.group.ID).Str("target", x.group.Leader.Name).
		Int("status", answer.response.StatusCode).Dur("after_ms", f.Uptime()-x.sentAt).Msg("response began after its send had been cancelled")
}

// endRequests ends the sending side of the connection, unless its response has begun: the HTTP client may have given the connection to
// another request then.
func (a *attempt) endRequests(c *sendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.responding {
		return false
	}
	c.closeWrite()
	return true
}

// recordResponse records that the response has begun.
func (a *attempt) recordResponse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.responding = true
}

// closeWrite ends the sending side of a connection. Its target sees the same as when the connection is closed, and may still answer
// what it has read.
func (c *sendConn) closeWrite() {
	for inner := c.Conn; inner != nil; {
		if halfCloser, ok := inner.(interface{ CloseWrite() error }); ok {
			_ = halfCloser.CloseWrite() // a connection that has failed ends its exchange too
			return
		}
		outer, ok := inner.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		inner = outer.NetConn()
	}
}
