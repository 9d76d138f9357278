// Package rudderbalance chooses the group that can serve a request soonest, from a ledger of all requests
// that run on the groups of a model. The ledger of a model, or of one partition of its groups, is kept by one
// entry host. The package does no I/O.
package rudderbalance

import (
	"math"
	"time"
)

// Speed describes how fast the groups of a model work.
type Speed struct {
	// PromptTokensPerSecond is the prefill rate of one group.
	PromptTokensPerSecond float64
	// Step is the time for one token of an answer while all slots are used, and IdleStep that of a single request; if it is 0,
	// Step holds for any number of requests.
	Step, IdleStep time.Duration
	// Slots is the number of requests that a group runs at once.
	Slots int
}

// Group is one group that may take requests.
type Group struct {
	ID string
	// Draining, silent and slow groups are chosen last.
	Draining, Silent, Slow bool
	// Wait is the time until the group's target takes a further request, because it limits their rate; 0 if it takes one now.
	Wait time.Duration
	// Rate is the number of requests that the group's target takes in a second; 0 if it names no limit.
	Rate float64
}

// Request describes one send.
type Request struct {
	ID                         string
	PromptTokens, AnswerTokens int
	// Limit is the time after which the request has ended in any case.
	Limit time.Duration
	// Cost is the time that a group needs for the request when its batch is full.
	Cost time.Duration
	// Avoid lists the groups that must not be chosen.
	Avoid []string
	// Objective is the time to the first token that callers want; 0 accepts any wait.
	Objective time.Duration
	// Urgency is 0 for the most urgent requests. It counts while requests are refused.
	Urgency int
	// Workspace shares the groups with others while requests are refused; empty if it is not known.
	Workspace string
	// Spill is set if the request is passed on to another ledger if no group here has room. It is counted
	// there.
	Spill bool
}

const (
	// maxLoadFactor is the load, as a multiple of the slots, at which a group takes no more requests.
	maxLoadFactor = 2.0
	// defaultPromptTokens and defaultAnswerTokens are assumed for sizes that the caller does not give, in tokens.
	defaultPromptTokens = 1000
	defaultAnswerTokens = 150
	// batchCost spreads requests between groups that have no prompts to read. It is the wait that a full
	// batch is assumed to cause by slowing down each token.
	batchCost = 60 * time.Millisecond
)

// Ledger of the requests on the groups of one model. It is not safe for concurrent use.
type Ledger struct {
	groups  map[string]*account
	sends   map[string]*send
	work    float64       // seconds of work, decaying exponentially
	workAt  time.Duration // uptime to which work and refused have decayed
	refused float64       // the part of work that was refused
	begin   time.Duration // uptime of the first request; 0 before it
	sweptAt time.Duration // uptime of the last search for expired sends
	// refusingSince and refusingUntil span the current series of refusals, with no gap longer than
	// refusalGap.
	refusingSince, refusingUntil time.Duration
	demand                       demand
	returns                      returns
	usualRatio                   float64       // median of the groups' measured to expected durations; 0 if it is not known
	updatedAt                    time.Duration // uptime of the last update of demand and paces
}

const (
	// workDecay is the time constant with which recorded work decays: after it, a third is left.
	workDecay = 10 * time.Second
	// minWorkAge is the age from which on a ledger knows its work. An entry host that becomes the owner
	// starts with an empty ledger.
	minWorkAge = 4 * time.Second
)

// Work returns the time that one group would need for the work that arrives in workDecay at the present rate,
// or 0 while the rate is not known.
func (l *Ledger) Work(now time.Duration) time.Duration {
	age := now - l.begin
	if l.begin == 0 || age < minWorkAge {
		return 0
	}
	l.decayWork(now)
	seen := 1 - math.Exp(-age.Seconds()/workDecay.Seconds())
	return time.Duration(l.work / seen * float64(time.Second))
}

