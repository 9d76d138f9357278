package rudderservice

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/shared/rudderresponse"
	"comfreyrudder.example/shared/ruddertarget"
)

// errSilent is the cancellation cause of an attempt whose connection is unresponsive according to the probes.
var errSilent = errors.New("service: connection silent")

func (d *Dispatcher) newTransport() *http.Transport {
	dial := d.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: d.ConnectTimeout}).DialContext
	}
	return &http.Transport{
		DialContext:            rudderpath.Track(d.Responses.Dial(rudderresponse.Dial(dial))),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    16,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: rudderbody.MaxHeadBytes,
	}
}

// attempt sends the call to one target and reads the whole response. If move is not nil and the target is silent, it is called
// to find another target, and the attempt ends if there is one.
func (d *Dispatcher) attempt(ctx context.Context, transport http.RoundTripper, address string, call *Call, move func(context.Context) bool) Result {
	if d.CheckPermit != nil {
		if err := d.CheckPermit(); err != nil {
			return notRun(http.StatusServiceUnavailable, CodeNoPermit, err.Error())
		}
	}
	var connection atomic.Pointer[httptrace.GotConnInfo]
	var written writeWatch
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connection.Store(&info)
			written.start(info.Conn)
			written.claimed.Store(rudderpath.Claim(info.Conn, call.RequestID))
			if !written.claimed.Load() {
				_ = info.Conn.Close() // the HTTP client takes another one
			}
		},
		WroteHeaders: func() { written.head.Store(true) },
	}
	ctx, cancel := context.WithCancelCause(httptrace.WithClientTrace(ctx, trace))
	defer cancel(nil)
	request, err := newTargetRequest(ctx, address, call)
	if err != nil {
		return notRun(http.StatusBadRequest, CodeBadRequest, err.Error())
	}
	if move != nil { // the connection may have been kept
		repeatUnsentOnly(request, call.Body, written.sent)
	}
	probes := make(chan struct{})
	go func() {
		defer close(probes)
		if d.Probe != nil {
			d.probeUntilSilent(ctx, cancel, address, move)
		}
	}()
	result := d.exchange(ctx, transport, request, call.Memory, &connection)
	cancel(nil)
	<-probes
	if connection.Load() != nil && !written.claimed.Load() { // what had arrived before the connection was closed is no response
		result = notRun(http.StatusServiceUnavailable, CodeUnreachable, "the connection was closed before the call was sent")
	}
	result.Target = address
	return result
}

func (d *Dispatcher) exchange(ctx context.Context, transport http.RoundTripper, request *http.Request, memory *rudderbody.Reservation, connection *atomic.Pointer[httptrace.GotConnInfo]) Result {
	sentAt := d.Clock.Now()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return failedResult(ctx, err, connection.Load() != nil)
	}
	defer func() { _ = response.Body.Close() }()
	if !d.isOwn(request, response, connection.Load()) {
		return mayHaveRun(http.StatusBadGateway, CodeInterrupted, "the target sent the answer to another call")
	}
	if d.OnResponse != nil {
		d.OnResponse(request.URL.Host, response.Header, sentAt)
	}
	if response.Header.Get(ruddertarget.HeaderNotRun) == "true" {
		if used := connection.Load(); used != nil {
			rudderpath.Retire(used.Conn, request.Header.Get(ruddertarget.HeaderRequestID))
		}
		return notRun(http.StatusServiceUnavailable, CodeRefused, "the target refused the call")
	}
	memory.Release() // an earlier attempt may have reserved some
	limit := d.MaxResponseBytes
	if length := response.ContentLength; length >= 0 {
		limit = min(limit, length) // no longer buffer than the answer
	}
	body, complete, err := memory.ReadPart(response.Body, limit+1)
	switch {
	case err != nil:
		return failedResult(ctx, err, true)
	case int64(len(body)) > limit:
		return mayHaveRun(http.StatusBadGateway, CodeAnswerTooLarge, "the target's answer is larger than the limit")
	case !complete:
		return failedResult(ctx, errors.Wrap(rudderbody.ErrNoMemory, "reading the answer"), true)
	}
	return Result{Outcome: OutcomeComplete, Status: response.StatusCode, Header: endToEnd(response.Header, "Content-Length", ruddertarget.HeaderRequestID), Body: body}
}

// isOwn reports whether a response belongs to a request. One that does not say so may be a late response to an earlier
// request if the connection is reused. The connection of another request's response is closed.
func (d *Dispatcher) isOwn(request *http.Request, response *http.Response, connection *httptrace.GotConnInfo) bool {
	id := response.Header.Get(ruddertarget.HeaderRequestID)
	own := id != "" && id == request.Header.Get(ruddertarget.HeaderRequestID)
	if own {
		d.naming.Store(request.URL.Host, true)
		return true
	}
	d.naming.Delete(request.URL.Host)
	if id == "" && (connection == nil || !connection.Reused) {
		return true
	}
	if connection != nil && connection.Conn != nil { // a relayed response has none
		_ = connection.Conn.Close()
	}
	return false
}

// idempotentTransport returns the transport for a call that may be retried. Connections are kept only to targets that name
// the request in their responses.
func (d *Dispatcher) idempotentTransport(address string) http.RoundTripper {
	if _, naming := d.naming.Load(address); naming {
		return d.persistent
	}
	return d.fresh
}

