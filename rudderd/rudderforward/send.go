package rudderforward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderresponse"
)

// Errors of one send. Callers test them with errors.Is.
var (
	// ErrNotSent reports that no byte of the request can have reached the target.
	ErrNotSent = errors.New("forward: not sent")
	// ErrBroken reports that the response is missing or incomplete; the request may have run.
	ErrBroken = errors.New("forward: response missing or incomplete")
	// ErrWrongAnswer reports a response that belongs to another request or has no seal header.
	ErrWrongAnswer = errors.New("forward: response belongs to another request or has no seal")
	// errGroupBroken cancels a send whose group has lost a member.
	errGroupBroken = errors.New("forward: group is broken")
	// errUnresponsive cancels a send whose target has made no progress for too long.
	errUnresponsive = errors.New("forward: target made no progress within its limit")
	// errPathLost cancels a send whose target this entry host no longer reaches.
	errPathLost = errors.New("forward: no path to the target")
	// errSlowConnect cancels a send whose connection is not set up soon.
	errSlowConnect = errors.New("forward: connection to the target is not set up in time")
	// errNoPath marks the error of a send that failed on this side of the target.
	errNoPath = errors.New("forward: no path to any target of the service")
	// errClosedConnection reports a reused connection that was closed before a byte of the request was written.
	errClosedConnection = errors.New("forward: reused connection was closed")
	// errNotAccepting reports a target that has asked for a pause, or announced that it leaves, since it was chosen.
	errNotAccepting = errors.New("forward: target takes no requests")
	// errPoisoned cancels a send that has not begun, because the request would crash the target.
	errPoisoned = errors.New("forward: a part of the prompt crashes targets")
)

// reply is a target's response whose body has not been read yet.
type reply struct {
	Reply
	response   *http.Response
	connection *sendConn // connection on which the response arrived; nil if it was relayed
	claimed    bool      // no other request with the ID was sent on the connection to the target, see rudderpath.Claim
}

// framed reports whether the response has a length or chunks. Otherwise it ends with its connection, which a crash of the
// target closes too.
func (r *reply) framed() bool {
	return r.response.ContentLength >= 0 || len(r.response.TransferEncoding) > 0
}

// reused reports whether the response arrived on a connection of this entry host that had carried other requests.
func (r *reply) reused() bool { return r.connection != nil && r.connection.reused }

// retire ends the use of the connection of a refusal. If the target writes the refusal once more, nobody else takes it for an answer.
func (r *reply) retire(requestID string) {
	if r.connection != nil {
		rudderpath.Retire(r.connection.Conn, requestID)
	}
}

// discard closes the connection of a wrong response. Closing the body is not enough: the HTTP client keeps
// the connection if the body is empty, and the next request on it could receive this response.
func (r *reply) discard() {
	_ = r.response.Body.Close()
	if r.connection != nil {
		_ = r.connection.Close()
	}
}

// send sends the request to the group's leader, directly or through another entry host, and returns the response once its
// headers have arrived.
func (f *Forwarder) send(ctx context.Context, j *job, g *rudderview.Group, lastEvent string) (*reply, error) {
	header := j.request.Header.Clone()
	f.Protocol.EncodeAttempt(header, Attempt{
		Target: g.Leader.Name, Remaining: j.remaining(f.Uptime()), Workspace: j.workspaceName(), Urgency: j.urgency(), LastEvent: lastEvent,
	})
	if _, named := header["User-Agent"]; !named {
		header["User-Agent"] = []string{""} // keeps the HTTP client from adding its own
	}
	f.Limits.CountSend(processOf(g.Leader), j.sends > 0)
	x := &exchange{job: j, group: g, header: header, repeatable: j.route.Repeatable(), last: !j.repeatable(), hang: j.hang, sentAt: f.Uptime()}
	return f.sendByPath(ctx, x)
}

// exchange is one request to a target and its response.
type exchange struct {
	job        *job
	group      *rudderview.Group
	header     http.Header
	repeatable bool
	last       bool // it is not sent again if this send fails
	hang       *hangGuard
	sentAt     time.Duration
}

// sendDirect sends a request over a connection of this entry host. If a reused connection turns out to be closed, the next
// one is used. With impatient set, it gives up a connection that is not set up soon; the error is errSlowConnect then.
func (f *Forwarder) sendDirect(ctx context.Context, x *exchange, impatient bool) (*reply, error) {
	for {
		answer, err := f.sendOnce(ctx, x, impatient)
		if !errors.Is(err, errClosedConnection) || ctx.Err() != nil {
			return answer, err
		}
		f.Metrics.Count("targets.closed_connections")
	}
}

