// Package rudderbalance chooses the group that will serve a request soonest, from a ledger of all requests
// that run on a model's groups. One entry host keeps the ledger of a model. It does no I/O.
package rudderbalance

import (
	"math"
	"time"
)

// Speed tells how fast the groups of a model work.
type Speed struct {
	// PromptTokensPerSecond is the number of prompt tokens that one group reads in a second.
	PromptTokensPerSecond float64
	// Step is the time of one token of an answer.
	Step time.Duration
	// Slots is the number of requests that a group runs at once.
	Slots int
}

// Group is one group that may take requests.
type Group struct {
	ID string
	// Draining groups come last.
	Draining bool
}

// Request describes one send.
type Request struct {
	ID                         string
	PromptTokens, AnswerTokens int
	// Limit is the time after which the request has ended in any case.
	Limit time.Duration
	// Cost is the time that a group needs for the request when its batch is full.
	Cost  time.Duration
	Avoid []string
	// Objective is the time to the first token that callers want; with 0 the request is taken at any wait.
	Objective time.Duration
	// Spill says that the request goes on to another ledger where no group has room, so that it counts there.
	Spill bool
}

const (
	// queueShare is the load, in multiples of the slots, at which a group takes no more requests.
	queueShare = 2.0
	// usualPrompt and usualAnswer stand for sizes that the caller does not tell, in tokens.
	usualPrompt = 1000
	usualAnswer = 150
	// batchCost spreads requests between groups that read nothing: the wait that a full batch is taken
	// to cause by slowing each token down.
	batchCost = 60 * time.Millisecond
)

// Ledger of the groups of one model. It is not safe for concurrent use.
type Ledger struct {
	groups map[string]*account
	sends  map[string]*send
	work   float64 // seconds of work, fading
	workAt time.Duration
	begin  time.Duration // of the first request; 0 before it
	swept  time.Duration // when sends were last looked through for those that have expired
	// crowdedSince and crowdedUntil span the refusals that followed each other closely.
	crowdedSince, crowdedUntil time.Duration
}

const (
	// workMemory is the time after which work counts for a third.
	workMemory = 10 * time.Second
	// workAge is the age of a ledger from which on its work is known. An entry host that becomes the
	// owner begins with an empty ledger.
	workAge = 4 * time.Second
)

// Work is the time that one group would need for the work of workMemory, at the present rate, or 0 while it is
// not known.
func (l *Ledger) Work(now time.Duration) time.Duration {
	age := now - l.begin
	if l.begin == 0 || age < workAge {
		return 0
	}
	l.fade(now)
	seen := 1 - math.Exp(-age.Seconds()/workMemory.Seconds())
	return time.Duration(l.work / seen * float64(time.Second))
}

func (l *Ledger) fade(now time.Duration) {
	l.work *= math.Exp(-(now - l.workAt).Seconds() / workMemory.Seconds())
	l.workAt = now
}

// account of one group.
type account struct {
	running int
	// readUntil is when the prompts that the group has taken will have been read.
	readUntil time.Duration
}

type send struct {
	group *account
	until time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{groups: map[string]*account{}, sends: map[string]*send{}}
}

// Pick chooses a group and enters the request; wait is the expected wait for the group. full is set when groups
// exist, but all are full; wait is then the time after which the caller may find room.
func (l *Ledger) Pick(now time.Duration, speed Speed, groups []Group, r Request) (id string, wait time.Duration, full bool) {
	l.expire(now)
	if l.begin == 0 {
		l.begin, l.workAt = now, now
	}
	best, bestID, bestWait, full := l.cheapest(now, speed, groups, r)
	late := best != nil && r.Objective > 0 && bestWait > r.Objective
	if r.Spill && (best == nil || late) {
		return "", bestWait, full || late
	}
	l.fade(now)
	l.work += r.Cost.Seconds()
	switch {
	case best == nil && !full:
		return "", 0, false
	case best == nil:
		return "", l.crowded(now), true
	case late:
		// A longer queue makes every answer late and serves no request more.
		return "", max(bestWait, l.crowded(now)), true
	}
	prompt := r.PromptTokens
	if prompt <= 0 {
		prompt = usualPrompt
	}
	best.running++
	if speed.PromptTokensPerSecond > 0 {
		reading := time.Duration(float64(prompt) / speed.PromptTokensPerSecond * float64(time.Second))
		best.readUntil = max(best.readUntil, now) + reading
	}
	l.sends[r.ID] = &send{group: best, until: now + r.Limit}
	return bestID, bestWait, false
}

