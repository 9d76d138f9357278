package rudderclaim

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyrudder.example/shared/rudderstore"
)

// TestMain fixes the seed and the number of steps unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20260302", "rapid.checks": "300", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// history is a random run of callers, two collectors of one shard and a faulty service. It counts the
// runs of each key, which is the oracle for at-most-once work.
type history struct {
	t          *rapid.T
	store      *fakeStore
	limits     Limits
	now        time.Time
	collectors []*Shard
	attempts   []*attempt
	runs       map[string]int
	bodies     map[string]string // body that ran, by key
	asked      map[string]*attempt
	snapshot   *fakeSnapshot
	memory     *memory // of the entry hosts; nil when they remember nothing
}

// attempt is one call of a caller: claimed with one token at one or both collectors.
type attempt struct {
	key      string
	request  Request
	over     bool // given up or decided: a later grant must not dispatch
	ran      bool
	released bool
	settled  bool
}

func newHistory(t *rapid.T, collectors int) *history {
	limits := DefaultLimits()
	limits.HeadBytes, limits.BusyHeadBytes, limits.SegmentBytes, limits.CompactRun = 900, 1800, 4000, 3
	h := &history{
		t: t, store: newFakeStore(), limits: limits, now: testStart,
		runs: map[string]int{}, bodies: map[string]string{}, asked: map[string]*attempt{},
	}
	for range collectors {
		h.collectors = append(h.collectors, NewShard(0, limits, newToken))
	}
	return h
}

func (h *history) pick(count int, label string) int {
	return rapid.IntRange(0, count-1).Draw(h.t, label)
}

func (h *history) ask(collector int, kind opKind, a *attempt) {
	c, deadline := h.collectors[collector], h.now.Add(2*time.Second)
	var id uint64
	switch kind {
	case opClaim:
		id = c.Claim(a.request, h.now, deadline)
	case opSettle:
		id = c.Settle(a.request, &Answer{Status: 200, Body: []byte(a.request.body)}, h.now, deadline)
	case opRelease:
		id = c.Release(a.request, h.now, deadline)
	}
	h.asked[fmt.Sprintf("%p/%d/%d", c, id, kind)] = a
}

// newClaim sends a call, or sends a pending one to another collector with the same token.
func (h *history) newClaim() {
	a := &attempt{key: fmt.Sprint("key", h.pick(4, "key"))}
	a.request = shardZero(keyed(a.key, fmt.Sprint("body", h.pick(5, "body")/4)))
	h.attempts = append(h.attempts, a)
	h.ask(h.pick(len(h.collectors), "collector"), opClaim, a)
}

func (h *history) repeatClaim() {
	if len(h.attempts) > 0 {
		h.ask(h.pick(len(h.collectors), "collector"), opClaim, h.attempts[h.pick(len(h.attempts), "attempt")])
	}
}

// giveUp ends an undecided call as not run and releases its claim.
func (h *history) giveUp() {
	if len(h.attempts) == 0 {
		return
	}
	if a := h.attempts[h.pick(len(h.attempts), "attempt")]; !a.ran {
		a.over = true
		h.ask(h.pick(len(h.collectors), "collector"), opRelease, a)
	}
}

func (h *history) settle() {
	for _, a := range h.attempts {
		if a.ran && !a.settled {
			h.ask(h.pick(len(h.collectors), "collector"), opSettle, a)
			return
		}
	}
}

// step lets one collector do one thing.
func (h *history) step() {
	c := h.collectors[h.pick(len(h.collectors), "collector")]
	step, replies := c.Next(h.now)
	h.take(c, replies)
	var r Result
	switch step.Kind {
	case StepIdle:
		return
	case StepWait:
		h.now = h.now.Add(time.Duration(h.pick(200, "wait")) * time.Millisecond)
		return
	case StepGet:
		r.Entry, r.Revision, r.Err = h.store.get(context.Background(), step.Key)
	case StepPut:
		r.Revision, r.Err = h.store.putCall(context.Background(), step.Put)
	case StepDelete:
		r.Revision, r.Err = h.store.deleteCall(context.Background(), step.Key, rudderstore.AnyRevision)
	case StepRecall:
		r.Recall = h.memory.recall(0, step.After, h.now)
	}
	h.now = h.now.Add(3 * time.Millisecond)
	h.take(c, c.Finish(r, h.now))
}