func (f *Forwarder) sendOnce(ctx context.Context, x *exchange, impatient bool) (*reply, error) {
	if !f.accepts(x.group) {
		return nil, errors.Mark(errors.WithStack(errNotAccepting), ErrNotSent)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	attempt := f.startAttempt(ctx, cancel, x, impatient)
	answer := &reply{claimed: true}
	var err error
	answer.response, err = f.roundTrip(ctx, x, attempt) //nolint:bodyclose // whoever gets the reply closes it
	attempt.stop()
	if err == nil && attempt.closed.Load() {
		_ = answer.response.Body.Close()
		err = errors.WithStack(net.ErrClosed)
	}
	if err != nil {
		defer cancel(nil)
		return nil, f.sendError(ctx, x, attempt, err)
	}
	f.Path.Heard(x.group.Service)
	answer.response.Body = cancelledBody{answer.response.Body, cancel}
	answer.connection = attempt.used.Load()
	return f.receive(x, answer)
}

// sendError classifies the error of a send.
func (f *Forwarder) sendError(ctx context.Context, x *exchange, a *attempt, err error) error {
	t, cause := pathTarget(x.group.Leader), context.Cause(ctx)
	// A response has arrived, perhaps before the write of the request has been counted.
	responded := errors.Is(err, rudderbody.ErrNoMemory) || errors.Is(err, rudderresponse.ErrInvalidHead)
	if cause != nil {
		err = cause
	}
	connection := a.used.Load()
	switch unwritten := connection != nil && connection.unwritten(); {
	case a.abandoned():
		f.Path.Failed(t)
		return errors.Mark(err, ErrNotSent)
	case responded:
		return errors.Mark(err, ErrBroken)
	case unwritten && connection.reused:
		return errors.Mark(errors.Mark(err, ErrNotSent), errClosedConnection)
	case neverConnected(err) && cause == nil:
		f.Path.Failed(t)
		return errors.Mark(err, ErrNotSent)
	case unwritten || !a.wrote.Load() || neverConnected(err):
		return errors.Mark(err, ErrNotSent)
	}
	return f.blamePath(ctx, x.group.Leader, errors.Mark(err, ErrBroken))
}

// cancelledBody ends its request when it is closed.
type cancelledBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b cancelledBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// receive decodes the headers of a response and records what they tell about the target.
func (f *Forwarder) receive(x *exchange, answer *reply) (*reply, error) {
	j, g := x.job, x.group
	answer.Reply = f.Protocol.DecodeReply(answer.response)
	if !answersThisSend(x, answer) {
		_ = answer.response.Body.Close()
		answer.discard()
		return nil, errors.Mark(errors.Mark(errors.Newf("the response for request %q may belong to another send", answer.RequestID), ErrWrongAnswer), ErrBroken)
	}
	if answer.Load != nil {
		f.loads.report(g.Leader.Name, f.Uptime(), *answer.Load)
	}
	f.observeHeaders(j, g, answer)
	f.observeLimit(j, g, answer, x.sentAt)
	f.observeCold(j, g, answer)
	return answer, nil
}

// answersThisSend reports whether a response belongs to a send. On a reused connection, one without a request ID may be a duplicate
// for an earlier request. So may be a refusal that an entry host of an earlier version relays, while the request runs.
func answersThisSend(x *exchange, answer *reply) bool {
	switch {
	case answer.RequestID != x.job.request.ID:
		return answer.RequestID == "" && !answer.reused()
	case answer.NotRun:
		return answer.claimed || x.repeatable
	}
	return true
}

func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func notListening(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// request builds the request to a target. The request target is forwarded unchanged.
func (f *Forwarder) request(ctx context.Context, x *exchange) *http.Request {
	j, header := x.job, x.header
	request := (&http.Request{
		Method: j.method, URL: targetURL(x.group.Leader.Address, j.target), Host: j.host, Header: header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	// The body can be read only once, so that the HTTP client never retries a request on its own. An empty
	// body of unknown length has the same effect; the client retries requests without a body only for some
	// methods and header fields.
	request.Body = io.NopCloser(bytes.NewReader(j.body))
	request.ContentLength = int64(len(j.body))
	if len(j.body) == 0 {
		request.ContentLength = -1
		if lengthExpected(j.method) && !keyed(header) {
			request.Body, request.ContentLength = http.NoBody, 0
		}
	}
	return request
}

// lengthExpected reports whether an explicit length is sent with an empty body for this method.
func lengthExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// keyed reports whether the HTTP client takes a request for repeatable with any method. It does not look at the value of the key.
func keyed(h http.Header) bool {
	_, standard := h["Idempotency-Key"]
	_, other := h["X-Idempotency-Key"]
	return standard || other
}

// targetURL builds a URL that keeps path and query byte for byte.
func targetURL(address, target string) *url.URL {
	path, query, hasQuery := strings.Cut(target, "?")
	u := &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if strings.HasPrefix(path, "//") || !strings.HasPrefix(path, "/") {
		u.Opaque, u.Path = "", path
	}
	return u
}
