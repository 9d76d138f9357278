package rudderforward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

// Guards against an owner that does not learn which groups are slow.
func TestSlowGroupsAreReported(t *testing.T) {
	b := newTestbed(t)
	b.document.Services[1].Engine.Step, b.document.Services[1].Engine.TokensPerEvent = 10*time.Millisecond, 1
	b.route("/s/", streamRoute(true))
	for range 2 {
		b.target("llm", func(w http.ResponseWriter, r *http.Request) {
			for i := range 8 {
				time.Sleep(slowPace)
				events(w, i, i+1, 0)
			}
		})
	}
	b.start()
	var probes atomic.Int32
	b.forwarder.ExamineGroup = func(context.Context, *rudderview.Group, time.Duration) (GroupFinding, bool) {
		probes.Add(1)
		return GroupFinding{Slow: []string{"t1"}}, true
	}
	var mu sync.Mutex
	var reported [][]string
	b.forwarder.Pick = func(_ context.Context, q PickQuery) Pick {
		mu.Lock()
		defer mu.Unlock()
		reported = append(reported, q.Slow)
		return Pick{Answered: true, Group: "g-t1@1"}
	}
	for range 2 {
		_, _, err := b.send(http.MethodPost, "/s/x", "prompt")
		require.NoError(t, err)
	}
	require.Equal(t, [][]string{nil, {"g-t1@1"}}, reported)
	require.Equal(t, int32(1), probes.Load(), "one probe while the group is known to be slow")
}

// Guards against an entry host that prefers slow groups when it chooses without the model's owner, and against a request that
// hangs in a slow group and moves to another slow one.
func TestSlowGroupsComeLastWithoutOwner(t *testing.T) {
	b := newTestbed(t)
	b.route("/s/", streamRoute(true))
	for range 3 {
		b.target("llm", func(http.ResponseWriter, *http.Request) {})
	}
	b.start()
	f := b.forwarder
	snapshot, now := f.View.Snapshot(), f.Uptime()
	groups := snapshot.Groups("llm", "")
	require.Len(t, groups, 3)
	f.recordSlow(groups, []string{groups[0].ID})
	f.loads.foundSlow(groups[2].Leader.Name, now+time.Second, now)
	j := &job{route: &rudderroute.Route{}, service: "llm"}
	for range 20 {
		require.Equal(t, groups[1], f.chooseHere(j, snapshot, groups).group)
	}
	h := &hangGuard{forwarder: f, job: j, group: groups[0]}
	require.True(t, h.hasOther(snapshot, now))
	j.excludeGroup(groups[1])
	h.exclude = j.exclude
	require.False(t, h.hasOther(snapshot, now), "the third group is slow too")
	require.NotNil(t, f.chooseHere(j, snapshot, groups).group, "a slow group is better than none")
}

// Guards against a group that counts as slow because of single prompts that are read, or because of old events.
func TestPace(t *testing.T) {
	const usual, slow = 40 * time.Millisecond, 240 * time.Millisecond
	for _, test := range []struct {
		name string
		gaps []time.Duration
		idle time.Duration
		want time.Duration
	}{
		{"too few", []time.Duration{slow, slow, slow}, 0, 0},
		{"usual", []time.Duration{usual, usual, usual, usual, usual}, 0, usual},
		{"prompts", []time.Duration{slow, usual, slow, slow, usual, slow}, 0, usual},
		{"slow", []time.Duration{usual, slow, slow, slow, slow, slow, slow}, 0, slow},
		{"recovered", []time.Duration{slow, slow, slow, slow, usual, usual}, 0, usual},
		{"no events for some time", []time.Duration{slow, slow, slow, slow}, 2 * paceTTL, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var l loads
			now := time.Minute
			for _, gap := range test.gaps {
				now += gap
				l.observeGap("t1", gap, now)
			}
			require.Equal(t, test.want, l.pace("t1", now+test.idle))
		})
	}
}
