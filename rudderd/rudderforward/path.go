package rudderforward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// answerSilence is the time without response headers after which the path to the target is checked, unless other
	// targets of the service answer. At secondAnswerSilence it is checked in any case.
	answerSilence       = 200 * time.Millisecond
	secondAnswerSilence = 700 * time.Millisecond
)

func pathTarget(t *rudderview.Target) rudderpath.Target {
	return rudderpath.Target{Name: t.Name, Born: t.Born, Service: t.Service, Address: t.Address}
}

// sendByPath sends a request directly, or through another entry host if this one cannot reach the target.
func (f *Forwarder) sendByPath(ctx context.Context, x *exchange) (*reply, error) {
	t := pathTarget(x.group.Leader)
	x.job.relayed = false
	usable := len(x.job.body) <= rudderpath.MaxBodyBytes && f.Relay.Usable(t.Service)
	if usable && !f.Path.Direct(t) {
		answer, err := f.sendRelayed(ctx, x)
		if !errors.Is(err, rudderpath.ErrNoPeer) || ctx.Err() != nil {
			return answer, err
		}
		if !x.repeatable && f.Path.Cut(t.Service) {
			return nil, errors.Mark(err, errNoPath) // an established connection may take the request and no answer arrive
		}
		usable, x.job.relayed = false, false
	}
	answer, err := f.sendDirect(ctx, x, usable)
	if !errors.Is(err, ErrNotSent) || ctx.Err() != nil {
		return answer, err
	}
	if usable && !f.Path.Direct(t) {
		relayed, relayErr := f.sendRelayed(ctx, x)
		if !errors.Is(relayErr, ErrNotSent) {
			return relayed, relayErr
		}
		x.job.relayed = false
		if errors.Is(relayErr, rudderpath.ErrUnreachable) {
			return nil, err // another entry host confirms it
		}
	}
	if f.Path.Cut(t.Service) {
		err = errors.Mark(err, errNoPath)
	}
	return nil, err
}

// sendRelayed sends a request through another entry host.
func (f *Forwarder) sendRelayed(ctx context.Context, x *exchange) (*reply, error) {
	j, t := x.job, x.group.Leader
	if !f.accepts(x.group) {
		return nil, errors.Mark(errors.WithStack(errNotAccepting), ErrNotSent)
	}
	j.relayed = true
	// The message with the body is held twice, for its signature and to be sent.
	size := int64(len(j.body))
	if j.memory.Resize((1+relayCopies)*size) != nil {
		f.Metrics.Count("relayed.no_memory")
		return nil, errors.Mark(errors.WithStack(rudderpath.ErrNoPeer), ErrNotSent)
	}
	defer func() { _ = j.memory.Resize(size) }()
	remaining := j.remaining(f.Uptime())
	f.Protocol.SetRemaining(x.header, remaining)
	response, err := f.Relay.Send(ctx, rudderpath.Request{ //nolint:bodyclose // whoever gets the reply closes it
		Target: t.Name, Born: t.Born, Service: t.Service, ID: j.request.ID, Remaining: remaining, Repeatable: !x.last,
		Method: j.method, RequestTarget: j.target, Host: j.host, Header: x.header, Body: j.body,
	})
	switch {
	case errors.Is(err, rudderpath.ErrMayHaveRun):
		return nil, errors.Mark(err, ErrBroken)
	case err != nil:
		f.Metrics.Count("relayed.not_sent")
		return nil, errors.Mark(err, ErrNotSent)
	}
	f.Metrics.Count("relayed.sent")
	return f.receive(x, &reply{response: response.Response, claimed: response.Claimed})
}

// blamePath marks the error of a direct send or response if this entry host reaches no target of the service.
func (f *Forwarder) blamePath(ctx context.Context, t *rudderview.Target, err error) error {
	if ctx.Err() == nil && f.Path.Lost(pathTarget(t)) {
		return errors.Mark(err, errPathLost)
	}
	return err
}

// attempt watches the path of one direct send until its response headers arrive.
type attempt struct {
	forwarder *Forwarder
	exchange  *exchange
	header    http.Header // of the request
	cancel    context.CancelCauseFunc
	wrote     atomic.Bool
	used      atomic.Pointer[sendConn]
	closed    atomic.Bool // the latest connection, before a byte of the request was written to it
	state     atomic.Int32
	dialledAt atomic.Int64 // uptime in nanoseconds

	mu    sync.Mutex
	timer *time.Timer
	ended bool
	// responding is set when a byte of the response has arrived.
	responding bool
}

