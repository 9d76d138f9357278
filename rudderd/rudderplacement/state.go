package rudderplacement

import (
	"fmt"
	"maps"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// resendUnanswered is the time after which an order without an answer is sent again. Every order names a
	// group and an epoch, so that a second copy is idempotent.
	resendUnanswered = 700 * time.Millisecond
	// resendAccepted is the time after which an order that was accepted, but whose effect the target does not
	// report, is sent again.
	resendAccepted = 3 * time.Second
	// stallMargin is added to Input.StallTimeout before a leader counts as broken.
	stallMargin = 700 * time.Millisecond
	// orderRetention is how long sent orders and former leaders are remembered.
	orderRetention = time.Minute
)

// State is what a planner keeps between two steps. A new planner starts with an empty one and sends all due
// orders again, which is idempotent.
type State struct {
	orders map[string]*sentOrder
	// retirements holds, by group, how groups end.
	retirements map[string]*retirement
	// leaderMissing holds, by group, since when its leader has had no record.
	leaderMissing map[string]time.Duration
	// leaving holds, by group, since when a follower has been leaving.
	leaving map[string]time.Duration
	// leaders holds, by group, its current or last planned leader.
	leaders map[string]plannedLeader
	// orphans holds, by target, those that reported a group whose leader is unknown.
	orphans map[string]orphan
	// complete holds the groups whose members have all reported the group at the same time.
	complete map[string]bool
	// staging holds, by target, the incarnation and the model of the last stage order.
	staging map[string]stagingLoad
	// sizes holds the number of usable targets by domain.
	sizes map[string]domainSize
	// shortages holds, by model, since when it has refused work while another one had room; moved is the uptime of its last move.
	shortages map[string]time.Duration
	moved     map[string]time.Duration
	// preparing holds, by target, the members that should load another model's weights for the next move.
	preparing map[string]stagingLoad
	// loads limits the rate of loads from the weight store.
	loads loadBucket
}

type domainSize struct {
	targets int
	grownAt time.Duration // uptime at which the number last grew
}

// retirement is how a group ends.
type retirement struct {
	since  time.Duration
	reason string
	// silent is the member that does not answer, if that is the only reason. Meanwhile unconfirmed is set until another probe has
	// confirmed it: no orders are sent.
	silent      rudderroster.Member
	unconfirmed bool
	// graceful is the uptime until which the group may finish its requests; 0 if it ends at once.
	graceful time.Duration
	// ending is the uptime from which on the group no longer waits for its requests.
	ending time.Duration
	// left is the uptime at which a follower was first known to have left; 0 before. From then on the leader is stalled, and
	// it is broken after Input.StallTimeout.
	left time.Duration
}

// stagingLoad is a load that one incarnation of a target was ordered to make.
type stagingLoad struct {
	born  int64
	model string
}

// sentOrder is the state of an order that was sent.
type sentOrder struct {
	at           time.Duration
	accepted     bool // the target accepted the order
	inapplicable bool // the target's answer shows that the order has nothing to act on
}

// NewState returns a State that has observed nothing yet.
func NewState() *State {
	return &State{orders: map[string]*sentOrder{}, retirements: map[string]*retirement{}, complete: map[string]bool{}, staging: map[string]stagingLoad{},
		sizes: map[string]domainSize{}, leaderMissing: map[string]time.Duration{}, leaving: map[string]time.Duration{},
		shortages: map[string]time.Duration{}, moved: map[string]time.Duration{}, preparing: map[string]stagingLoad{}, leaders: map[string]plannedLeader{}, orphans: map[string]orphan{}}
}

func orderKey(target string, o ruddertarget.GroupOrder) string {
	return fmt.Sprintf("%s/%s/%s@%d/%s", target, o.Kind, o.Group, o.Epoch, o.Model)
}

func groupKey(g rudderroster.Group) string { return fmt.Sprintf("%s@%d", g.Name, g.Epoch) }

