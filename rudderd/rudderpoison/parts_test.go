package rudderpoison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashOf returns the crash of a target in a domain of its own.
func crashOf(target string, suspects ...SuspectRequest) Crash {
	return Crash{Target: target, Domain: "domain of " + target, Suspects: suspects}
}

func suspectOf(request Fingerprint, parts ...Part) SuspectRequest {
	return SuspectRequest{Request: request, Parts: parts}
}

// partStep is one event that an entry host learns of.
type partStep struct {
	after    time.Duration
	crash    Crash
	survived []Part // answers that begin here
}

// Guards against a part that goes on crashing targets, and against the block of a part whose requests were only beside.
func TestPartsAreBlocked(t *testing.T) {
	sameDomain := Crash{Target: "t2", Domain: "domain of t1", Suspects: []SuspectRequest{suspectOf(2, "a", "x")}}
	late := suspectOf(9, "b")
	late.Events = 1
	tests := []struct {
		name  string
		steps []partStep
		want  []Part
	}{
		{"one crash", []partStep{{0, crashOf("t1", suspectOf(1, "a", "x")), nil}}, nil},
		{"the same request twice", []partStep{
			{0, crashOf("t1", suspectOf(1, "a", "x")), nil}, {time.Second, crashOf("t2", suspectOf(1, "a", "x")), nil},
		}, nil},
		{"two requests: the part that fewer share", []partStep{
			{0, crashOf("t1", suspectOf(1, "a", "x")), nil}, {time.Second, crashOf("t2", suspectOf(2, "a", "x")), nil},
		}, []Part{"x"}},
		{"one target reported by two hosts", []partStep{
			{0, crashOf("t1", suspectOf(1, "x")), nil}, {time.Second, crashOf("t1", suspectOf(2, "x")), nil},
		}, nil},
		{"a part on which answers begin", []partStep{
			{0, crashOf("t1", suspectOf(1, "a")), nil}, {time.Second, Crash{}, []Part{"a"}}, {2 * time.Second, crashOf("t2", suspectOf(2, "a")), nil},
		}, nil},
		{"a known part that begins to crash targets", []partStep{
			{0, Crash{}, []Part{"a"}}, {1 * time.Second, crashOf("t1", suspectOf(1, "a")), nil}, {2 * time.Second, crashOf("t2", suspectOf(2, "a")), nil},
			{3 * time.Second, crashOf("t3", suspectOf(3, "a")), nil}, {4 * time.Second, crashOf("t4", suspectOf(4, "a")), nil},
		}, []Part{"a"}},
		{"simultaneous in one domain", []partStep{{0, crashOf("t1", suspectOf(1, "a", "x")), nil}, {200 * time.Millisecond, sameDomain, nil}}, nil},
		{"beside, on another part", []partStep{
			{0, crashOf("t1", suspectOf(1, "a", "x"), suspectOf(5, "b")), nil},
			{time.Second, crashOf("t2", suspectOf(2, "a", "x"), suspectOf(6, "b")), nil},
		}, []Part{"x"}},
		{"beside, with the same evidence", []partStep{
			{0, crashOf("t1", suspectOf(1, "x"), suspectOf(5, "b")), nil}, {time.Second, crashOf("t2", suspectOf(2, "x"), suspectOf(6, "b")), nil},
		}, nil},
		{"two parts below one that is not known, each request sent again", []partStep{
			{0, crashOf("t1", suspectOf(1, "a", "x")), nil}, {1 * time.Second, crashOf("t2", suspectOf(2, "a", "y")), nil},
			{2 * time.Second, crashOf("t3", suspectOf(1, "a", "x")), nil}, {3 * time.Second, crashOf("t4", suspectOf(2, "a", "y")), nil},
		}, nil},
		{"only suspects with an event", []partStep{
			{0, crashOf("t1", SuspectRequest{1, []Part{"x"}, 1}), nil}, {1 * time.Second, crashOf("t2", SuspectRequest{2, []Part{"x"}, 1}), nil},
		}, nil},
		{"beside, with an event", []partStep{
			{0, crashOf("t1", suspectOf(1, "x"), late), nil}, {time.Second, crashOf("t2", suspectOf(2, "x"), late), nil},
		}, []Part{"x"}},
		{"two parts below one", []partStep{
			{0, Crash{}, []Part{"a"}},
			{1 * time.Second, crashOf("t1", suspectOf(1, "a", "x")), nil}, {2 * time.Second, crashOf("t2", suspectOf(2, "a", "y")), nil},
			{3 * time.Second, crashOf("t3", suspectOf(3, "a", "x")), nil}, {4 * time.Second, crashOf("t4", suspectOf(4, "a", "y")), nil},
		}, []Part{"x", "y"}},
		{"three parts below one that is not known", []partStep{
			{0, crashOf("t1", suspectOf(1, "a", "x")), nil}, {1 * time.Second, crashOf("t2", suspectOf(2, "a", "y")), nil},
			{2 * time.Second, crashOf("t3", suspectOf(3, "a", "z")), nil}, {3 * time.Second, crashOf("t4", suspectOf(4, "a", "y")), nil},
		}, []Part{"y"}},
		{"a part above others", []partStep{
			{0, crashOf("t1", suspectOf(1, "x", "a")), nil}, {1 * time.Second, crashOf("t2", suspectOf(2, "x", "b")), nil},
			{2 * time.Second, crashOf("t3", suspectOf(3, "x", "c")), nil}, {3 * time.Second, crashOf("t4", suspectOf(4, "x", "d")), nil},
		}, []Part{"x"}},
		{"expired evidence", []partStep{
			{0, crashOf("t1", suspectOf(1, "x")), nil}, {crashTTL + time.Second, crashOf("t2", suspectOf(2, "x")), nil},
		}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := NewPartTracker()
			now := start
			for _, s := range test.steps {
				now = start.Add(s.after)
				if s.crash.Target != "" {
					tracker.Record(now, 0, s.crash)
					tracker.Evaluate(now)
				}
				tracker.Survived(now, s.survived)
			}
			require.ElementsMatch(t, test.want, tracker.BlockedParts(now))
		})
	}
}

