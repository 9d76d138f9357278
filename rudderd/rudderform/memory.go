package rudderform

import (
	"fmt"
	"time"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// resendUnanswered is the time after which an order without an answer is sent again. All orders
	// name a group and an epoch, so that a second copy has no effect of its own.
	resendUnanswered = 700 * time.Millisecond
	// resendTaken is the time after which an order that was taken, but has not shown in the target's
	// own word, is sent again.
	resendTaken = 3 * time.Second
	// stallMargin is added to the time after which a leader counts as broken.
	stallMargin = 700 * time.Millisecond
	// memoryTime is how long an order is remembered.
	memoryTime = time.Minute
)

// State is what a planner remembers between two steps. A new planner starts with an empty one: it sends
// the orders that are due again, which has no second effect.
type State struct {
	orders map[string]*sent
	// retirements are the groups that end.
	retirements map[string]*retirement
	// headless holds, by group, since when its leader has no record.
	headless map[string]time.Duration
	// leaving holds, by group, since when a follower leaves.
	leaving map[string]time.Duration
	// leaders holds, by group, who leads or led it, and orphans, by target, those whose leader is not known.
	leaders map[string]plannedLeader
	orphans map[string]orphan
	// complete are groups whose members were all seen in the group.
	complete map[string]bool
	// staging holds, by target, the life and model of the stage order that was sent.
	staging map[string]stagingLife
	// sizes holds the number of usable targets by domain.
	sizes map[string]domainSize
	loads loadBucket
}

type domainSize struct {
	targets int
	grew    time.Duration
}

// retirement is how a group ends.
type retirement struct {
	since  time.Duration
	reason string
	// graceful groups may finish their requests until this uptime; 0 for the others.
	graceful time.Duration
}

type stagingLife struct {
	born  int64
	model string
}

type sent struct {
	at    time.Duration
	taken bool // the target took the order
	over  bool // the target's answer shows that the order has nothing to act on
}

// NewState returns an empty memory.
func NewState() *State {
	return &State{orders: map[string]*sent{}, retirements: map[string]*retirement{}, complete: map[string]bool{}, staging: map[string]stagingLife{},
		sizes: map[string]domainSize{}, headless: map[string]time.Duration{}, leaving: map[string]time.Duration{},
		leaders: map[string]plannedLeader{}, orphans: map[string]orphan{}}
}

func orderKey(target string, o ruddertarget.GroupOrder) string {
	return fmt.Sprintf("%s/%s/%s@%d/%s", target, o.Kind, o.Group, o.Epoch, o.Model)
}

func groupKey(g rudderroster.Group) string { return fmt.Sprintf("%s@%d", g.Name, g.Epoch) }

// due reports whether an order should be sent now.
func (m *State) due(now time.Duration, target string, o ruddertarget.GroupOrder) bool {
	s := m.orders[orderKey(target, o)]
	if s == nil {
		return true
	}
	if s.taken {
		// A load takes many seconds and shows only at its end.
		return o.Kind != ruddertarget.OrderStage && now-s.at >= resendTaken
	}
	return now-s.at >= resendUnanswered
}

// done reports whether the target took the order, or has nothing left for it to act on.
func (m *State) done(target string, o ruddertarget.GroupOrder) bool {
	s := m.orders[orderKey(target, o)]
	return s != nil && (s.taken || s.over)
}

// MarkSent notes that an order is being sent.
func (m *State) MarkSent(now time.Duration, o Order) {
	key := orderKey(o.Target, o.Order)
	if old := m.orders[key]; old != nil {
		old.at = now
		return
	}
	m.orders[key] = &sent{at: now}
}

// MarkAccepted notes that a target took an order.
func (m *State) MarkAccepted(o Order) {
	if s := m.orders[orderKey(o.Target, o.Order)]; s != nil {
		s.taken = true
	}
}

// MarkInapplicable notes that a target cannot be in the state that the order would end: it refused the order, it is
// another target, or nothing listens at its address.
func (m *State) MarkInapplicable(o Order) {
	if s := m.orders[orderKey(o.Target, o.Order)]; s != nil {
		s.over = true
	}
}

// grew notes the number of usable targets of a domain, and reports whether it has grown lately.
func (m *State) grew(now time.Duration, domain string, targets int) bool {
	last, known := m.sizes[domain]
	if !known || targets > last.targets {
		last.grew = now
	}
	last.targets = targets
	m.sizes[domain] = last
	return now-last.grew < arrivalTime
}

// forget drops old orders.
func (m *State) forget(now time.Duration) {
	for key, s := range m.orders {
		if now-s.at > memoryTime {
			delete(m.orders, key)
		}
	}
	for key, leader := range m.leaders {
		if now-leader.at > memoryTime {
			delete(m.leaders, key)
		}
	}
}

// loadBucket limits the loads from the weight store.
type loadBucket struct {
	tokens  float64
	at      time.Duration
	started bool
}

// loadBurstSeconds is the number of seconds of loads that may begin at once.
const loadBurstSeconds = 2

// loadRateShare keeps the loads below the limit, because a load that this planner does not know of may
// begin too, such as a late order of its predecessor.
const loadRateShare = 0.8

// take takes loads from the bucket; rate is loads per second.
func (b *loadBucket) take(now time.Duration, rate float64, loads int) bool {
	burst := rate * loadBurstSeconds
	if !b.started {
		b.started, b.tokens, b.at = true, burst, now
	}
	b.tokens = min(burst, b.tokens+rate*loadRateShare*(now-b.at).Seconds())
	b.at = now
	// A group that needs more loads than the burst may begin on a full bucket.
	if b.tokens < float64(loads) && b.tokens < burst {
		return false
	}
	b.tokens -= float64(loads)
	return true
}
