// Package rudderverdict decides whether a target is dead. A failed probe alone does not show it: the path from this entry
// host may be broken while others reach the target. So other entry hosts are asked to probe it too, and only the answers of
// those count that have a path to some target. A target that nobody reaches is dead only after ruddertarget.MinSilence, unless its
// process has ended: another one answers at its address, or enough entry hosts find that nothing listens there.
package rudderverdict

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// askTimeout bounds the time in which other entry hosts answer: a probe of two tries, and some of it once more for those
	// that are asked because the first ones have no path.
	askTimeout = 450 * time.Millisecond
	// minWitnesses is the number of other entry hosts with a path that have to answer, as far as there are any.
	minWitnesses = 2
	// confirmInterval is how long before the deciding probe Confirm probes a target in between. One that answers then and falls silent
	// again is not dead.
	confirmInterval = 500 * time.Millisecond
	// shareTime is how long a failed probe answers the questions of several entry hosts.
	shareTime = 300 * time.Millisecond
	// maxShared bounds the number of targets that are remembered.
	maxShared = 4096
)

// Finding is what one entry host says about a target.
type Finding struct {
	// Path is set if the entry host has a path to targets. Otherwise it says nothing about this one.
	Path bool
	// Answered is set if a process answers at the target's address, and Alive if it is the target itself.
	Answered, Alive bool
	// Refused is set if nothing listens at the target's address. Of another entry host, it says only that its connection was
	// refused, which may have happened on the way.
	Refused bool
	// Skipped is set if the target was not probed, because it names a limit of requests. It accepts connections.
	Skipped bool
	Report  ruddertarget.GroupReport // if Answered
}

func (f Finding) String() string {
	switch {
	case f.Skipped:
		return "not probed"
	case f.Alive:
		return "alive"
	case f.Answered:
		return "another incarnation answers"
	case f.Refused:
		return "refuses connections"
	case f.Path:
		return "unreachable"
	}
	return "no path"
}

// Ended reports whether the process of the target has ended. One that is only unreachable may be silent for a while.
func (f Finding) Ended() bool { return !f.Alive && (f.Answered || f.Refused) }

// Question is what another entry host is asked about a target.
type Question struct {
	// Silence is the time since the target has last answered.
	Silence time.Duration
	// Report is set if a target that names a limit of requests is to be probed too.
	Report bool

	since time.Duration // uptime from which on Silence is counted
}

// Detector decides whether targets are dead. Set the exported fields before use.
type Detector struct {
	Name, DataCentre string
	Logger           zerolog.Logger
	Uptime           func() time.Duration
	Snapshot         func() *rudderview.Snapshot
	// Probe probes a target from this entry host. It calls failed once if the first try fails.
	Probe func(ctx context.Context, t *rudderview.Target, failed func()) (report ruddertarget.GroupReport, alive bool)
	// Connect opens a new connection to an address and closes it.
	Connect func(ctx context.Context, address string) error
	// Ask requests the finding of another entry host on a target. If t is nil, it only asks whether the entry host has a path.
	Ask func(ctx context.Context, x rudderview.EntryHost, t *rudderview.Target, q Question) (Finding, error)
	// Streaming reports whether this entry host gets events of a running stream from a target; optional.
	Streaming func(t *rudderview.Target) bool
	// Isolated reports whether requests to several targets fail on this entry host; optional.
	Isolated func() bool
	// Limits holds the request rates that targets name, and Planning reports whether this entry host is the planner; optional.
	Limits   *rudderlimit.Table
	Planning func() bool

	mu     sync.Mutex
	paths  map[string]*path        // by service; "" for all services with groups
	shared map[string]*sharedProbe // by target
	alive  map[string]aliveTarget  // found by others, by target
}

// aliveTarget is a target that another entry host has reached.
type aliveTarget struct {
	born   int64
	at     time.Duration
	report ruddertarget.GroupReport
}

// sharedProbe is a probe for other entry hosts.
type sharedProbe struct {
	born      int64
	startedAt time.Duration
	done      chan struct{}
	finding   Finding
}

