package ruddercoordinator

import (
	"context"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderplacement"
	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderverdict"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

var serial = regexp.MustCompile(`,"serial":[0-9]+`)

// Guards against a planner that orders a sound group to leave because a member was silent for a second or so, and against one that
// finds a lost member late.
func TestSilentMemberKeepsItsGroup(t *testing.T) {
	const probeTime, firstQuestion, questionInterval = 250 * time.Millisecond, 220 * time.Millisecond, 600 * time.Millisecond
	type silence struct {
		at, length time.Duration
		event      time.Duration // before it
	}
	for _, test := range []struct {
		name      string
		silences  []silence
		suspected bool // an entry host has reported the member in the first silence
		leaves    time.Duration
		write     time.Duration // of a plan
	}{
		{"a second", []silence{{0, time.Second, 100 * time.Millisecond}}, false, 0, 0},
		{"a second or so, events seldom", []silence{{0, 1200 * time.Millisecond, 250 * time.Millisecond}}, false, 0, 0},
		{"more than a second", []silence{{0, 1300 * time.Millisecond, 200 * time.Millisecond}}, false, 0, 0},
		{"while a plan is written", []silence{{0, 1300 * time.Millisecond, 100 * time.Millisecond}}, false, 0, 700 * time.Millisecond},
		{"after another member", []silence{{0, 1200 * time.Millisecond, 900 * time.Millisecond}}, false, 0, 0},
		{"after a long pause of the stream", []silence{{0, 1200 * time.Millisecond, 3 * time.Second}}, false, 0, 0},
		{"for longer, after a long pause of the stream", []silence{{0, 1400 * time.Millisecond, 3 * time.Second}}, false, 0, 0},
		{"again", []silence{{0, time.Second, 100 * time.Millisecond}, {2500 * time.Millisecond, 1200 * time.Millisecond, 100 * time.Millisecond}}, true, 0, 0},
		{"again soon", []silence{{0, 700 * time.Millisecond, 100 * time.Millisecond}, {950 * time.Millisecond, 1200 * time.Millisecond, 0}}, false, 0, 0},
		{"lost", []silence{{0, time.Hour, 100 * time.Millisecond}}, false, 1700 * time.Millisecond, 0},
	} {
		for _, leads := range []bool{true, false} {
			name := test.name + ", follower"
			if leads {
				name = test.name + ", leader"
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld("a", "b")
					var begin time.Time
					member := ""
					silent := func() bool {
						since := time.Since(begin)
						return !begin.IsZero() && slices.ContainsFunc(test.silences, func(s silence) bool { return since >= s.at && since < s.at+s.length })
					}
					p := w.planner(t, "e", nil)
					p.Probe = func(ctx context.Context, x *rudderview.Target, suspected bool) rudderverdict.Finding {
						for until := time.Now().Add(probeTime); x.Name == member && silent(); time.Sleep(10 * time.Millisecond) {
							if !time.Now().Before(until) {
								return rudderverdict.Finding{Path: true}
							}
						}
						return w.probe(ctx, x, suspected)
					}
					put := p.Store.Put
					p.Store.Put = func(ctx context.Context, r rudderstore.PutRequest) (int64, error) {
						if strings.HasPrefix(r.Key, planPrefix) && !begin.IsZero() {
							time.Sleep(test.write)
						}
						return put(ctx, r)
					}
					w.serve(t, p)
					for !w.open("a") && !w.open("b") {
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(5 * time.Second)
					w.mu.Lock()
					for name, x := range w.targets {
						if x.Membership.Rank > 0 != leads {
							member = name
						}
					}
					before := len(w.orders)
					begin = time.Now()
					w.mu.Unlock()
					plan := w.groups()
					left := time.Duration(0)
					leave := func() bool {
						w.mu.Lock()
						defer w.mu.Unlock()
						return slices.ContainsFunc(w.orders[before:], func(o string) bool { return strings.HasPrefix(o, "leave") })
					}
					for i, s := range test.silences {
						last := begin.Add(s.at - s.event)
						for next := max(s.at, s.at-s.event+firstQuestion); time.Since(begin) < s.at+min(s.length, 3*time.Second); time.Sleep(10 * time.Millisecond) {
							if time.Since(begin) >= next {
								next += questionInterval
								go func(silence time.Duration) { _, _, _ = p.Examine(t.Context(), map[string]int64{member: 1}, silence) }(time.Since(last))
							}
							if left == 0 && leave() {
								left = time.Since(begin)
							}
						}
						if test.suspected && i == 0 {
							w.mu.Lock()
							w.write(rudderview.SuspicionPrefix+member, rudderview.Suspicion{Target: member, Born: 1, By: "other", Confirmed: true}, 0)
							w.mu.Unlock()
						}
						time.Sleep(time.Second)
					}
					if test.leaves > 0 {
						require.Positive(t, left, "no member was ordered to leave")
						require.LessOrEqual(t, left, test.leaves)
						return
					}
					time.Sleep(3 * time.Second)
					require.False(t, leave(), "a member was ordered to leave: %v", w.orders[before:])
					require.Equal(t, serial.ReplaceAllString(plan, ""), serial.ReplaceAllString(w.groups(), ""))
				})
			})
		}
	}
}

// Guards against an order to leave that is sent although the silent member has answered while the order waited for its turn.
func TestOrderIsDroppedIfTheMemberAnswers(t *testing.T) {
	sent := 0
	p := &Planner{Logger: zerolog.Nop(), Uptime: func() time.Duration { return time.Minute }, wake: make(chan struct{}, 1), Control: &ruddertarget.GroupControl{
		Send: func(context.Context, string, string, ruddertarget.GroupOrder) error { sent++; return nil },
	}}
	o := rudderplacement.Order{Target: "a", Silent: rudderroster.Member{Target: "b", Born: 1}}
	for _, test := range []struct {
		name   string
		result *probeResult
		sent   int
	}{
		{"answers", &probeResult{born: 1}, 0}, {"dead", &probeResult{born: 1, dead: true}, 1}, {"restarted", &probeResult{born: 2}, 1}, {"unknown", nil, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			sent, p.results = 0, map[string]*probeResult{"b": test.result}
			p.send(t.Context(), rudderplacement.NewState(), o)
			require.Equal(t, test.sent, sent)
		})
	}
}
