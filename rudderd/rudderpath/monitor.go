// Package rudderpath decides how requests get from an entry host to targets: directly, or through another entry host while
// this one cannot reach them.
package rudderpath

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxConnectTimeout bounds the set-up of a connection before another path is tried. Less than that is allowed for once it
	// is known how long a connection takes: connectTimes times as long, and minConnectTimeout for delays of this process.
	maxConnectTimeout = 500 * time.Millisecond
	minConnectTimeout = 150 * time.Millisecond
	connectTimes      = 4
	// connectTimeDecay is how fast a long set-up is forgotten, for each shorter one.
	connectTimeDecay = 0.95
	// checkTTL is how long the result of a check is reused.
	checkTTL = 300 * time.Millisecond
	// recheckInterval is the time between two rounds of checks of unreachable targets.
	recheckInterval = time.Second
	// maxRecheckFailures ends a round of checks.
	maxRecheckFailures = 2
	// confirmChecks is the number of other targets that are checked when a target becomes unreachable.
	confirmChecks = 2
	// maxServices bounds the services of which targets are checked then.
	maxServices = 8
	// fleetCheckRate is the number of checks per second that all entry hosts may start together because a target is
	// silent. minCheckRate is the lowest rate of one entry host, and checkBurst the number of checks that it may save up.
	fleetCheckRate = 60
	minCheckRate   = 1
	checkBurst     = 6
	// isolatedTargets is the number of unreachable targets from which on the fault is on this side.
	isolatedTargets = 2
)

// Target is one process of a target.
type Target struct {
	Name    string
	Born    int64
	Service string
	Address string
}

// Result is the result of a check.
type Result int

// Results of checks.
const (
	// Unknown means that there is no evidence.
	Unknown Result = iota
	// Connected means that the target accepted a connection.
	Connected
	// Refused means that the connection was refused or reset.
	Refused
	// Silent means that nothing answered.
	Silent
)

// Monitor keeps which targets this entry host reaches, by the new connections that it has tried itself. An established
// connection may live on while new ones fail, so that responses are no evidence. Set the exported fields before use.
type Monitor struct {
	Uptime func() time.Duration
	// Dial opens a connection to a target.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Targets returns all targets.
	Targets func() []Target
	// EntryHosts returns the number of entry hosts.
	EntryHosts func() int
	// OnChange is called when a target becomes unreachable or reachable.
	OnChange func(t Target, reachable bool)

	mu          sync.Mutex
	unreachable map[process]lostTarget
	connected   map[string]time.Duration // uptime of the last connection, by service
	heard       map[string]time.Duration // uptime of the last response or event, by service
	checks      map[process]*check
	tokens      float64
	filledAt    time.Duration
	connectTime time.Duration // time that connections take, at most
	confirming  chan struct{} // closed when other targets have been checked; nil while none are
}

type process struct {
	name string
	born int64
}

func (t Target) process() process { return process{t.Name, t.Born} }

type lostTarget struct {
	target Target
	since  time.Duration
	at     time.Duration // of the last failure
}

type check struct {
	done    chan struct{}
	endedAt time.Duration // 0 while it runs
	result  Result
}

// Connected records that a target accepted a new connection.
func (m *Monitor) Connected(t Target) {
	m.mu.Lock()
	if m.connected == nil {
		m.connected = map[string]time.Duration{}
	}
	m.connected[t.Service] = m.Uptime()
	_, changed := m.unreachable[t.process()]
	delete(m.unreachable, t.process())
	m.mu.Unlock()
	if changed {
		m.OnChange(t, true)
	}
}

// ConnectTook records how long the set-up of a connection took.
func (m *Monitor) ConnectTook(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connectTime = max(d, time.Duration(connectTimeDecay*float64(m.connectTime)), 1)
}

// ConnectTimeout returns the time after which a connection that is not set up should be given up for another path.
func (m *Monitor) ConnectTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connectTime == 0 {
		return maxConnectTimeout
	}
	return min(minConnectTimeout+connectTimes*m.connectTime, maxConnectTimeout)
}

// Heard records that a target of a service has sent something.
func (m *Monitor) Heard(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard == nil {
		m.heard = map[string]time.Duration{}
	}
	m.heard[service] = m.Uptime()
}

// HeardWithin reports whether a target of a service has sent something within a time.
func (m *Monitor) HeardWithin(service string, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, known := m.heard[service]
	return known && m.Uptime()-at <= d
}

