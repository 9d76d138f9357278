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
	// ErrBroken reports that the answer did not come or broke off; the request may have run.
	ErrBroken = errors.New("forward: answer broken")
	// ErrWrongAnswer reports an answer that belongs to another request or has no seal.
	ErrWrongAnswer = errors.New("forward: answer of another request")
	// errGroupBroken ends a send whose group lost a member.
	errGroupBroken = errors.New("forward: group is broken")
	// errSilent ends a send whose target has been silent for too long.
	errSilent = errors.New("forward: target is silent")
)

// reply is a target's answer whose body is not read yet.
type reply struct {
	Reply
	response   *http.Response
	connection *net.Conn // that the answer came on
}

// discard closes the connection of an answer that is wrong. Closing the body is not enough: the client keeps the
// connection where the body is empty, and the next request on it may get the answer before its own.
func (r *reply) discard() {
	_ = r.response.Body.Close()
	if r.connection != nil {
		_ = (*r.connection).Close()
	}
}

// send sends the request to the group's leader and returns the head of the answer.
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
	// On a connection that was used before, an answer that names no request may be a second one to an earlier request.
	if answer.RequestID != j.request.ID && (answer.RequestID != "" || reused.Load()) {
		_ = response.Body.Close()
		answer.discard()
		return nil, errors.Mark(errors.Mark(errors.Newf("answer of request %q", answer.RequestID), ErrWrongAnswer), ErrBroken)
	}
	f.observeHead(j, g, answer)
	return answer, nil
}

func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func notListening(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// request builds the request for a target. The target line goes out as it came in.
func (f *Forwarder) request(ctx context.Context, j *job, g *rudderview.Group, lastEvent string) (*http.Request, error) {
	header := j.request.Header.Clone()
	f.Protocol.EncodeAttempt(header, Attempt{
		Target: g.Leader.Name, Remaining: j.remaining(f.Uptime()), Workspace: j.workspaceName(), Urgency: j.urgency(), LastEvent: lastEvent,
	})
	if _, named := header["User-Agent"]; !named {
		header["User-Agent"] = []string{""} // keeps the client from adding its own
	}
	request := (&http.Request{
		Method: j.method, URL: targetURL(g.Leader.Address, j.target), Host: j.host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	// The body can be read once, so that the client never sends a request twice by itself. An empty body
	// of unknown length has the same effect; only some methods and fields make the client repeat it.
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

// lengthExpected tells the methods for which the length of an empty body is sent.
func lengthExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// targetURL keeps path and query byte for byte.
func targetURL(address, target string) *url.URL {
	path, query, hasQuery := strings.Cut(target, "?")
	u := &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if strings.HasPrefix(path, "//") || !strings.HasPrefix(path, "/") {
		u.Opaque, u.Path = "", path
	}
	return u
}