// cheapest returns the group of the least cost and the expected wait there; full is set when a group was left out because
// it is full. Groups that serve in time come before late ones, and draining ones last among each.
func (l *Ledger) cheapest(now time.Duration, speed Speed, groups []Group, r Request) (best *account, id string, wait time.Duration, full bool) {
	const draining, late = time.Hour, 2 * time.Hour // above any other cost
	var least time.Duration
	for _, g := range groups {
		if avoids(r.Avoid, g.ID) {
			continue
		}
		if r.Spill && g.Draining {
			full = true // another ledger may hold a group without a leaving member
			continue
		}
		a := l.account(g.ID)
		if float64(a.running) >= queueShare*float64(max(speed.Slots, 1)) {
			full = true
			continue
		}
		cost, expected := a.cost(now, speed)
		if g.Draining {
			cost += draining
		}
		if r.Objective > 0 && expected > r.Objective {
			cost += late
		}
		if best == nil || cost < least {
			best, id, wait, least = a, g.ID, expected, cost
		}
	}
	return best, id, wait, full
}

// crowdedMemory is the time without a refusal after which the groups count as having room again.
const crowdedMemory = time.Second

// crowded notes a refusal and returns for how long requests have been refused: overload that has lasted for a time
// is expected to last as long again. Callers that come back sooner are refused again.
func (l *Ledger) crowded(now time.Duration) time.Duration {
	if l.crowdedSince == 0 || now > l.crowdedUntil {
		l.crowdedSince = now
	}
	l.crowdedUntil = now + crowdedMemory
	return now - l.crowdedSince
}

// cost orders groups, and wait is the time that a request is expected to wait in one before its own prompt is read.
// They differ by what a fuller batch costs the requests that run: it spreads requests, but delays no first token.
func (a *account) cost(now time.Duration, speed Speed) (cost, wait time.Duration) {
	slots := max(speed.Slots, 1)
	wait = max(a.readUntil-now, 0)
	if over := a.running - slots + 1; over > 0 {
		// A request beyond the slots waits until one of them is free.
		wait += time.Duration(over) * usualAnswer * speed.Step / time.Duration(slots)
	}
	return wait + batchCost*time.Duration(a.running)/time.Duration(slots), wait
}

// Done takes a send off the ledger.
func (l *Ledger) Done(id string) {
	if s := l.sends[id]; s != nil {
		s.group.running--
		delete(l.sends, id)
	}
}

// Running is the number of requests on a group.
func (l *Ledger) Running(group string) int { return l.account(group).running }

// PruneGroups drops the accounts of groups that no longer exist.
func (l *Ledger) PruneGroups(exists func(group string) bool) {
	for id, a := range l.groups {
		if a.running == 0 && !exists(id) {
			delete(l.groups, id)
		}
	}
}

// sweepInterval is the time between two looks for expired sends; a look takes as long as there are sends.
const sweepInterval = 200 * time.Millisecond

// expire drops sends whose end was never told, because their entry host died.
func (l *Ledger) expire(now time.Duration) {
	if l.swept > 0 && now-l.swept < sweepInterval {
		return
	}
	l.swept = now
	for id, s := range l.sends {
		if now >= s.until {
			l.Done(id)
		}
	}
}

func (l *Ledger) account(group string) *account {
	a := l.groups[group]
	if a == nil {
		a = &account{}
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