// take checks each decision against what really ran.
func (h *history) take(c *Shard, replies []Reply) {
	for _, r := range replies {
		for kind, done := range []func(*attempt, Decision){h.decided, h.settledBy, h.releasedBy} {
			if a := h.asked[fmt.Sprintf("%p/%d/%d", c, r.ID, kind)]; a != nil {
				r.Decision.seq = c.Seq()
				done(a, r.Decision)
			}
		}
	}
}

func (h *history) decided(a *attempt, d Decision) {
	switch d.Verdict {
	case VerdictGranted:
		if !a.over {
			a.over, a.ran = true, true
			h.runs[a.key]++
			h.bodies[a.key] = a.request.body
			if h.memory != nil {
				h.memory.saw(0, d.seq)
				h.memory.granted(a.request, h.limits, d.seq, h.now)
			}
			require.LessOrEqual(h.t, h.runs[a.key], 1, "%s ran twice", a.key)
		}
	case VerdictStored:
		require.Equal(h.t, 1, h.runs[a.key], "an answer is told for %s, which did not run", a.key)
		require.Equal(h.t, h.bodies[a.key], a.request.body)
		if d.Answer != nil {
			require.Equal(h.t, h.bodies[a.key], string(d.Answer.Body))
		}
	}
}

func (h *history) settledBy(a *attempt, d Decision) {
	a.settled = a.settled || d.Verdict == VerdictApplied
}

func (h *history) releasedBy(a *attempt, d Decision) {
	a.released = a.released || d.Verdict == VerdictApplied
}

// actions are the steps of every history. Steps of collectors and calls outweigh faults.
func (h *history) actions() map[string]func(*rapid.T) {
	acts := map[string]func(){
		"claim": h.newClaim, "claim 2": h.newClaim, "repeat": h.repeatClaim, "give up": h.giveUp, "settle": h.settle,
		"lose answer": func() { h.store.loseAnswers = 1 },
		"delay write": func() { h.store.delayWrites = 1 },
		"deliver":     h.store.deliver,
		"down":        func() { h.store.down = true },
		"limited":     func() { h.store.limited = true },
		"up":          func() { h.store.down, h.store.limited = false, false },
		"pass time":   func() { h.now = h.now.Add(time.Duration(h.pick(3000, "ms")) * time.Millisecond) },
	}
	for i := range 12 {
		acts[fmt.Sprint("step ", i)] = h.step
	}
	wrapped := map[string]func(*rapid.T){}
	for name, act := range acts {
		wrapped[name] = func(t *rapid.T) { h.t = t; act() }
	}
	return wrapped
}

// finish ends all faults and calls, and checks that keys whose calls did not run are free again.
func (h *history) finish() {
	h.store.down, h.store.limited, h.store.loseAnswers, h.store.delayWrites = false, false, 0, 0
	h.store.deliver()
	for _, c := range h.collectors {
		d := &driver{store: h.store, core: c, now: h.now, replies: map[uint64]Decision{}}
		d.settleDown(10 * time.Second)
		h.now = d.now
	}
	last := newDriver(h.store, h.limits)
	last.now = h.now
	for _, a := range h.attempts {
		if !a.ran {
			require.Equal(h.t, VerdictApplied, last.release(a.request))
		}
	}
	for _, a := range h.attempts {
		v := last.claim(shardZero(keyed(a.key, "last")))
		if h.runs[a.key] > 0 {
			require.NotEqual(h.t, VerdictGranted, v, "%s ran", a.key)
			continue
		}
		require.Equal(h.t, VerdictGranted, v, "%s did not run but its key is used", a.key)
		h.runs[a.key] = 1
	}
}

// Guards against two runs of one key, or a false answer, whatever the service and two collectors of
// the same shard do; a collector may lose its memory at any moment.
func TestRandomHistoriesWithTwoCollectors(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(rt, 2)
		acts := h.actions()
		acts["collector dies"] = func(t *rapid.T) {
			h.t = t
			h.collectors[h.pick(2, "collector")] = NewShard(0, h.limits, newToken)
		}
		rt.Repeat(acts)
		h.t = rt
		h.finish()
	})
}

// Guards against a restored service that makes a living collector grant a used key again.
func TestRandomHistoriesWithRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(rt, 1)
		acts := h.actions()
		acts["snapshot"] = func(*rapid.T) { s := h.store.snapshot(); h.snapshot = &s }
		acts["restore"] = func(*rapid.T) {
			if h.snapshot != nil {
				h.store.restore(*h.snapshot)
				h.store.delayed = nil
			}
		}
		rt.Repeat(acts)
	})
}