// statement is the finding of another entry host, or the reason why there is none.
type statement struct {
	host    string
	finding Finding
	err     error
}

func (s statement) hasPath() bool { return s.err == nil && s.finding.Path }

func (s statement) refused() bool { return s.hasPath() && s.finding.Refused }

// leavesOpen reports whether the target was silent for an entry host that has a path: it may be alive.
func (s statement) leavesOpen() bool { return s.hasPath() && !s.finding.Refused }

func (s statement) String() string {
	if s.err != nil {
		return s.host + ": no answer"
	}
	return s.host + ": " + s.finding.String()
}

// Verdict probes a target and reports whether it answers.
func (d *Detector) Verdict(ctx context.Context, t *rudderview.Target) (report ruddertarget.GroupReport, alive bool) {
	found := d.Examine(ctx, t, false)
	return found.Report, found.Alive
}

// Confirm probes a target that has been silent for some time and reports whether it is alive. It takes until the target answers,
// has ended, or has been silent for long enough and another probe confirms that.
func (d *Detector) Confirm(ctx context.Context, t *rudderview.Target, silence time.Duration) (report ruddertarget.GroupReport, alive bool) {
	since := d.Uptime() - silence
	suspected, decided := silence >= ruddertarget.MinSilence, false
	for {
		decides := d.Uptime()-since >= ruddertarget.MinSilence
		found := d.Examine(ctx, t, suspected)
		if found.Alive || found.Ended() || decided {
			return found.Report, found.Alive
		}
		suspected, decided = true, decides
		wait := since + ruddertarget.MinSilence - d.Uptime()
		if wait > confirmInterval {
			wait -= confirmInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ruddertarget.GroupReport{}, true
		case <-timer.C:
		}
	}
}

// Examine probes a target. The other entry hosts are asked as soon as the first try fails, or at once if the target is suspected.
// Without anyone who has a path, the target counts as alive.
func (d *Detector) Examine(ctx context.Context, t *rudderview.Target, suspected bool) Finding {
	begin := d.Uptime()
	if report, known := d.recentlyAlive(t); known {
		return Finding{Answered: true, Alive: true, Report: report}
	}
	if d.limited(t) {
		return d.examineLimited(ctx, t)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probed, said, path, refused := make(chan Finding, 1), make(chan []statement, 1), make(chan bool, 1), make(chan bool, 1)
	failed := sync.OnceFunc(func() {
		go func() { refused <- d.isRefused(ctx, t) }()
		others := d.others(t)
		if len(others) == 0 {
			path <- true
			said <- nil
			return
		}
		go func() { path <- d.HasPath(ctx, t) }()
		go func() { said <- d.ask(ctx, others, t, Question{since: begin}, minWitnesses) }()
	})
	if suspected {
		failed()
	}
	go func() {
		report, alive := d.Probe(ctx, t, failed)
		probed <- Finding{Answered: alive || report.Born != 0, Alive: alive, Report: report}
	}()
	var statements []statement
	for probed != nil || said != nil {
		select {
		case own := <-probed:
			if own.Answered {
				return own
			}
			probed = nil
		case statements = <-said:
			said = nil
			if found := answered(statements); found != nil {
				d.logVerdict(t, begin, "unreachable", statements, found.String())
				d.remember(t, *found)
				return *found
			}
		}
	}
	own := Finding{Path: <-path, Refused: <-refused}
	own.Refused = own.Refused && own.Path
	return d.conclude(ctx, t, begin, own, statements)
}

// conclude returns the finding on a target that neither this entry host nor those that it has asked reach.
func (d *Detector) conclude(ctx context.Context, t *rudderview.Target, begin time.Duration, own Finding, statements []statement) Finding {
	if !own.Path && !slices.ContainsFunc(statements, statement.hasPath) {
		d.logVerdict(t, begin, own.String(), statements, "no path")
		return asRecorded(t)
	}
	found := Finding{Path: true}
	switch {
	case !own.Refused || slices.ContainsFunc(statements, statement.leavesOpen):
	case len(d.others(t)) == 0:
		found.Refused = true // nobody else can tell
	default:
		if found = d.confirmRefusal(ctx, t); found.Alive {
			d.remember(t, found)
		}
	}
	d.logVerdict(t, begin, own.String(), statements, found.String())
	return found
}

// asRecorded returns the finding on a target of which its record is all that is known. Without orders it would seem to have
// restarted.
func asRecorded(t *rudderview.Target) Finding {
	return Finding{Alive: true, Report: ruddertarget.GroupReport{Membership: t.Membership, Orders: 1, Born: t.Born}}
}

// tryConnect opens a new connection to a target.
func (d *Detector) tryConnect(ctx context.Context, t *rudderview.Target) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return d.Connect(ctx, t.Address)
}