// due reports whether an order should be sent now.
func (st *State) due(now time.Duration, target string, o ruddertarget.GroupOrder) bool {
	s := st.orders[orderKey(target, o)]
	if s == nil {
		return true
	}
	if s.accepted {
		// A load takes many seconds, and the target reports it only when it has ended.
		return o.Kind != ruddertarget.OrderStage && now-s.at >= resendAccepted
	}
	return now-s.at >= resendUnanswered
}

// done reports whether the target accepted the order or has nothing left for it to act on.
func (st *State) done(target string, o ruddertarget.GroupOrder) bool {
	s := st.orders[orderKey(target, o)]
	return s != nil && (s.accepted || s.inapplicable)
}

// MarkSent records that an order is being sent.
func (st *State) MarkSent(now time.Duration, o Order) {
	key := orderKey(o.Target, o.Order)
	if old := st.orders[key]; old != nil {
		old.at = now
		return
	}
	st.orders[key] = &sentOrder{at: now}
}

// MarkDropped records that an order was not sent.
func (st *State) MarkDropped(o Order) { delete(st.orders, orderKey(o.Target, o.Order)) }

// MarkAccepted records that a target accepted an order.
func (st *State) MarkAccepted(o Order) {
	if s := st.orders[orderKey(o.Target, o.Order)]; s != nil {
		s.accepted = true
	}
}

// MarkInapplicable records that a target cannot be in the state that the order would end: it refused the order,
// another target answers at its address, or it has ended.
func (st *State) MarkInapplicable(o Order) {
	if s := st.orders[orderKey(o.Target, o.Order)]; s != nil {
		s.inapplicable = true
	}
}

// recentlyGrown records the number of usable targets of a domain and reports whether it has grown within
// arrivalTime.
func (st *State) recentlyGrown(now time.Duration, domain string, targets int) bool {
	last, known := st.sizes[domain]
	if !known || targets > last.targets {
		last.grownAt = now
	}
	last.targets = targets
	st.sizes[domain] = last
	return now-last.grownAt < arrivalTime
}

// prune drops entries older than orderRetention.
func (st *State) prune(now time.Duration) {
	for key, s := range st.orders {
		if now-s.at > orderRetention {
			delete(st.orders, key)
		}
	}
	for key, leader := range st.leaders {
		if now-leader.at > orderRetention {
			delete(st.leaders, key)
		}
	}
}

// forgetGroups drops what is known of the ends of groups that no stored plan has any more. It is kept until then, because a plan
// without the group may fail to be stored: a group that has ended must not form again.
func (st *State) forgetGroups(plans map[string]StoredPlan) {
	planned := map[string]bool{}
	for _, stored := range plans {
		for _, g := range stored.Plan.Groups {
			planned[groupKey(g)] = true
		}
	}
	maps.DeleteFunc(st.retirements, func(key string, _ *retirement) bool { return !planned[key] })
	maps.DeleteFunc(st.leaving, func(key string, _ time.Duration) bool { return !planned[key] })
}

// loadBucket is a token bucket for loads from the weight store.
type loadBucket struct {
	tokens  float64
	at      time.Duration
	started bool
}

// loadBurstSeconds is the size of the bucket in seconds of the load rate.
const loadBurstSeconds = 2

// loadRateShare is the part of the configured rate that the planner uses. The rest is left for loads that it
// does not know of, such as one started by a late order of its predecessor.
const loadRateShare = 0.8

// take removes the given number of loads from the bucket and reports whether they may start; rate is in loads
// per second.
func (b *loadBucket) take(now time.Duration, rate float64, loads int) bool {
	burst := rate * loadBurstSeconds
	if !b.started {
		b.started, b.tokens, b.at = true, burst, now
	}
	b.tokens = min(burst, b.tokens+rate*loadRateShare*(now-b.at).Seconds())
	b.at = now
	// A group that needs more loads than the bucket holds may start when the bucket is full.
	if b.tokens < float64(loads) && b.tokens < burst {
		return false
	}
	b.tokens -= float64(loads)
	return true
}