// States of an attempt.
const (
	attemptConnecting = iota
	attemptConnected
	attemptAbandoned
)

func (f *Forwarder) startAttempt(ctx context.Context, cancel context.CancelCauseFunc, x *exchange, impatient bool) *attempt {
	a := &attempt{forwarder: f, exchange: x, cancel: cancel}
	if impatient {
		a.schedule(f.Path.ConnectTimeout(), a.checkConnect)
	}
	return a
}

// schedule calls check after a time. It waits once more if this process was delayed, because what has arrived meanwhile may
// not have been read yet.
func (a *attempt) schedule(d time.Duration, check func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	due := a.forwarder.Uptime() + d
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(d, func() {
		if a.forwarder.Uptime()-due > min(maxTimerDelay, d/2) {
			a.schedule(d, check)
			return
		}
		check()
	})
}

func (a *attempt) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

func (a *attempt) abandoned() bool { return a.state.Load() == attemptAbandoned }

// refuse closes a connection before a byte of the request is written to it. What is still read from it is no response to the request.
func (a *attempt) refuse(c net.Conn) {
	a.closed.Store(true)
	_ = c.Close()
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		ConnectStart: func(string, string) { a.dialledAt.Store(int64(a.forwarder.Uptime())) },
		GotConn: func(info httptrace.GotConnInfo) {
			connection := newSendConn(info.Conn, a.exchange.job.request.ID, info.Reused)
			if !connection.claimed {
				if a.state.Load() != attemptConnected { // else the request may have been written to an earlier one
					a.used.Store(connection)
				}
				a.forwarder.Metrics.Count("targets.replaced_connections")
				a.refuse(info.Conn) // the HTTP client or sendDirect takes another one
				return
			}
			if !a.state.CompareAndSwap(attemptConnecting, attemptConnected) {
				a.refuse(info.Conn) // the request goes another way, so nothing of it may be written here
				return
			}
			a.used.Store(connection)
			a.closed.Store(false)
			a.forwarder.Protocol.SetRemaining(a.header, a.exchange.job.remaining(a.forwarder.Uptime())) // less than before the connect
			if !info.Reused {
				a.forwarder.Metrics.Count("targets.connections")
				if began := a.dialledAt.Load(); began > 0 {
					a.forwarder.Path.ConnectTook(a.forwarder.Uptime() - time.Duration(began))
				}
				a.forwarder.Path.Connected(pathTarget(a.exchange.group.Leader))
				if !a.forwarder.accepts(a.exchange.group) { // its set-up may have taken a second
					a.cancel(errNotAccepting)
					a.refuse(info.Conn)
					return
				}
			}
			a.schedule(answerSilence, a.checkAnswer)
		},
		WroteHeaders:         func() { a.wrote.Store(true) },
		GotFirstResponseByte: a.recordResponse,
	}
}

// checkConnect gives up a connection that is not set up in time.
func (a *attempt) checkConnect() {
	if a.state.CompareAndSwap(attemptConnecting, attemptAbandoned) {
		a.cancel(errSlowConnect)
	}
}

// checkAnswer checks the path of a request without a response. If nothing answers, a request that may be sent again is
// cancelled.
func (a *attempt) checkAnswer() {
	t := pathTarget(a.exchange.group.Leader)
	if a.forwarder.Path.HeardWithin(t.Service, answerSilence) {
		a.schedule(secondAnswerSilence-answerSilence, a.checkPath)
		return
	}
	a.checkPath()
}

// cancelForNext cancels a send whose target this entry host does not reach, if the request can be sent through another entry host
// or to another target. It reports whether the send has ended.
func (a *attempt) cancelForNext() bool {
	reached := a.forwarder.ReachedElsewhere(context.Background(), a.exchange.group.Leader)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended && a.exchange.hang.takeNext(!reached) {
		a.cancel(errPathLost)
		return true
	}
	return a.ended // a response has arrived meanwhile
}

func (a *attempt) checkPath() {
	t := pathTarget(a.exchange.group.Leader)
	if !a.forwarder.Relay.Usable(t.Service) {
		return
	}
	if !a.exchange.last && a.forwarder.Path.Check(t) == rudderpath.Silent && a.cancelForNext() {
		return
	}
	a.schedule(secondAnswerSilence, a.checkPath)
}