// ReachedElsewhere reports whether another entry host reaches a target.
func (d *Detector) ReachedElsewhere(ctx context.Context, t *rudderview.Target) bool {
	_, found := d.Reaching(ctx, t)
	return found
}

// Reaching returns another entry host that reaches a target, if one of those that are asked does.
func (d *Detector) Reaching(ctx context.Context, t *rudderview.Target) (host rudderview.EntryHost, found bool) {
	others := d.others(t)
	for _, s := range d.ask(ctx, others, t, Question{since: d.Uptime()}, minWitnesses) {
		if s.err == nil && s.finding.Alive {
			i := slices.IndexFunc(others, func(x rudderview.EntryHost) bool { return x.Name == s.host })
			return others[i], true
		}
	}
	return host, false
}

// recentlyAlive returns what another entry host has found out recently about a target that is alive, if this one has no
// path: its connections to the target keep failing meanwhile.
func (d *Detector) recentlyAlive(t *rudderview.Target) (report ruddertarget.GroupReport, known bool) {
	if !d.path(t).lost(d.Uptime()) {
		return report, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	v, known := d.alive[t.Name]
	return v.report, known && v.born == t.Born && d.Uptime()-v.at < lostTTL
}

func (d *Detector) remember(t *rudderview.Target, found Finding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.alive == nil || len(d.alive) >= maxShared {
		d.alive = map[string]aliveTarget{}
	}
	if found.Alive {
		d.alive[t.Name] = aliveTarget{born: t.Born, at: d.Uptime(), report: found.Report}
	}
}

func (d *Detector) logVerdict(t *rudderview.Target, begin time.Duration, own string, statements []statement, conclusion string) {
	others := make([]string, len(statements))
	for i, s := range statements {
		others[i] = s.String()
	}
	d.Logger.Info().Str("target", t.Name).Int64("born", t.Born).Str("own", own).Strs("others", others).Str("conclusion", conclusion).
		Dur("took_ms", d.Uptime()-begin).Msg("unresponsive target probed with other entry hosts")
}

// answered returns the finding of an entry host to which a process at the target's address has answered, or nil.
func answered(statements []statement) *Finding {
	for _, s := range statements {
		if s.err == nil && s.finding.Answered {
			return &s.finding
		}
	}
	return nil
}

// others returns the other entry hosts in the order in which they are asked about a target: those of other data centres first,
// because one cut often affects a whole data centre. The order within these depends on the target, so that the entry hosts
// that ask about the same target at the same time share a probe.
func (d *Detector) others(t *rudderview.Target) []rudderview.EntryHost {
	name := ""
	if t != nil {
		name = t.Name
	}
	list := slices.DeleteFunc(slices.Clone(d.Snapshot().EntryHosts), func(x rudderview.EntryHost) bool { return x.Name == d.Name || x.Peer == "" })
	slices.SortFunc(list, func(a, b rudderview.EntryHost) int {
		if near := a.DataCentre == d.DataCentre; near != (b.DataCentre == d.DataCentre) {
			if near {
				return 1
			}
			return -1
		}
		return cmp.Compare(xxhash.Sum64String(name+"/"+a.Name), xxhash.Sum64String(name+"/"+b.Name))
	})
	return list
}

// ask asks other entry hosts until one reaches the target, or the wanted number of them with a path do not. Each that has no path or
// does not answer is replaced by two others. An entry host without a path asks one at a time: it has many doubts, most of them
// unfounded.
func (d *Detector) ask(ctx context.Context, hosts []rudderview.EntryHost, t *rudderview.Target, q Question, wanted int) (statements []statement) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	results := make(chan statement, len(hosts))
	asked, open, witnesses := 0, 0, 0
	first, silent := wanted, func() time.Duration { return d.Uptime() - q.since }
	if d.path(t).lost(q.since) {
		first, silent = 1, func() time.Duration { return lostTTL }
	}
	start := func(n int) {
		for ; n > 0 && asked < len(hosts); n-- {
			x := hosts[asked]
			asked++
			open++
			go func() {
				finding, err := d.Ask(ctx, x, t, Question{Silence: silent(), Report: q.Report})
				results <- statement{x.Name, finding, err}
			}()
		}
	}
	for start(first); open > 0; {
		s := <-results
		open--
		statements = append(statements, s)
		switch {
		case s.err == nil && s.finding.Answered:
			return statements
		case s.hasPath():
			if witnesses++; witnesses == wanted || t == nil {
				return statements
			}
			start(wanted - witnesses - open)
		case ctx.Err() == nil:
			start(2)
		}
	}
	return statements
}

