package rudderbench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"comfreyrudder.example/rudderd/rudderclaim"
	"comfreyrudder.example/shared/rudderstore"
)

const (
	claimsStoreLatency = 3 * time.Millisecond
	claimsStoreWrites  = 300 // writes per second that the key-value service accepts
	claimsPeerLatency  = time.Millisecond
	// claimsPeerTimeout is the time after which a claim is sent to the next collector, as in rudderclaim.
	claimsPeerTimeout = 250 * time.Millisecond
	// claimsFailureDetection is the time after which a dead host is removed from the member list, as the design
	// specifies.
	claimsFailureDetection = 3 * time.Second
	claimsEntryHosts       = 18
	claimsServiceTime      = 20 * time.Millisecond
	claimsResponseBytes    = 300
)

// claimsEvent is a function to run at a virtual time.
type claimsEvent struct {
	at  time.Time
	seq int
	run func()
}

// claimsEvents is a heap of events, ordered by time and then by insertion.
type claimsEvents []claimsEvent

func (e claimsEvents) Len() int      { return len(e) }
func (e claimsEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e claimsEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

// Push implements heap.Interface.
func (e *claimsEvents) Push(x any) { *e = append(*e, x.(claimsEvent)) }

// Pop implements heap.Interface.
func (e *claimsEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// claimsSimulation is a discrete-event simulation of a key-value service, collectors and entry hosts.
type claimsSimulation struct {
	now    time.Time
	seq    int
	events claimsEvents
	random *rand.Rand

	entries      map[string]rudderstore.Entry
	revision     int64
	recentWrites []time.Time // times of the writes within the last second
	writes       int
	bytes        int
	limited      int
	reads        int
	tokens       int
	collectors   [rudderclaim.ShardCount][]*claimsCollector

	latencies    []time.Duration
	suspects     [claimsEntryHosts]rudderclaim.Suspects
	lastDecision time.Time
	granted      map[string]int
	refused      int
}

func newClaimsSimulation(seed uint64) *claimsSimulation {
	return &claimsSimulation{
		now: time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, seed)),
		entries: map[string]rudderstore.Entry{}, granted: map[string]int{},
	}
}

func (w *claimsSimulation) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, claimsEvent{at: w.now.Add(d), seq: w.seq, run: run})
}

func (w *claimsSimulation) run() {
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(claimsEvent)
		w.now = e.at
		e.run()
	}
}

func (w *claimsSimulation) newToken() string {
	w.tokens++
	return fmt.Sprintf("token%020d", w.tokens)
}

// admitWrite applies the write limit of the service to the last second, and counts the write if it is allowed.
func (w *claimsSimulation) admitWrite() bool {
	for len(w.recentWrites) > 0 && w.now.Sub(w.recentWrites[0]) >= time.Second {
		w.recentWrites = w.recentWrites[1:]
	}
	if len(w.recentWrites) >= claimsStoreWrites {
		w.limited++
		return false
	}
	w.recentWrites = append(w.recentWrites, w.now)
	w.writes++
	return true
}

// perform applies a step at the key-value service. A conflicting write counts as a write.
func (w *claimsSimulation) perform(step rudderclaim.Step) rudderclaim.Result {
	if step.Kind == rudderclaim.StepGet {
		w.reads++
		e, ok := w.entries[step.Key]
		if !ok {
			return rudderclaim.Result{Revision: w.revision, Err: rudderstore.ErrNotFound}
		}
		return rudderclaim.Result{Entry: e, Revision: w.revision}
	}
	if !w.admitWrite() {
		return rudderclaim.Result{Err: rudderstore.ErrRateLimited}
	}
	if step.Kind == rudderclaim.StepDelete {
		w.revision++
		delete(w.entries, step.Key)
		return rudderclaim.Result{Revision: w.revision}
	}
	w.bytes += len(step.Put.Value)
	if w.entries[step.Put.Key].Revision != step.Put.Expected {
		return rudderclaim.Result{Err: rudderstore.ErrConflict}
	}
	w.revision++
	w.entries[step.Put.Key] = rudderstore.Entry{Key: step.Put.Key, Value: step.Put.Value, Revision: w.revision}
	return rudderclaim.Result{Revision: w.revision}
}

// claimsCollector runs the state machine of a shard in virtual time, as rudderclaim's collector does in real
// time.
type claimsCollector struct {
	simulation      *claimsSimulation
	core            *rudderclaim.Shard
	busy            bool
	dead            bool
	removed         bool // from the member list
	timerGeneration int  // generation of the latest timer; earlier ones are ignored
	waiting         map[uint64]func(rudderclaim.Decision)
}

func (w *claimsSimulation) newCollector(shard int) *claimsCollector {
	return &claimsCollector{
		simulation: w, core: rudderclaim.NewShard(shard, rudderclaim.DefaultLimits(), w.newToken),
		waiting: map[uint64]func(rudderclaim.Decision){},
	}
}

// advance performs the next step of the shard, unless a step is in progress or the collector is dead.
func (c *claimsCollector) advance() {
	if c.busy || c.dead {
		return
	}
	step, replies := c.core.Next(c.simulation.now)
	c.deliver(replies)
	switch step.Kind {
	case rudderclaim.StepIdle:
	case rudderclaim.StepWait:
		c.timerGeneration++
		generation := c.timerGeneration
		c.simulation.after(max(0, step.At.Sub(c.simulation.now)), func() {
			if generation == c.timerGeneration {
				c.advance()
			}
		})
	default:
		c.busy = true
		c.simulation.after(claimsStoreLatency/2, func() {
			result := c.simulation.perform(step)
			c.simulation.after(claimsStoreLatency-claimsStoreLatency/2, func() {
				c.busy = false
				c.deliver(c.core.Finish(result, c.simulation.now))
				c.advance()
			})
		})
	}
}

// deliver sends decisions back to their callers after the network latency.
func (c *claimsCollector) deliver(replies []rudderclaim.Reply) {
	for _, r := range replies {
		if done := c.waiting[r.ID]; done != nil && !c.dead {
			c.simulation.after(claimsPeerLatency, func() { done(r.Decision) })
		}
		delete(c.waiting, r.ID)
	}
}