// Failed records that a target did not accept a new connection. Other targets are checked to find out on which side the
// fault is.
func (m *Monitor) Failed(t Target) {
	cut := m.Cut(t.Service)
	m.mu.Lock()
	if m.unreachable == nil {
		m.unreachable = map[process]lostTarget{}
	}
	now := m.Uptime()
	x, known := m.unreachable[t.process()]
	if !known {
		x = lostTarget{target: t, since: now}
	}
	x.at = now
	m.unreachable[t.process()] = x
	confirm := !known && !cut && m.confirming == nil
	if confirm {
		m.confirming = make(chan struct{})
	}
	m.mu.Unlock()
	if !known {
		m.OnChange(t, false)
	}
	if confirm {
		go m.confirm(t)
	}
}

// Lost reports whether a target no longer accepts connections because this entry host reaches no target of the service. It
// checks the target and others.
func (m *Monitor) Lost(t Target) bool {
	if result := m.check(t); result == Connected || result == Unknown {
		return false
	}
	m.mu.Lock()
	confirming := m.confirming
	m.mu.Unlock()
	if confirming != nil {
		<-confirming
	}
	recent, _ := m.countUnreachable(t.Service)
	return recent >= isolatedTargets || m.Isolated()
}

// Confirm checks whether a target accepts connections, unless that is known from shortly before.
func (m *Monitor) Confirm(t Target) bool {
	result := m.check(t)
	return result == Connected || result == Unknown
}

// confirm checks other targets of the same service and one of each other service.
func (m *Monitor) confirm(t Target) {
	m.checkSome(func(service string) int {
		if service == t.Service {
			return confirmChecks
		}
		return 1
	})
	m.mu.Lock()
	close(m.confirming)
	m.confirming = nil
	m.mu.Unlock()
}

// checkSome checks as many targets of each service, of those that are not known as unreachable, as count returns.
func (m *Monitor) checkSome(count func(service string) int) {
	targets := slices.Clone(m.Targets())
	shuffle(targets)
	started := map[string]int{}
	var waiting sync.WaitGroup
	for _, x := range targets {
		if _, known := started[x.Service]; !known && len(started) >= maxServices {
			continue
		}
		if m.Reachable(x) && started[x.Service] < count(x.Service) {
			started[x.Service]++
			waiting.Go(func() { m.check(x) })
		}
	}
	waiting.Wait()
}

func shuffle(list []Target) {
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
}

// Reachable reports whether this entry host has no evidence that it cannot reach a target.
func (m *Monitor) Reachable(t Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, lost := m.unreachable[t.process()]
	return !lost
}

// Unreachable returns the targets that this entry host does not reach, without those of services of which it reaches no
// target: they may be reached through other entry hosts.
func (m *Monitor) Unreachable() []Target {
	m.mu.Lock()
	var lost []Target
	for _, x := range m.unreachable {
		lost = append(lost, x.target)
	}
	m.mu.Unlock()
	if len(lost) == 0 || m.Isolated() {
		return nil
	}
	return slices.DeleteFunc(lost, func(t Target) bool { return m.Cut(t.Service) })
}

// ReachableName is Reachable for a target that is known by its name only.
func (m *Monitor) ReachableName(target string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p := range m.unreachable {
		if p.name == target {
			return false
		}
	}
	return true
}

// Cut reports whether this entry host reaches no target of a service: since one accepted a connection for the last time, at
// least two of them have become unreachable, or none is left.
func (m *Monitor) Cut(service string) bool {
	recent, all := m.countUnreachable(service)
	if recent >= isolatedTargets || all == 0 {
		return recent >= isolatedTargets
	}
	total := 0
	for _, t := range m.Targets() {
		if t.Service == service {
			total++
		}
	}
	return total <= all
}

// countUnreachable counts the unreachable targets of a service, and those of them that became so after the last connection.
func (m *Monitor) countUnreachable(service string) (recent, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, connected := m.connected[service]
	for _, x := range m.unreachable {
		if x.target.Service != service {
			continue
		}
		all++
		if !connected || x.since > last {
			recent++
		}
	}
	return recent, all
}