func blockedTracker(t *testing.T) *PartTracker {
	t.Helper()
	tracker := NewPartTracker()
	tracker.Record(start, 1, crashOf("t1", suspectOf(1, "x")))
	tracker.Record(start.Add(time.Second), 2, crashOf("t2", suspectOf(2, "x")))
	require.Len(t, tracker.Evaluate(start.Add(time.Second)), 1)
	return tracker
}

// Guards against a suspicion that outlives its refutation, here or at another entry host.
func TestSuspicionEnds(t *testing.T) {
	now := start.Add(2 * time.Second)
	tracker := blockedTracker(t)
	charged, unblocked := tracker.Survived(now, []Part{"x"})
	require.Equal(t, []Part{"x"}, charged)
	require.Equal(t, []Part{"x"}, unblocked)
	require.Empty(t, tracker.BlockedParts(now))

	tracker = blockedTracker(t)
	tracker.ApplyBlock(now, "x", false, 0, 3)
	require.False(t, tracker.ApplySound("x", 3), "older than the block")
	require.True(t, tracker.ApplySound("x", 4))
	require.Empty(t, tracker.BlockedParts(now))
	tracker.Record(now, 2, crashOf("t2", suspectOf(2, "x")))
	require.Empty(t, tracker.Evaluate(now), "the same crash again, as after a new list")
	blocked, _ := tracker.ApplyBlock(now, "x", false, 0, 3)
	require.False(t, blocked, "a block that is older than the refutation")

	tracker = blockedTracker(t)
	block, _ := tracker.Blocked(start.Add(blockTTL), []Part{"x"})
	require.NotNil(t, block)
	block, _ = tracker.Blocked(start.Add(3*blockTTL), []Part{"x"})
	require.Nil(t, block, "no request with the part for a long time")
}

