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
	claimsStoreWrites  = 300 // writes a second that the key-value service takes
	claimsPeerLatency  = time.Millisecond
	// claimsPeerTimeout is after how long a claim is sent to the next collector, as in rudderclaim.
	claimsPeerTimeout = 250 * time.Millisecond
	// claimsSuspicion is after how long the member list drops a dead host, as the design has it.
	claimsSuspicion   = 3 * time.Second
	claimsEntryHosts  = 18
	claimsServiceTime = 20 * time.Millisecond
	claimsAnswerBytes = 300
)

// claimsEvent is one thing that happens at a virtual time.
type claimsEvent struct {
	at  time.Time
	seq int
	run func()
}

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

// claimsWorld is a virtual time with a key-value service and collectors.
type claimsWorld struct {
	now    time.Time
	seq    int
	events claimsEvents
	random *rand.Rand

	entries    map[string]rudderstore.Entry
	revision   int64
	recent     []time.Time // writes within the last second
	writes     int
	bytes      int
	limited    int
	reads      int
	tokens     int
	collectors [rudderclaim.ShardCount][]*claimsCollector

	latencies    []time.Duration
	suspects     [claimsEntryHosts]rudderclaim.Suspects
	lastDecision time.Time
	granted      map[string]int
	refused      int
}

func newClaimsWorld(seed uint64) *claimsWorld {
	return &claimsWorld{
		now: time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, seed)),
		entries: map[string]rudderstore.Entry{}, granted: map[string]int{},
	}
}

func (w *claimsWorld) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, claimsEvent{at: w.now.Add(d), seq: w.seq, run: run})
}

func (w *claimsWorld) run() {
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(claimsEvent)
		w.now = e.at
		e.run()
	}
}

func (w *claimsWorld) newToken() string {
	w.tokens++
	return fmt.Sprintf("token%020d", w.tokens)
}

// admitWrite applies the service's write limit over the last second.
func (w *claimsWorld) admitWrite() bool {
	for len(w.recent) > 0 && w.now.Sub(w.recent[0]) >= time.Second {
		w.recent = w.recent[1:]
	}
	if len(w.recent) >= claimsStoreWrites {
		w.limited++
		return false
	}
	w.recent = append(w.recent, w.now)
	w.writes++
	return true
}

// perform applies a step at the service. A write that conflicts counts as a write.
func (w *claimsWorld) perform(step rudderclaim.Step) rudderclaim.Result {
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

// claimsCollector runs the core of a shard in the virtual time, as rudderclaim's collector does on a clock.
type claimsCollector struct {
	world   *claimsWorld
	core    *rudderclaim.Shard
	busy    bool
	dead    bool
	dropped bool // from the member list
	timer   int  // generation of the timer that counts
	waiting map[uint64]func(rudderclaim.Decision)
}

func (w *claimsWorld) newCollector(shard int) *claimsCollector {
	return &claimsCollector{
		world: w, core: rudderclaim.NewShard(shard, rudderclaim.DefaultLimits(), w.newToken),
		waiting: map[uint64]func(rudderclaim.Decision){},
	}
}

func (c *claimsCollector) poke() {
	if c.busy || c.dead {
		return
	}
	step, replies := c.core.Next(c.world.now)
	c.deliver(replies)
	switch step.Kind {
	case rudderclaim.StepIdle:
	case rudderclaim.StepWait:
		c.timer++
		generation := c.timer
		c.world.after(max(0, step.At.Sub(c.world.now)), func() {
			if generation == c.timer {
				c.poke()
			}
		})
	default:
		c.busy = true
		c.world.after(claimsStoreLatency/2, func() {
			result := c.world.perform(step)
			c.world.after(claimsStoreLatency-claimsStoreLatency/2, func() {
				c.busy = false
				c.deliver(c.core.Finish(result, c.world.now))
				c.poke()
			})
		})
	}
}

func (c *claimsCollector) deliver(replies []rudderclaim.Reply) {
	for _, r := range replies {
		if done := c.waiting[r.ID]; done != nil && !c.dead {
			c.world.after(claimsPeerLatency, func() { done(r.Decision) })
		}
		delete(c.waiting, r.ID)
	}
}
