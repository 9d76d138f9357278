package rudderpath

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderbody"
)

// Errors of a relayed request. With all but ErrMayHaveRun, no byte of the request can have reached the target.
var (
	// ErrNoPeer reports that no entry host could try to reach the target.
	ErrNoPeer = errors.New("path: no entry host with a path to the target")
	// ErrUnreachable reports that another entry host, which reaches other targets, could not connect to this one.
	ErrUnreachable = errors.New("path: target is unreachable for another entry host too")
	// ErrRefused marks an ErrUnreachable of an entry host whose connection was refused.
	ErrRefused = errors.New("path: target refuses the connections of another entry host too")
	// ErrDeclined reports that the target is unknown to the other entry host or takes no requests.
	ErrDeclined = errors.New("path: target takes no requests")
	// ErrMayHaveRun reports that the response is missing or incomplete.
	ErrMayHaveRun = errors.New("path: response missing or incomplete")
)

// Outcomes of a relayed request, in the header of the response of the entry host that relays it.
const (
	// HeaderOutcome is the header field that holds the outcome.
	HeaderOutcome = "Relay-Outcome"
	// HeaderRefused is set with OutcomeUnreachable if the connection was refused.
	HeaderRefused = "Relay-Refused"
	// OutcomeAnswered means that the response of the target follows.
	OutcomeAnswered = "answered"
	// OutcomeNoPath means that the entry host reaches no target of the service.
	OutcomeNoPath = "no_path"
	// OutcomeBusy means that the entry host relays as many requests as it can, or stops.
	OutcomeBusy        = "busy"
	OutcomeUnreachable = "unreachable"
	OutcomeDeclined    = "declined"
	OutcomeMayHaveRun  = "may_have_run"
)

const (
	// PathPrefix is the path of the calls that relay requests.
	PathPrefix = "/rudder.path/send"
	// maxPeers is the number of entry hosts that a request is offered to.
	maxPeers = 3
	// noPathTTL is how long an entry host is not asked again after it had no path to a service.
	noPathTTL = time.Second
	// goodTTL is how long an entry host that has relayed a request is preferred when another one could not.
	goodTTL = 2 * time.Second
	// maxRemembered bounds the number of remembered entry hosts.
	maxRemembered = 4096
)

// Peer is another entry host.
type Peer struct{ Name, Address string }

// Relay sends requests through other entry hosts. Set the exported fields before use.
type Relay struct {
	Transport http.RoundTripper
	// Peers returns the other entry hosts. The list is not changed.
	Peers  func() []Peer
	Uptime func() time.Duration
	// Responses bounds the memory of the heads of responses; nil sets no bound.
	Responses *rudderbody.Budget

	mu     sync.Mutex
	noPath map[peerKey]time.Duration // uptime until which a peer is skipped
	good   map[peerKey]time.Duration // uptime until which a peer is preferred
}

type peerKey struct{ address, service string }

// Send sends a request through other entry hosts and returns the response once its headers have arrived.
func (r *Relay) Send(ctx context.Context, q Request) (*Response, error) {
	tried := map[string]bool{}
	limit, began := q.Remaining, r.Uptime()
	for range maxPeers {
		peer, found := r.choose(q.Service, tried)
		if !found || ctx.Err() != nil {
			break
		}
		if limit > 0 {
			q.Remaining = max(limit-(r.Uptime()-began), time.Millisecond)
		}
		message, err := q.Encode()
		if err != nil {
			return nil, errors.Mark(err, ErrNoPeer)
		}
		response, err := r.sendThrough(ctx, peer, q.Service, message)
		if err == nil || !errors.Is(err, ErrNoPeer) {
			return response, err
		}
		tried[peer.Address] = true
	}
	return nil, ErrNoPeer
}

// Witnesses is what other entry hosts with a path say about a target.
type Witnesses struct {
	// Refused is the number of those whose connections are refused, and Others that of those that reach it or find it silent.
	Refused, Others int
}

// Ask sends a request that has no effect through other entry hosts until the wanted number of them has said something about the target.
// Those without a path are replaced. The second result is the number of other entry hosts.
func (r *Relay) Ask(ctx context.Context, q Request, wanted int) (w Witnesses, peers int) {
	list := slices.Clone(r.Peers())
	peers = len(list)
	rand.Shuffle(peers, func(i, k int) { list[i], list[k] = list[k], list[i] })
	message, err := q.Encode()
	for err == nil && len(list) > 0 && w.Refused < wanted && w.Others == 0 && ctx.Err() == nil {
		batch := list[:min(wanted-w.Refused, len(list))]
		list = list[len(batch):]
		results := make(chan error, len(batch))
		for _, p := range batch {
			go func() { results <- r.ask(ctx, p, q.Service, message) }()
		}
		for range batch {
			switch err := <-results; {
			case errors.Is(err, ErrRefused):
				w.Refused++
			case err == nil || errors.Is(err, ErrUnreachable) || errors.Is(err, ErrMayHaveRun):
				w.Others++
			}
		}
	}
	return w, peers
}