// Isolated reports whether this entry host reaches no targets of any service: at least two targets, or all, are unreachable,
// and since they are, the last connection to no service has succeeded.
func (m *Monitor) Isolated() bool {
	m.mu.Lock()
	count, since := len(m.unreachable), time.Duration(0)
	failed := map[string]time.Duration{}
	for _, x := range m.unreachable {
		if since == 0 || x.since < since {
			since = x.since
		}
		failed[x.target.Service] = max(failed[x.target.Service], x.at)
	}
	for service, at := range m.connected {
		if at > since-maxConnectTimeout && at > failed[service] {
			count = 0
		}
	}
	m.mu.Unlock()
	return count >= isolatedTargets || count > 0 && count >= len(m.Targets())
}

// Direct reports whether requests to a target should be sent directly.
func (m *Monitor) Direct(t Target) bool { return m.Reachable(t) && !m.Cut(t.Service) }

// Check finds out whether a target accepts new connections, because it is silent. The result is Unknown if this entry host
// has started too many checks.
func (m *Monitor) Check(t Target) Result {
	m.mu.Lock()
	c := m.checks[t.process()]
	if (c == nil || c.endedAt > 0 && m.Uptime()-c.endedAt > checkTTL) && !m.takeToken() {
		m.mu.Unlock()
		return Unknown
	}
	m.mu.Unlock()
	return m.check(t)
}

// takeToken takes one check from this entry host's share of the fleet's rate. The caller holds the lock.
func (m *Monitor) takeToken() bool {
	now := m.Uptime()
	if m.filledAt == 0 {
		m.tokens = checkBurst
	}
	rate := max(minCheckRate, fleetCheckRate/float64(max(m.EntryHosts(), 1)))
	m.tokens = min(checkBurst, m.tokens+rate*(now-m.filledAt).Seconds())
	m.filledAt = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// check connects to a target, once for all that wait for it, and records the result.
func (m *Monitor) check(t Target) Result {
	m.mu.Lock()
	if c := m.checks[t.process()]; c != nil && (c.endedAt == 0 || m.Uptime()-c.endedAt <= checkTTL) {
		m.mu.Unlock()
		<-c.done
		return c.result
	}
	return m.startCheck(t)
}

// Recheck connects to a target and records the result, whatever is known from before.
func (m *Monitor) Recheck(t Target) Result {
	m.mu.Lock()
	return m.startCheck(t)
}

// startCheck releases the lock, which the caller holds.
func (m *Monitor) startCheck(t Target) Result {
	if m.checks == nil {
		m.checks = map[process]*check{}
	}
	c := &check{done: make(chan struct{})}
	m.checks[t.process()] = c
	m.mu.Unlock()

	result := m.connect(t)
	m.mu.Lock()
	c.result, c.endedAt = result, max(m.Uptime(), 1)
	m.mu.Unlock()
	close(c.done)
	switch result {
	case Connected:
		m.Connected(t)
	case Refused, Silent:
		m.Failed(t)
	}
	return result
}

func (m *Monitor) connect(t Target) Result {
	timeout := m.ConnectTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := m.Uptime()
	connection, err := m.Dial(ctx, "tcp", t.Address)
	took := m.Uptime() - began
	switch {
	case err == nil:
		_ = connection.Close()
		m.ConnectTook(took)
		return Connected
	case took > timeout+timeout/2:
		return Unknown // this process was delayed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Silent
	}
	return Refused
}

// Run checks unreachable targets again from time to time, until the context is cancelled.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.recheck(ctx)
		}
	}
}

func (m *Monitor) recheck(ctx context.Context) {
	m.mu.Lock()
	for p, c := range m.checks {
		if c.endedAt > 0 && m.Uptime()-c.endedAt > checkTTL {
			delete(m.checks, p)
		}
	}
	lost := len(m.unreachable)
	m.mu.Unlock()
	if lost == 0 {
		return
	}
	current := map[process]bool{}
	for _, t := range m.Targets() {
		current[t.process()] = true
	}
	var list []Target
	m.mu.Lock()
	for p, x := range m.unreachable {
		if current[p] {
			list = append(list, x.target)
		} else {
			delete(m.unreachable, p)
		}
	}
	m.mu.Unlock()
	// Two targets that died at once look like a partition until another one accepts a connection.
	m.checkSome(func(service string) int {
		if m.Cut(service) {
			return 1
		}
		return 0
	})
	shuffle(list)
	failures := 0
	for _, t := range list {
		if ctx.Err() != nil || failures >= maxRecheckFailures {
			return
		}
		if m.check(t) != Connected {
			failures++
		}
	}
}
