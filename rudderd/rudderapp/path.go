package rudderapp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderowner"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// linkTimeout bounds the set-up of a connection to a target before another path is tried.
	linkTimeout = 250 * time.Millisecond
	// relayDialTimeout bounds the set-up of a connection to an entry host that relays requests.
	relayDialTimeout = 400 * time.Millisecond
	// soundGroupWait is how long work waits for a group that is not silent before it takes any. Silent ones may go on soon.
	soundGroupWait = 250 * time.Millisecond
	// pathTargetsTTL is how long the list of targets is reused.
	pathTargetsTTL = time.Second
)

// paths sends requests to targets, through other entry hosts while this one does not reach the targets.
type paths struct {
	monitor  *rudderpath.Monitor
	relay    *rudderpath.Relay
	direct   *http.Transport // for relayed requests: a new connection each
	relaying atomic.Int64    // requests of other entry hosts

	mu      sync.Mutex
	targets map[string]rudderpath.Target // by address
	readAt  time.Time
}

// wirePaths connects the paths to targets. It has to run before the parts that call targets are connected.
func (a *App) wirePaths() {
	dial := a.TargetDial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	started := a.Clock.Now()
	uptime := func() time.Duration { return a.Clock.Since(started) + 1 }
	a.paths.monitor = &rudderpath.Monitor{
		Uptime: uptime, Dial: dial,
		Targets: func() []rudderpath.Target {
			var list []rudderpath.Target
			for _, t := range a.pathTargets() {
				list = append(list, t)
			}
			return list
		},
		EntryHosts: func() int { return len(a.node.Live()) },
		OnChange: func(t rudderpath.Target, reachable bool) {
			a.Logger.Info().Str("target", t.Name).Bool("reachable", reachable).Bool("isolated", a.paths.monitor.Isolated()).Msg("path to a target changed")
		},
	}
	base := a.PeerTransport
	if base == nil {
		base = &rudderpeer.Pool{Dial: (&net.Dialer{Timeout: relayDialTimeout}).DialContext}
	}
	a.paths.relay = &rudderpath.Relay{
		Uptime: uptime, Peers: a.pathPeers, Responses: a.memory.Responses, Transport: &rudderpeer.Transport{Keys: a.keyring(), Clock: a.Clock, Base: base},
	}
	a.paths.direct = a.newTargetTransport(a.memory.Responses)
	a.paths.direct.DisableKeepAlives = true
}

// pathTargets returns the members of all groups by address. Those of a fabric domain share their path.
func (a *App) pathTargets() map[string]rudderpath.Target {
	a.paths.mu.Lock()
	defer a.paths.mu.Unlock()
	now := a.Clock.Now()
	if a.paths.targets != nil && now.Sub(a.paths.readAt) < pathTargetsTTL {
		return a.paths.targets
	}
	targets := make(map[string]rudderpath.Target)
	for _, plan := range a.fleet.Plans() {
		for _, g := range plan.Groups {
			for _, m := range g.Members {
				targets[m.Address] = rudderpath.Target{Name: m.Host, Service: plan.Domain, Address: m.Address}
			}
		}
	}
	a.paths.targets, a.paths.readAt = targets, now
	return targets
}

func (a *App) pathTarget(address string) rudderpath.Target {
	if t, known := a.pathTargets()[address]; known {
		return t
	}
	return rudderpath.Target{Name: address, Address: address}
}

func (a *App) pathPeers() []rudderpath.Peer {
	var peers []rudderpath.Peer
	for _, m := range a.node.Live() {
		if m.Name != a.self.Name {
			peers = append(peers, rudderpath.Peer{Name: m.Name, Address: m.PeerAddress})
		}
	}
	return peers
}

// cutOff reports whether this entry host reaches no targets of a fabric domain, so that what it does not reach there may
// be alive.
func (a *App) cutOff(domain string) bool {
	return a.paths.monitor.Isolated() || a.paths.monitor.Cut(domain)
}

// silentGroups returns the groups with a member that does not accept connections.
func (a *App) silentGroups() []string {
	var groups []string
	for _, t := range a.paths.monitor.Unreachable() {
		plan, _ := a.fleet.Plan(t.Service)
		for _, g := range plan.Groups {
			if slices.ContainsFunc(g.Members, func(m ruddergroup.Member) bool { return m.Address == t.Address }) {
				groups = append(groups, g.ID)
			}
		}
	}
	return groups
}

// acquire waits for a slot. It avoids silent groups if others soon have room.
func (a *App) acquire(ctx context.Context, work rudderowner.Work) (*rudderowner.Slot, error) {
	if silent := a.silentGroups(); len(silent) > 0 {
		first, until := work, a.Clock.Now().Add(soundGroupWait)
		first.RequestID += "~" // its removal from a queue may still be under way later
		first.Avoid = slices.Concat(work.Avoid, silent)
		if first.Deadline.IsZero() || until.Before(first.Deadline) {
			first.Deadline = until
		}
		if slot, err := a.owner.Acquire(ctx, first); err == nil || ctx.Err() != nil {
			return slot, err
		}
	}
	return a.owner.Acquire(ctx, work)
}