// ProbeForPeer returns what this entry host finds out about a target that another one has not reached for some time. Several
// entry hosts that ask at the same time share a probe.
func (d *Detector) ProbeForPeer(t *rudderview.Target, q Question) Finding {
	if d.path(t).lost(d.Uptime()) {
		return Finding{}
	}
	if d.limited(t) && !q.Report {
		return d.connectForPeer(t)
	}
	d.mu.Lock()
	now := d.Uptime()
	p := d.shared[t.Name]
	if p != nil && p.born == t.Born && p.usable(now, q.Silence) {
		d.mu.Unlock()
		<-p.done
		return p.finding
	}
	if d.shared == nil || len(d.shared) >= maxShared {
		d.shared = map[string]*sharedProbe{}
	}
	p = &sharedProbe{born: t.Born, startedAt: now, done: make(chan struct{})}
	d.shared[t.Name] = p
	d.mu.Unlock()

	ctx := context.Background()
	var waiting sync.WaitGroup
	hasPath, refused := true, false
	report, alive := d.Probe(ctx, t, func() {
		waiting.Go(func() { hasPath = d.HasPath(ctx, t) })
		waiting.Go(func() { refused = d.isRefused(ctx, t) })
	})
	p.finding = Finding{Path: true, Answered: true, Alive: alive, Report: report}
	if !alive && report.Born == 0 {
		waiting.Wait()
		p.finding = Finding{Path: hasPath, Refused: hasPath && refused}
	}
	close(p.done)
	return p.finding
}

// usable reports whether the result of a probe answers a question about a target that has been silent for some time. An
// answer from before the silence does not.
func (p *sharedProbe) usable(now, silence time.Duration) bool {
	select {
	case <-p.done:
		if p.finding.Alive {
			return now-p.startedAt < min(silence, lostTTL)
		}
		return now-p.startedAt < shareTime
	default:
		return true
	}
}

// CutOff reports whether this entry host has no path to targets while another one has.
func (d *Detector) CutOff(ctx context.Context) bool {
	if !d.doubtful() || d.HasPath(ctx, nil) {
		return false
	}
	return slices.ContainsFunc(d.ask(ctx, d.others(nil), nil, Question{since: d.Uptime()}, minWitnesses), statement.hasPath)
}

// doubtful reports whether this entry host may have no path.
func (d *Detector) doubtful() bool {
	if d.Isolated != nil && d.Isolated() {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.paths {
		if p.lost(d.Uptime()) {
			return true
		}
	}
	return false
}
