package rudderforward

import (
	"math/rand/v2"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// loadReportTTL is how long a load reported by a leader is used.
	loadReportTTL = 1500 * time.Millisecond
	// maxLoadFactor is the load, as a multiple of its slots, at which a group counts as full.
	maxLoadFactor = 2.0
)

// leaderLoad is what this entry host knows about the load of one leader.
type leaderLoad struct {
	inFlight    int           // sent by this entry host and not ended
	reported    int           // running and waiting requests in the last report
	sinceReport int           // requests started minus requests ended since the report
	reportedAt  time.Duration // uptime of the last report; 0 without one
	avoidUntil  time.Duration // uptime until which new requests avoid the leader
	silentUntil time.Duration // uptime until which new requests avoid the leader unless it sends something before
	silentFound time.Duration // uptime until which the planner's finding that the group is silent holds
	hungUntil   time.Duration // uptime until which other entry hosts should know that requests to the leader hang
	slowUntil   time.Duration // uptime until which the report of the model's owner that the group is slow holds
	slowFound   time.Duration // uptime until which the finding of a probe that a member is slow holds
	pace        pace
	usedAt      time.Duration // uptime of the last access, for forget
}

// loads holds the load of all leaders.
type loads struct {
	mu      sync.Mutex
	leaders map[string]*leaderLoad
}

func (l *loads) get(leader string, now time.Duration) *leaderLoad {
	if l.leaders == nil {
		l.leaders = map[string]*leaderLoad{}
	}
	x := l.leaders[leader]
	if x == nil {
		x = &leaderLoad{}
		l.leaders[leader] = x
	}
	x.usedAt = now
	return x
}

func (l *loads) begin(leader string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(leader, now)
	x.inFlight++
	x.sinceReport++
}

func (l *loads) end(leader string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(leader, now)
	x.inFlight--
	x.sinceReport--
}

func (l *loads) report(leader string, now time.Duration, r Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(leader, now)
	x.reported, x.sinceReport, x.reportedAt = r.Running+r.Waiting, 0, now
}

// avoid makes new requests avoid a leader until an uptime.
func (l *loads) avoid(leader string, until, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(leader, now)
	x.avoidUntil = max(x.avoidUntil, until)
}

// silent makes new requests avoid a leader until an uptime, or until it is heard.
func (l *loads) silent(leader string, until, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(leader, now)
	x.silentUntil = max(x.silentUntil, until)
}