// dialTarget opens a connection to a target and records the result.
func (a *App) dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	dial, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	conn, err := a.paths.monitor.Dial(dial, network, address)
	switch {
	case err == nil:
		a.paths.monitor.Connected(a.pathTarget(address))
	case ctx.Err() == nil:
		a.paths.monitor.Failed(a.pathTarget(address))
	}
	return conn, err
}

// pathTransport sends requests directly, or through another entry host while this one does not reach the target.
type pathTransport struct {
	app    *App
	direct http.RoundTripper
}

func (a *App) throughPath(direct http.RoundTripper) http.RoundTripper {
	return pathTransport{app: a, direct: checked(direct)}
}

// RoundTrip implements http.RoundTripper.
func (p pathTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := bodyOf(r)
	if err != nil {
		return nil, err
	}
	target := p.app.pathTarget(r.URL.Host)
	if !p.app.paths.monitor.Direct(target) {
		response, err := p.app.sendRelayed(r, target, body)
		if !errors.Is(err, rudderpath.ErrNoPeer) {
			return response, err
		}
	}
	response, err := p.direct.RoundTrip(withBody(r, body))
	if err == nil || !isDial(err) || r.Context().Err() != nil || !p.app.paths.monitor.Lost(target) {
		return response, err
	}
	response, relayed := p.app.sendRelayed(r, target, body)
	if errors.Is(relayed, rudderpath.ErrNoPeer) {
		return nil, err
	}
	return response, relayed
}

func isDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func bodyOf(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer func() { _ = r.Body.Close() }()
	return io.ReadAll(r.Body)
}

// withBody returns a copy of a request. Only a copy of one that could be sent again can be sent again.
func withBody(r *http.Request, body []byte) *http.Request {
	copied := r.WithContext(r.Context())
	if r.Body == nil || r.Body == http.NoBody || len(body) == 0 && r.GetBody == nil {
		copied.Body, copied.GetBody = http.NoBody, nil
		return copied
	}
	copied.Body = io.NopCloser(bytes.NewReader(body))
	if r.GetBody != nil {
		copied.GetBody = func() (io.ReadCloser, error) {
			original, err := r.GetBody()
			if err != nil {
				return nil, err
			}
			return io.NopCloser(bytes.NewReader(body)), original.Close()
		}
	}
	return copied
}

// untraced hides the values of a context, so that the trace of a request does not see the connection to another entry host.
type untraced struct{ context.Context }

// Value implements context.Context.
func (untraced) Value(any) any { return nil }

// sendRelayed sends a request through another entry host. An error with which the request has not reached the target is
// ErrNoPeer or that of a dial.
func (a *App) sendRelayed(r *http.Request, target rudderpath.Target, body []byte) (*http.Response, error) {
	q := rudderpath.Request{
		Target: target.Address, Service: target.Service, Method: r.Method, RequestTarget: r.URL.RequestURI(), Host: r.Host, Header: r.Header, Body: body,
	}
	if deadline, limited := r.Context().Deadline(); limited {
		q.Remaining = time.Until(deadline)
	}
	response, err := a.paths.relay.Send(untraced{r.Context()}, q)
	if errors.Is(err, rudderpath.ErrNoPeer) {
		return nil, err
	}
	if errors.Is(err, rudderpath.ErrUnreachable) || errors.Is(err, rudderpath.ErrDeclined) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{}) // bytes may have reached the target
	}
	if err != nil {
		return nil, err
	}
	return response.Response, nil
}

// serveRelayed sends a request to a target for another entry host that does not reach it: directly or not at all.
func (a *App) serveRelayed(w http.ResponseWriter, r *http.Request) {
	q, err := rudderpath.DecodeRequest(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	relaying := a.paths.relaying.Add(1)
	defer a.paths.relaying.Add(-1)
	refuse := func(outcome string) {
		a.Logger.Info().Str("target", q.Target).Str("path", q.RequestTarget).Str("outcome", outcome).Msg("request of another entry host was not relayed")
		rudderpath.Refuse(w, outcome)
	}
	if relaying > int64(a.Settings.MaxInFlight) || a.stopping.begun() {
		refuse(rudderpath.OutcomeBusy)
		return
	}
	ctx := r.Context()
	if q.Remaining > 0 {
		limited, cancel := context.WithTimeout(ctx, q.Remaining)
		defer cancel()
		ctx = limited
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, q.Method, "http://"+q.Target+q.RequestTarget, io.NopCloser(bytes.NewReader(q.Body)))
	if err != nil {
		refuse(rudderpath.OutcomeDeclined)
		return
	}
	request.Header, request.Host, request.ContentLength = q.Header, q.Host, int64(len(q.Body))
	if len(q.Body) == 0 {
		request.Body = http.NoBody
	}
	response, err := a.memory.Responses.Do(request, checked(a.paths.direct).RoundTrip)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		if rudderpath.CopyResponse(w, response, func() {}) != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	switch {
	case connected.Load():
		refuse(rudderpath.OutcomeMayHaveRun)
	case a.cutOff(q.Service):
		refuse(rudderpath.OutcomeNoPath)
	default:
		if errors.Is(err, syscall.ECONNREFUSED) {
			w.Header().Set(rudderpath.HeaderRefused, "1")
		}
		refuse(rudderpath.OutcomeUnreachable)
	}
}