func (l *Ledger) decayWork(now time.Duration) {
	left := math.Exp(-(now - l.workAt).Seconds() / workDecay.Seconds())
	l.work, l.refused = l.work*left, l.refused*left
	l.workAt = now
}

// account is the ledger's state of one group.
type account struct {
	running int
	// prefillUntil is the uptime at which the group is expected to have read the prompts that it has taken.
	prefillUntil time.Duration
	durations    durations
	// pace is the time that the group needs, relative to the usual one of the ledger's groups; 1 if it is not known.
	pace float64
}

type send struct {
	group     *account
	at, until time.Duration // uptime of its start, and of its end in any case
	expected  time.Duration // duration on a group of usual speed
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{groups: map[string]*account{}, sends: map[string]*send{}}
}

// Pick chooses a group and records the request; wait is the expected wait for the group. If groups exist but
// all of them are full or take no more requests now, full is true and wait is the time after which the caller may
// find room.
func (l *Ledger) Pick(now time.Duration, speed Speed, groups []Group, r Request) (id string, wait time.Duration, full bool) {
	l.expire(now)
	if l.begin == 0 {
		l.begin, l.workAt = now, now
	}
	allowed := l.allow(now, speed, r)
	best, bestID, bestWait, full := l.cheapest(now, speed, groups, r, allowed)
	late := best != nil && allowed.wait > 0 && bestWait > allowed.wait
	if r.Spill && (best == nil || late) {
		return "", bestWait, full || late
	}
	l.decayWork(now)
	l.work += r.Cost.Seconds()
	l.demand.record(r, best != nil && !late)
	switch {
	case best == nil && !full:
		return "", 0, false
	case best == nil:
		return "", l.retryAfter(now, max(bestWait, l.recordRefusal(now, r.Cost)), speed, groups, r), true
	case late:
		// A longer queue would delay every answer without serving more requests.
		return "", l.retryAfter(now, max(bestWait, l.recordRefusal(now, r.Cost)), speed, groups, r), true
	}
	prompt := r.PromptTokens
	if prompt <= 0 {
		prompt = defaultPromptTokens
	}
	answer := r.AnswerTokens
	if answer <= 0 {
		answer = defaultAnswerTokens
	}
	best.running++
	expected := time.Duration(float64(bestWait)/best.pace) + speed.decoding(answer, best.running)
	if speed.PromptTokensPerSecond > 0 {
		reading := time.Duration(float64(prompt) / speed.PromptTokensPerSecond * float64(time.Second))
		best.prefillUntil = max(best.prefillUntil, now) + best.scaled(reading)
		expected += reading
	}
	l.sends[r.ID] = &send{group: best, at: now, until: now + r.Limit, expected: expected}
	return bestID, bestWait, false
}

// allow returns what a request may use of the groups. While no requests are refused, each may use all of it.
func (l *Ledger) allow(now time.Duration, speed Speed, r Request) allowance {
	if now-l.updatedAt >= updateInterval {
		l.demand.update(now, speed)
		l.updatePaces(now)
		l.updatedAt = now
		if !l.refusing(now) {
			l.returns.calm += calmWeight * (l.demand.rate() - l.returns.calm)
		}
	}
	if !l.refusing(now) {
		return allowance{wait: r.Objective, load: maxLoadFactor}
	}
	return l.demand.allow(r)
}