func (r *Relay) ask(ctx context.Context, p Peer, service string, message []byte) error {
	response, err := r.sendThrough(ctx, p, service, message)
	if err == nil {
		_ = response.Body.Close()
	}
	return err
}

// Usable reports whether another entry host may have a path to the targets of a service.
func (r *Relay) Usable(service string) bool {
	now, list := r.Uptime(), r.Peers()
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(list, func(p Peer) bool { return r.noPath[peerKey{p.Address, service}] <= now })
}

// choose draws a peer at random. After another peer could not relay the request, it prefers those that have relayed one.
func (r *Relay) choose(service string, tried map[string]bool) (Peer, bool) {
	now := r.Uptime()
	list := r.Peers()
	r.mu.Lock()
	defer r.mu.Unlock()
	list = slices.DeleteFunc(slices.Clone(list), func(p Peer) bool { return tried[p.Address] || r.noPath[peerKey{p.Address, service}] > now })
	if len(tried) > 0 {
		good := slices.DeleteFunc(slices.Clone(list), func(p Peer) bool { return r.good[peerKey{p.Address, service}] <= now })
		if len(good) > 0 {
			list = good
		}
	}
	if len(list) == 0 {
		return Peer{}, false
	}
	return list[rand.IntN(len(list))], true
}

func (r *Relay) remember(p Peer, service string, good bool) {
	now := r.Uptime()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.noPath == nil || len(r.noPath)+len(r.good) > maxRemembered {
		r.noPath, r.good = map[peerKey]time.Duration{}, map[peerKey]time.Duration{}
	}
	key := peerKey{p.Address, service}
	if good {
		r.good[key] = now + goodTTL
		delete(r.noPath, key)
		return
	}
	delete(r.good, key)
	r.noPath[key] = now + noPathTTL
}

// sendThrough sends a request through one peer. The error is ErrNoPeer if another peer may be tried.
func (r *Relay) sendThrough(ctx context.Context, p Peer, service string, message []byte) (*Response, error) {
	// The cause of a cancellation is not passed on, so that the transport does not take it for a broken connection.
	callContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	memory := r.Responses.Reservation(headCopies)
	end := func() { detach(); cancel(); memory.Release() }
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(callContext, trace), http.MethodPost, "http://"+p.Address+PathPrefix, bytes.NewReader(message))
	if err != nil {
		end()
		return nil, errors.Mark(err, ErrNoPeer)
	}
	response, err := r.Transport.RoundTrip(request)
	if err != nil {
		end()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		} else {
			r.remember(p, service, false)
		}
		if !wrote.Load() {
			return nil, errors.Mark(err, ErrNoPeer)
		}
		return nil, errors.Mark(err, ErrMayHaveRun)
	}
	outcome := response.Header.Get(HeaderOutcome)
	if response.StatusCode == http.StatusOK && outcome == OutcomeAnswered {
		r.remember(p, service, true)
		answer, err := readResponse(body{response.Body, end}, memory)
		if err != nil {
			_ = response.Body.Close()
			end()
			return nil, errors.Mark(err, ErrMayHaveRun)
		}
		return answer, nil
	}
	_ = response.Body.Close()
	end()
	switch outcome {
	case OutcomeUnreachable:
		err = ErrUnreachable
		if response.Header.Get(HeaderRefused) != "" {
			err = errors.Mark(err, ErrRefused)
		}
	case OutcomeDeclined:
		err = ErrDeclined
	case OutcomeMayHaveRun:
		err = ErrMayHaveRun
	case OutcomeBusy:
		err = ErrNoPeer
	case OutcomeNoPath:
		r.remember(p, service, false)
		err = ErrNoPeer
	default:
		r.remember(p, service, false)
		err = unknownOutcome(response.StatusCode)
	}
	return nil, errors.Wrapf(err, "relay %s answered %d %q", p.Name, response.StatusCode, outcome)
}

// unknownOutcome returns the error for a response without an outcome of this version. Calls are rejected with a client error before
// they are relayed: without a valid signature, malformed or too large. A server error may follow a send.
func unknownOutcome(status int) error {
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return ErrNoPeer
	}
	return ErrMayHaveRun
}

// body ends its call when it is closed.
type body struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b body) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}