// failedResult returns the result of an attempt without a complete response. Once the attempt had a connection,
// bytes may have reached the target, so the outcome is no longer not_run.
func failedResult(ctx context.Context, err error, connected bool) Result {
	status, code := http.StatusBadGateway, CodeInterrupted
	switch cause := context.Cause(ctx); {
	case errors.Is(err, rudderbody.ErrNoMemory): // a part of the response has arrived
		connected, code = true, CodeMemoryFull
	case errors.Is(cause, errSilent):
		status, code = http.StatusGatewayTimeout, CodeSilent
	case errors.Is(cause, context.DeadlineExceeded):
		status, code = http.StatusGatewayTimeout, CodeTimeout
	case cause != nil:
		status, code = http.StatusServiceUnavailable, CodeCancelled
	case !connected:
		status, code = http.StatusServiceUnavailable, CodeUnreachable
	}
	if connected {
		return mayHaveRun(status, code, err.Error())
	}
	return notRun(status, code, err.Error())
}

const (
	// movableProbeInterval bounds the wait before each probe of a target whose call can be sent elsewhere.
	movableProbeInterval = 800 * time.Millisecond
	// decidingTime is how long the last probe of a silent target may take.
	decidingTime = 250 * time.Millisecond
	// probePause is the time between a probe that failed early and the next one.
	probePause = 50 * time.Millisecond
	// maxIdleProbes is the number of consecutive probes with which a target shows that it does not run the call.
	maxIdleProbes = 2
)

// probeUntilSilent probes the target while the call is open. It cancels the call with errSilent when the target has answered no
// probe for an interval, or has reported twice that no request runs or waits. A call that can be moved to another target is
// cancelled when this one counts as dead.
func (d *Dispatcher) probeUntilSilent(ctx context.Context, cancel context.CancelCauseFunc, address string, move func(context.Context) bool) {
	interval := d.ProbeInterval
	if move != nil {
		interval = min(interval, movableProbeInterval)
	}
	var silentSince time.Time // start of the first of the probes that have failed
	idle := 0
	for wait := interval; ; {
		select {
		case <-ctx.Done():
			return
		case <-d.Clock.After(wait):
		}
		dead := d.ProbeInterval
		if move != nil {
			dead = min(dead, ruddertarget.MinSilence+decidingTime)
		}
		if silentSince.IsZero() {
			silentSince = d.Clock.Now()
		}
		status, err := d.probe(ctx, address, max(dead-d.Clock.Since(silentSince), decidingTime))
		if ctx.Err() != nil {
			return
		}
		silent := d.Clock.Since(silentSince)
		wait = interval
		switch {
		case err != nil:
			wait = min(interval, probePause)
		case status.Load.Running+status.Load.Waiting > 0:
			silentSince, idle = time.Time{}, 0
		default:
			silentSince = time.Time{}
			idle++
		}
		if idle < maxIdleProbes && (err == nil || silent < dead-wait) {
			continue
		}
		if move == nil || move(ctx) {
			cancel(errSilent)
			return
		}
		move, interval, idle = nil, d.ProbeInterval, 0
	}
}

// probe reads the status of a target. It returns at the end of the timeout, even while another path to it is looked for.
func (d *Dispatcher) probe(ctx context.Context, address string, timeout time.Duration) (ruddertarget.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, min(timeout, d.ConnectTimeout))
	type answer struct {
		status ruddertarget.Status
		err    error
	}
	answered := make(chan answer, 1)
	go func() {
		status, err := d.Probe(ctx, address)
		answered <- answer{status, err}
	}()
	defer cancel()
	select {
	case a := <-answered:
		return a.status, a.err
	case <-ctx.Done():
		return ruddertarget.Status{}, ctx.Err()
	}
}

// newTargetRequest builds the request to a target, without the caller's credentials.
func newTargetRequest(ctx context.Context, address string, call *Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Newf("path %q does not start with a slash", call.Path)
	}
	target := url.URL{Scheme: "http", Host: address, Path: call.Path, RawQuery: call.RawQuery}
	var body io.Reader
	if len(call.Body) > 0 {
		// Hides the type of the reader: net/http sets GetBody for a bytes.Reader and could then resend the body.
		body = struct{ io.Reader }{bytes.NewReader(call.Body)}
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.Body))
	request.Header = endToEnd(call.Header, "Authorization", "Content-Length", "Expect", "Host")
	request.Header.Set(ruddertarget.HeaderRequestID, call.RequestID)
	return request, nil
}

// errSent stops the HTTP client from repeating a request on its own.
var errSent = errors.New("service: the connection broke after the call was sent")

// repeatUnsentOnly lets the HTTP client repeat a request on another connection only if it was not sent on the one that broke. The
// client repeats by itself what looks repeatable, besides the retry budget.
func repeatUnsentOnly(request *http.Request, body []byte, sent func() bool) {
	if request.Body == nil {
		if lengthExpected(request) {
			return
		}
		request.Body, request.ContentLength = newBody(nil), -1 // no body is sent, or an empty one in chunks
	}
	request.GetBody = func() (io.ReadCloser, error) {
		if sent() {
			return nil, errSent
		}
		return newBody(body), nil
	}
}

func newBody(text []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(text)) }

// lengthExpected reports whether a request without a body needs an explicit length. The HTTP client does not repeat it.
func lengthExpected(request *http.Request) bool {
	switch request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		_, keyed := request.Header[HeaderKey] // the client does not look at the value
		_, otherKeyed := request.Header["X-"+HeaderKey]
		return !keyed && !otherKeyed
	}
	return false
}

// hopByHop are the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd copies a header without the hop-by-hop fields, the fields that Connection lists and those in drop.
func endToEnd(header http.Header, drop ...string) http.Header {
	drop = append(slices.Clone(hopByHop), drop...)
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			drop = append(drop, strings.TrimSpace(name))
		}
	}
	kept := http.Header{}
	for name, values := range header {
		for _, v := range values {
			kept.Add(name, strings.ToValidUTF8(v, "?"))
		}
	}
	for _, name := range drop {
		kept.Del(name)
	}
	return kept
}
