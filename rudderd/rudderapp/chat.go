package rudderapp

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderpoison"
	"comfreyrudder.example/rudderd/rudderrequests"
	"comfreyrudder.example/rudderd/rudderstream"
	"comfreyrudder.example/rudderd/rudderverdict"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	probeTimeout = time.Second
	// confirmTimeout bounds the time in which other entry hosts confirm that a process is gone.
	confirmTimeout = 450 * time.Millisecond
	// stragglerFactor, multiplied by the silence limit, is how long a live engine may make no progress.
	stragglerFactor = 12
	// abandonAfter is how long a request continues after its caller has disconnected; the caller may resume the stream.
	abandonAfter = 30 * time.Second
	maxDeaths    = 4096
)

// wireChat connects the runner of model requests.
func (a *App) wireChat() {
	a.suspects.tracker, a.suspects.parts = rudderpoison.NewTracker(maxDeaths), rudderpoison.NewPartTracker()
	a.answers = &rudderstream.Registry{Retention: a.Settings.AnswerRetention, MaxBytes: a.Settings.AnswerBytes}
	a.requests = &rudderrequests.Peers{
		Self: a.self.Name, Members: a.node.Members, HTTPClient: a.peers, Answers: a.answers, OnDeaths: a.recordDeaths, OnSoundParts: a.suspects.applySound,
	}
	a.runner = &rudderstream.Runner{
		Clock: a.Clock, Logger: a.Logger,
		Engine:      a.newEngine(),
		Permit:      func() error { return a.config.Permit(a.Clock.Now()) },
		Acquire:     a.acquireChat,
		Probe:       a.probeRequest,
		Cancel:      a.control.Cancel,
		GroupDied:   a.groupDied,
		GroupLost:   a.groupLost,
		ReportDeath: a.reportDeath,
		Poisoned:    a.poisoned,
		Survived:    a.recordSurvival,
		TakeRetry:   a.owner.TakeRetry,
		MaxAttempts: a.Settings.MaxAttempts, SilenceAfter: a.Settings.SilenceAfter,
		DeadAfter: max(ruddertarget.MinSilence, a.Settings.SilenceAfter), ProbeTimeout: probeTimeout,
		StragglerAfter: stragglerFactor * a.Settings.SilenceAfter, AbandonAfter: abandonAfter,
	}
}

func (a *App) newEngine() *rudderstream.Engine {
	client := &http.Client{
		Transport:     a.targetTransport(),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, // each request is sent once
	}
	return &rudderstream.Engine{Client: client, Responses: a.memory.Responses, OnResponse: a.observeResponse, Clock: a.Clock}
}

// startChat runs a request in the background. The request does not depend on its caller's connection.
func (a *App) startChat(q rudderstream.Request, answer *rudderstream.Answer) {
	go func() {
		timing := a.runner.Run(a.work, q, answer)
		now := a.Clock.Now()
		a.answers.MarkFinished(answer, now)
		result, _ := answer.Done()
		if result.Outcome == rudderstream.OutcomeComplete {
			a.history.observe(q.Workspace, q.PromptTokens, timing.Tokens)
			a.stopping.observe(now, paceOfModel(q.Model), timing.FirstToken-timing.Wait, timing.MeanGap)
		}
		a.recordResult(q, timing, result)
		a.Logger.Info().Str("request_id", q.ID).Str("workspace", q.Workspace).Str("model", q.Model).
			Str("class", string(q.Class)).Int("attempts", timing.Attempts).Str("group", timing.Group).Int("tokens", timing.Tokens).
			Dur("wait_ms", timing.Wait).Dur("first_token_ms", timing.FirstToken).Dur("max_gap_ms", timing.MaxGap).
			Str("outcome", string(result.Outcome)).Str("code", result.Code).Msg("model request ended")
	}()
}

// groupLost reports whether the plan no longer has a group, or lists a member as unresponsive.
func (a *App) groupLost(slot rudderstream.Slot) bool {
	plan, known := a.fleet.Plan(slot.Domain)
	i := slices.IndexFunc(plan.Groups, func(g ruddergroup.Group) bool { return g.ID == slot.Group })
	if i < 0 {
		return known
	}
	return slices.ContainsFunc(plan.Groups[i].Members, func(m ruddergroup.Member) bool { return slices.Contains(plan.Unresponsive, m.Host) })
}

// groupDied queries the members of a group for their incarnations, and reports whether a member refuses connections or has
// restarted since it joined. A member that does not respond counts as paused, not as dead.
func (a *App) groupDied(ctx context.Context, slot rudderstream.Slot) bool {
	plan, _ := a.fleet.Plan(slot.Domain)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	died := make(chan bool)
	probes := 0
	for _, g := range plan.Groups {
		if g.ID != slot.Group {
			continue
		}
		for _, m := range g.Members {
			probes++
			go func() {
				status, err := a.control.Status(ctx, m.Address)
				died <- a.processGone(ctx, slot.Domain, m.Address, err) || err == nil && m.Incarnation != "" && status.Incarnation != m.Incarnation
			}()
		}
	}
	dead := false
	for range probes {
		dead = <-died || dead
	}
	return dead
}