// cheapest returns the group with the lowest cost and the expected wait for it; full is set if a group was
// left out because it is full or takes no more requests now. Without a group, wait is the shortest time until one of
// those takes a request. Groups that serve within the objective come before late ones, and draining
// groups come last among each.
func (l *Ledger) cheapest(now time.Duration, speed Speed, groups []Group, r Request, allowed allowance) (best *account, id string, wait time.Duration, full bool) {
	const draining, late = time.Hour, 2 * time.Hour // higher than any other cost
	var least, limitWait time.Duration
	for _, g := range groups {
		if avoids(r.Avoid, g.ID) {
			continue
		}
		if r.Spill && (g.Draining || g.Slow) {
			full = true // another ledger may have a group that is neither draining nor slow
			continue
		}
		a := l.account(g.ID)
		if float64(a.running) >= allowed.load*float64(max(speed.Slots, 1)) {
			full = true
			continue
		}
		if g.Wait > 0 {
			full = true
			if limitWait == 0 || g.Wait < limitWait {
				limitWait = g.Wait
			}
			continue
		}
		cost, expected := a.cost(now, speed)
		if g.Draining || g.Silent || g.Slow {
			cost += draining
		}
		if allowed.wait > 0 && expected > allowed.wait {
			cost += late
		}
		if best == nil || cost < least {
			best, id, wait, least = a, g.ID, expected, cost
		}
	}
	if best == nil {
		wait = limitWait
	}
	return best, id, wait, full
}

// refusalGap is the time without a refusal after which the groups count as having room again.
const refusalGap = time.Second

// refusing reports whether requests have been refused lately.
func (l *Ledger) refusing(now time.Duration) bool {
	return l.refusingUntil > 0 && now <= l.refusingUntil
}

// RefusedShare returns the part of the recent work that was refused, or 0 while Work is not known.
func (l *Ledger) RefusedShare(now time.Duration) float64 {
	if l.Work(now) == 0 || l.work <= 0 {
		return 0
	}
	return min(l.refused/l.work, 1)
}

// recordRefusal records a refusal of work and returns for how long requests have been refused. Overload is expected
// to last as long as it has lasted; callers that return sooner would be refused again.
func (l *Ledger) recordRefusal(now, cost time.Duration) time.Duration {
	l.refused += cost.Seconds()
	if l.refusingSince == 0 || now > l.refusingUntil {
		l.refusingSince = now
	}
	l.refusingUntil = now + refusalGap
	return now - l.refusingSince
}

// cost returns the cost by which groups are ranked, and the time that a request is expected to wait before
// its own prompt is read. The cost includes what a fuller batch costs the running requests: this spreads
// requests, but delays no first token.
func (a *account) cost(now time.Duration, speed Speed) (cost, wait time.Duration) {
	slots := max(speed.Slots, 1)
	wait = max(a.prefillUntil-now, 0)
	if over := a.running - slots + 1; over > 0 {
		// A request beyond the slots waits until one of them is free.
		wait += a.scaled(time.Duration(over) * defaultAnswerTokens * speed.Step / time.Duration(slots))
	}
	return wait + a.scaled(batchCost*time.Duration(a.running)/time.Duration(slots)), wait
}

// Done removes a send that has ended from the ledger.
func (l *Ledger) Done(now time.Duration, id string) {
	if s := l.sends[id]; s != nil {
		l.observe(now, s)
		l.returns.observe(now - s.at)
		l.remove(id)
	}
}

func (l *Ledger) remove(id string) {
	if s := l.sends[id]; s != nil {
		s.group.running--
		delete(l.sends, id)
	}
}

// Running returns the number of requests on a group.
func (l *Ledger) Running(group string) int { return l.account(group).running }

// PruneGroups drops the accounts of groups that no longer exist and have no running requests.
func (l *Ledger) PruneGroups(exists func(group string) bool) {
	for id, a := range l.groups {
		if a.running == 0 && !exists(id) {
			delete(l.groups, id)
		}
	}
}

// sweepInterval is the time between two searches for expired sends; a search takes time in proportion to the
// number of sends.
const sweepInterval = 200 * time.Millisecond

// expire removes sends whose end was never reported, because their entry host died.
func (l *Ledger) expire(now time.Duration) {
	if l.sweptAt > 0 && now-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = now
	for id, s := range l.sends {
		if now >= s.until {
			l.remove(id)
		}
	}
}

func (l *Ledger) account(group string) *account {
	a := l.groups[group]
	if a == nil {
		a = &account{pace: 1}
		l.groups[group] = a
	}
	return a
}

func avoids(list []string, id string) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}