// Guards against an entry host with little knowledge whose block all others take over.
func TestBlockIsContested(t *testing.T) {
	tracker := NewPartTracker()
	tracker.Record(start, 1, crashOf("t1", suspectOf(1, "x")))
	tracker.Survived(start.Add(time.Second), []Part{"x"})
	blocked, contested := tracker.ApplyBlock(start.Add(2*time.Second), "x", false, 0, 2)
	require.False(t, blocked)
	require.True(t, contested)
	blocked, contested = NewPartTracker().ApplyBlock(start, "x", false, 0, 2)
	require.True(t, blocked, "an entry host that has just started knows nothing else")
	require.False(t, contested)
}

// Guards against trials that let more than one request pass, or that come often enough to crash target after target.
func TestTrials(t *testing.T) {
	tracker := blockedTracker(t)
	now := start.Add(time.Second)
	block := tracker.FindBlock("x")
	require.Equal(t, firstTrial, block.RetryAfter(now))
	tracker.ApplyBlock(now, "x", false, 1, 10)
	require.Equal(t, trialFactor*firstTrial, tracker.FindBlock("x").RetryAfter(now))
	tracker.ApplyBlock(now.Add(time.Minute), "x", false, 1, 10)
	require.Equal(t, trialFactor*firstTrial, tracker.FindBlock("x").RetryAfter(now), "the same record again")
	tracker.OpenTrial("x", now.Add(time.Second))
	_, trial := tracker.Blocked(now, []Part{"x"})
	require.True(t, trial)
	again, trial := tracker.Blocked(now, []Part{"x"})
	require.NotNil(t, again)
	require.False(t, trial)
	require.Equal(t, maxTrialInterval, trialInterval(true, 1000))
}

// Guards against entry hosts that reach different verdicts from the same crashes, in whichever order they learn of them.
func TestPartVerdictsIgnoreOrder(t *testing.T) {
	draw := rand.New(rand.NewPCG(5, 5))
	for range 50 {
		var crashes []Crash
		for i := range 12 {
			crashes = append(crashes, crashOf(fmt.Sprint("t", i), suspectOf(Fingerprint(draw.IntN(6)), "a", Part(fmt.Sprint("x", draw.IntN(3))))))
		}
		var want []Part
		for order := range 5 {
			tracker := NewPartTracker()
			for _, i := range draw.Perm(len(crashes)) {
				tracker.Record(start, 0, crashes[i])
			}
			tracker.Evaluate(start)
			if order == 0 {
				want = tracker.BlockedParts(start)
			}
			require.ElementsMatch(t, want, tracker.BlockedParts(start))
		}
	}
}

// Guards against memory that grows with the number of requests or of parts.
func TestPartMemoryIsBounded(t *testing.T) {
	tracker := NewPartTracker()
	now := start
	for i := range 3 * maxParts {
		now = now.Add(time.Second)
		tracker.Survived(now, []Part{Part(fmt.Sprint("sound", i))})
	}
	for i := range 3 * maxCrashes {
		var suspects []SuspectRequest
		for k := range 2 * maxSuspects {
			suspects = append(suspects, suspectOf(Fingerprint(i*1000+k), Part(fmt.Sprint("x", i, "-", k))))
		}
		now = now.Add(time.Millisecond)
		tracker.Record(now, 0, crashOf(fmt.Sprint("t", i), suspects...))
	}
	require.LessOrEqual(t, len(tracker.crashes), maxCrashes)
	require.LessOrEqual(t, len(tracker.parts), maxParts)
	for _, c := range tracker.crashes {
		require.LessOrEqual(t, len(c.charges), maxSuspects)
	}
	require.Len(t, SharedParts("service", make([]string, 1000)), maxSuspectParts)
	require.Empty(t, SharedParts("service", []string{"own"}))
	require.Len(t, SharedParts("service", []string{string(make([]byte, 4096)), "own"})[0], 16)
}

// Guards against a request that is refused for crashes although a target has begun its answer since.
func TestForgive(t *testing.T) {
	tracker := NewTracker(0)
	tracker.Record(start, death("t1", "", 0, 1), death("t2", "", 0, 1))
	require.Equal(t, Poison, tracker.Verdict(1), "no domain, so no domain loss")
	require.Equal(t, deathTTL, tracker.RetryAfter(start, 1))
	tracker.Forgive(1)
	require.Equal(t, Clear, tracker.Verdict(1))
}