// foundSilent is silent for a group that the planner has found silent, which other entry hosts should know.
func (l *loads) foundSilent(leader string, until, now time.Duration) {
	l.silent(leader, until, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(leader, now).silentFound = until
}

// heard records that a leader has sent something.
func (l *loads) heard(leader string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(leader, now)
	x.silentUntil, x.silentFound = 0, 0
}

// isFoundSilent reports whether the planner has found a leader's group silent, and it has not been heard since.
func (l *loads) isFoundSilent(leader string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.leaders[leader]
	return x != nil && x.silentFound > now
}

// avoided reports whether new requests avoid a leader.
func (l *loads) avoided(leader string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.leaders[leader]
	return x != nil && x.avoided(now)
}

func (x *leaderLoad) avoided(now time.Duration) bool { return max(x.avoidUntil, x.silentUntil) > now }

// prune drops leaders that have been idle and unused for a minute.
func (l *loads) prune(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, x := range l.leaders {
		if x.inFlight == 0 && now-x.usedAt > time.Minute {
			delete(l.leaders, name)
		}
	}
}

// estimate returns the number of requests at a leader. Without a recent report it adds others, the mean
// number of requests that the other entry hosts have sent to one group.
func (x *leaderLoad) estimate(now time.Duration, others float64) float64 {
	if x.reportedAt > 0 && now-x.reportedAt < loadReportTTL {
		return float64(max(x.inFlight, x.reported+x.sinceReport))
	}
	return float64(x.inFlight) + others
}

// load estimates the number of requests at a group.
func (l *loads) load(g *rudderview.Group, now time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.get(g.Leader.Name, now).estimate(now, 0)
}

// others estimates the mean number of requests that the other entry hosts have sent to one of the groups. It
// assumes that each of them has as many requests in flight as this one.
func (l *loads) others(groups []*rudderview.Group, c choiceInputs) float64 {
	own := 0
	for _, g := range groups {
		own += l.get(g.Leader.Name, c.now).inFlight
	}
	return float64(own*max(c.entries-1, 0)) / float64(max(len(groups), 1))
}

// PickQuery is the request to the owner of a model for a group for one send.
type PickQuery struct {
	Service, Model             string
	PromptTokens, AnswerTokens int
	// Limit is the time until the request's deadline.
	Limit time.Duration
	// Cost is the time that a group needs for the request when its batch is full.
	Cost time.Duration
	// Avoid lists the groups that must not be picked, Silent those that are silent or whose requests hang, and Slow those whose
	// events take much longer than usual.
	Avoid, Silent, Slow []string
	// Objective is the longest wait for a group that the request can bear; 0 accepts any wait.
	Objective time.Duration
	// Urgency is the priority of the request, 0 for the highest.
	Urgency int
	// Workspace is the name of the request's workspace; empty without one.
	Workspace string
}

// Pick is an owner's answer to a PickQuery. If Answered is false, the group is chosen locally.
type Pick struct {
	Answered bool
	Group    string // empty if no group can take the request
	Full     bool
	// Limited is set if groups have room but their targets take no more requests now.
	Limited bool
	// Work is the time that one group would need for the model's recent work; 0 if the owner does not know it
	// yet.
	Work time.Duration
	// Refused is the part of that work that was refused, 0 to 1.
	Refused float64
	// Wait is the expected wait for the group.
	Wait time.Duration
	// Slow lists the groups of the model that entry hosts have reported as slow.
	Slow []string
	// Release must be called when the send has ended; it is nil if the owner need not be notified.
	Release func()
}

// choice is the result of choosing a group.
type choice struct {
	group *rudderview.Group
	load  float64 // estimated number of requests at the group
	full  bool    // all groups that could be chosen are full
	// limited is set if groups have room but their targets take no more requests now.
	limited bool
	// permittedAt is the uptime of the request for a permit; 0 without one.
	permittedAt time.Duration
}

// choiceInputs holds the inputs for choosing a group.
type choiceInputs struct {
	now        time.Duration
	entries    int // number of entry hosts
	dataCentre string
	exclude    map[string]bool // groups on which this request failed
	slow       map[string]bool // groups that are slow
	draw       func(n int) int // replaced in tests; nil takes random numbers
}

// choose takes the less loaded of two groups drawn at random. Load reports are about as old as a request is
// long, so that always taking the least loaded group would make all entry hosts choose the same one.
func (l *loads) choose(groups []*rudderview.Group, c choiceInputs) choice {
	draw := c.draw
	if draw == nil {
		draw = rand.IntN
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var preferred, last, avoided []*rudderview.Group
	full := false
	others := l.others(groups, c)
	for _, g := range groups {
		x := l.get(g.Leader.Name, c.now)
		switch {
		case c.exclude[g.ID]:
		case x.estimate(c.now, others) >= maxLoadFactor*float64(max(g.Slots, 1)):
			full = true
		case x.avoided(c.now):
			avoided = append(avoided, g)
		case g.Draining || c.slow[g.ID]:
			last = append(last, g)
		default:
			preferred = append(preferred, g)
		}
	}
	for _, tier := range [][]*rudderview.Group{preferred, last, avoided} {
		if len(tier) == 0 {
			continue
		}
		a := tier[draw(len(tier))]
		if len(tier) > 1 {
			b := tier[draw(len(tier)-1)]
			if b == a {
				b = tier[len(tier)-1]
			}
			if l.cost(b, c, others) < l.cost(a, c, others) {
				a = b
			}
		}
		return choice{group: a, load: l.get(a.Leader.Name, c.now).estimate(c.now, others)}
	}
	return choice{full: full}
}

// cost ranks groups by the used share of their slots. Among equally loaded groups, those in this entry host's
// data centre come first.
func (l *loads) cost(g *rudderview.Group, c choiceInputs, others float64) float64 {
	cost := l.get(g.Leader.Name, c.now).estimate(c.now, others) / float64(max(g.Slots, 1))
	if g.Leader.DataCentre != c.dataCentre {
		cost += 0.02
	}
	return cost
}
