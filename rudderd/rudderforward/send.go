package rudderforward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderview"
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
	// errPoisoned cancels a send that has not begun, because the request would crash the target.
	errPoisoned = errors.New("forward: a part of the prompt crashes targets")
)

// reply is a target's response whose body has not been read yet.
type reply struct {
	Reply
	response   *http.Response
	connection *net.Conn // connection on which the response arrived
}

// framed reports whether the response has a length or chunks. Otherwise it ends with its connection, which a crash of the
// target closes too.
func (r *reply) framed() bool {
	return r.response.ContentLength >= 0 || len(r.response.TransferEncoding) > 0
}

// discard closes the connection of a wrong response. Closing the body is not enough: the HTTP client keeps
// the connection if the body is empty, and the next request on it could receive this response.
func (r *reply) discard() {
	_ = r.response.Body.Close()
	if r.connection != nil {
		_ = (*r.connection).Close()
	}
}

// send sends the request to the group's leader and returns the response once its headers have arrived.
func (f *Forwarder) send(ctx context.Context, j *job, g *rudderview.Group, lastEvent string) (*reply, error) {
	var wrote, reused atomic.Bool
	var used atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			reused.Store(info.Reused)
			used.Store(&info.Conn)
			if !info.Reused {
				f.Metrics.Count("targets.connections")
			}
		},
		WroteHeaders: func() { wrote.Store(true) },
	}
	request, err := f.request(httptrace.WithClientTrace(ctx, trace), j, g, lastEvent)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	f.Limits.CountSend(processOf(g.Leader), j.sends > 0)
	sentAt := f.Uptime()
	response, err := f.Client.Do(request)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if !wrote.Load() || neverConnected(err) {
			return nil, errors.Mark(err, ErrNotSent)
		}
		return nil, errors.Mark(err, ErrBroken)
	}
	answer := &reply{Reply: f.Protocol.DecodeReply(response), response: response, connection: used.Load()}
	if answer.Load != nil {
		f.loads.report(g.Leader.Name, f.Uptime(), *answer.Load)
	}
	// On a reused connection, a response without a request ID may be a duplicate for an earlier request.
	if answer.RequestID != j.request.ID && (answer.RequestID != "" || reused.Load()) {
		_ = response.Body.Close()
		answer.discard()
		return nil, errors.Mark(errors.Mark(errors.Newf("got the response for request %q", answer.RequestID), ErrWrongAnswer), ErrBroken)
	}
	f.observeHeaders(j, g, answer)
	f.observeLimit(j, g, answer, sentAt)
	return answer, nil
}

func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func notListening(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// request builds the request to a target. The request target is forwarded unchanged.
func (f *Forwarder) request(ctx context.Context, j *job, g *rudderview.Group, lastEvent string) (*http.Request, error) {
	header := j.request.Header.Clone()
	f.Protocol.EncodeAttempt(header, Attempt{
		Target: g.Leader.Name, Remaining: j.remaining(f.Uptime()), Workspace: j.workspaceName(), Urgency: j.urgency(), LastEvent: lastEvent,
	})
	if _, named := header["User-Agent"]; !named {
		header["User-Agent"] = []string{""} // keeps the HTTP client from adding its own
	}
	request := (&http.Request{
		Method: j.method, URL: targetURL(g.Leader.Address, j.target), Host: j.host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	// The body can be read only once, so that the HTTP client never retries a request on its own. An empty
	// body of unknown length has the same effect; the client retries requests without a body only for some
	// methods and header fields.
	request.Body = io.NopCloser(bytes.NewReader(j.body))
	request.ContentLength = int64(len(j.body))
	if len(j.body) == 0 {
		request.ContentLength = -1
		if lengthExpected(j.method) && header.Get("Idempotency-Key") == "" && header.Get("X-Idempotency-Key") == "" {
			request.Body, request.ContentLength = http.NoBody, 0
		}
	}
	return request, nil
}

// lengthExpected reports whether an explicit length is sent with an empty body for this method.
func lengthExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
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
