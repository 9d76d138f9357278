package rudderforward

import (
	"math/rand/v2"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// loadFresh is how long a leader's own word on its load counts.
	loadFresh = 1500 * time.Millisecond
	// fullQueue is the load, in multiples of a group's slots, at which a group takes no more.
	fullQueue = 2.0
)

// leaderLoad is what this entry host knows of the load of one leader.
type leaderLoad struct {
	inFlight int // sent from here and not ended
	reported int // running and waiting, by the leader's word
	change   int // sent minus ended since the word
	at       time.Duration
	avoid    time.Duration // until this uptime
	seen     time.Duration
}

// loads keeps the load of all leaders.
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
	x.seen = now
	return x
}

func (l *loads) begin(leader string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(leader, now)
	x.inFlight++
	x.change++
}

func (l *loads) end(leader string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(leader, now)
	x.inFlight--
	x.change--
}

func (l *loads) report(leader string, now time.Duration, word Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(leader, now)
	x.reported, x.change, x.at = word.Running+word.Waiting, 0, now
}

// avoid keeps new requests away from a leader for a while.
func (l *loads) avoid(leader string, until, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(leader, now)
	x.avoid = max(x.avoid, until)
}

// avoided reports whether new requests are kept away from a leader.
func (l *loads) avoided(leader string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.leaders[leader]
	return x != nil && x.avoid > now
}

// forget drops leaders that were not seen for a minute.
func (l *loads) forget(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, x := range l.leaders {
		if x.inFlight == 0 && now-x.seen > time.Minute {
			delete(l.leaders, name)
		}
	}
}

// estimate is the load of a leader in requests. Without a fresh word of the leader, the other entry hosts are taken to
// have sent it the mean of what they have in flight, and those to have as much in flight as this one.
func (x *leaderLoad) estimate(now time.Duration, others float64) float64 {
	if x.at > 0 && now-x.at < loadFresh {
		return float64(max(x.inFlight, x.reported+x.change))
	}
	return float64(x.inFlight) + others
}

// others is the mean number of requests that the other entry hosts have sent to one of the groups.
func (l *loads) others(groups []*rudderview.Group, c chooser) float64 {
	own := 0
	for _, g := range groups {
		own += l.get(g.Leader.Name, c.now).inFlight
	}
	return float64(own*max(c.entries-1, 0)) / float64(max(len(groups), 1))
}

// PickQuery asks for a group for one send.
type PickQuery struct {
	Service, Model             string
	PromptTokens, AnswerTokens int
	Limit                      time.Duration
	// Cost is the time that a group needs for the request when its batch is full.
	Cost  time.Duration
	Avoid []string
	// Objective is the longest wait for a group that the request can bear; with 0 it is taken at any wait.
	Objective time.Duration
}

// Pick is an owner's answer. Without one the group is chosen here.
type Pick struct {
	Answered bool
	Group    string // empty when no group can take the request
	Full     bool
	// Work is the time that one group would need for the model's work of the last seconds.
	Work time.Duration
	// Wait is the expected wait for the group.
	Wait time.Duration
	// Release is called when the send has ended; nil when there is nothing to tell.
	Release func()
}

// choice is the outcome of choosing a group.
type choice struct {
	group *rudderview.Group
	load  float64 // estimated requests
	full  bool    // groups exist, but all of them are full
}

// chooser holds the inputs of a choice.
type chooser struct {
	now        time.Duration
	entries    int
	dataCentre string
	exclude    map[string]bool // groups that failed this request
	draw       func(n int) int // for tests; nil takes random numbers
}

// choose takes the less loaded of two groups drawn at random: with reports as old as a request lasts,
// always taking the least loaded one makes all entry hosts choose the same group.
func (l *loads) choose(groups []*rudderview.Group, c chooser) choice {
	draw := c.draw
	if draw == nil {
		draw = rand.IntN
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var best, fair, rest []*rudderview.Group
	full := false
	others := l.others(groups, c)
	for _, g := range groups {
		x := l.get(g.Leader.Name, c.now)
		switch {
		case c.exclude[g.ID]:
		case x.estimate(c.now, others) >= fullQueue*float64(max(g.Slots, 1)):
			full = true
		case x.avoid > c.now:
			rest = append(rest, g)
		case g.Draining:
			fair = append(fair, g)
		default:
			best = append(best, g)
		}
	}
	for _, tier := range [][]*rudderview.Group{best, fair, rest} {
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

// cost compares groups: the used part of the slots, and the distance between equals.
func (l *loads) cost(g *rudderview.Group, c chooser, others float64) float64 {
	cost := l.get(g.Leader.Name, c.now).estimate(c.now, others) / float64(max(g.Slots, 1))
	if g.Leader.DataCentre != c.dataCentre {
		cost += 0.02
	}
	return cost
}