// processGone reports whether an error of a call to a target shows that its process is gone: its port refuses the connections of this entry
// host, which may happen on the way, and of others. What another entry host does not reach either may be silent.
func (a *App) processGone(ctx context.Context, domain, address string, err error) bool {
	refused := errors.Is(err, syscall.ECONNREFUSED) && !a.cutOff(domain)
	if errors.Is(err, rudderpath.ErrUnreachable) {
		refused = a.paths.monitor.Recheck(a.pathTarget(address)) == rudderpath.Refused
	}
	if !refused {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	said, others := a.paths.relay.Ask(ctx, rudderpath.Request{
		Target: address, Service: domain, Method: http.MethodGet, RequestTarget: ruddertarget.StatusPath, Host: address, Remaining: confirmTimeout,
	}, rudderverdict.EndWitnesses(len(a.paths.relay.Peers())))
	gone := others == 0 || rudderverdict.EndConfirmed(others, said.Refused, said.Others > 0)
	a.Logger.Info().Str("address", address).Int("others", others).Int("refused", said.Refused).Int("left_open", said.Others).Bool("gone", gone).
		Msg("target refuses connections")
	return gone
}

// probeRequest requests the state of a request. A refused connection that others do not confirm is an engine that does not answer.
func (a *App) probeRequest(ctx context.Context, address, id string) (ruddertarget.RequestStatus, error) {
	status, err := a.control.RequestStatus(ctx, address, id)
	if errors.Is(err, syscall.ECONNREFUSED) && !a.processGone(ctx, a.pathTarget(address).Service, address, err) {
		return status, errors.Mark(errors.Newf("refused connection is not confirmed: %v", err), ruddertarget.ErrUnreachable)
	}
	return status, err
}

// poisoned reports whether a request is refused because of targets that died.
func (a *App) poisoned(q rudderstream.Request) bool {
	if a.suspects.poisoned(q.Fingerprint) {
		return true
	}
	block := a.suspects.blocked(a.Clock.Now(), q.Parts, a.startsTrials)
	if block == nil {
		return false
	}
	a.Logger.Info().Str("request_id", q.ID).Str("part", string(block.Part)).Msg("request refused: a part of its prompt crashes targets")
	return true
}

// startsTrials reports whether this entry host lets the trials of a part pass, which one host of the fleet does.
func (a *App) startsTrials(part rudderpoison.Part) bool {
	rank := func(name string) uint64 { return xxhash.Sum64String(string(part) + "/" + name) }
	for _, m := range a.node.Members() {
		if rank(m.Name) > rank(a.self.Name) {
			return false
		}
	}
	return true
}

// reportDeath records the death of a group and reports it to all other entry hosts before the next attempt, so that
// the request cannot kill one group through each of them.
func (a *App) reportDeath(ctx context.Context, q rudderstream.Request, slot rudderstream.Slot, begun bool) {
	d := rudderrequests.Death{Fingerprint: q.Fingerprint, Group: slot.Group, Domain: slot.Domain}
	if begun {
		for _, p := range q.Parts {
			d.Parts = append(d.Parts, string(p))
		}
	}
	a.recordDeaths([]rudderrequests.Death{d})
	a.requests.BroadcastDeath(ctx, d)
}

func (a *App) recordDeaths(deaths []rudderrequests.Death) {
	now := a.Clock.Now()
	for _, d := range deaths {
		f := rudderpoison.Fingerprint(d.Fingerprint)
		a.suspects.record(now, rudderpoison.Death{
			Group: d.Group, Domain: d.Domain, AtUnixMS: now.Add(-d.Age).UnixMilli(), InFlight: []rudderpoison.Fingerprint{f},
		})
		if len(d.Parts) == 0 {
			continue
		}
		suspect := rudderpoison.SuspectRequest{Request: f}
		for _, p := range d.Parts {
			suspect.Parts = append(suspect.Parts, rudderpoison.Part(p))
		}
		for _, b := range a.suspects.recordCrash(now, rudderpoison.Crash{Target: d.Group, Domain: d.Domain, Suspects: []rudderpoison.SuspectRequest{suspect}}) {
			a.Logger.Error().Str("part", string(b.Part)).Int("crashes", b.Crashes).Int("requests", b.Requests).
				Msg("prompt part blocked: targets crash when they begin an answer on it")
		}
	}
}

// recordSurvival records that a group has begun an answer and lives, and tells the other entry hosts if a part of the
// prompt was suspected.
func (a *App) recordSurvival(q rudderstream.Request) {
	if q.Deaths > 0 { // otherwise it may only not have reached the token that crashes targets
		a.suspects.forgive(q.Fingerprint)
	}
	charged := a.suspects.survived(a.Clock.Now(), q.Parts)
	if len(charged) == 0 {
		return
	}
	a.Logger.Info().Strs("parts", charged).Msg("prompt parts cleared: a target has begun an answer on them and lives")
	go a.requests.BroadcastSoundParts(a.lifetime, charged)
}
