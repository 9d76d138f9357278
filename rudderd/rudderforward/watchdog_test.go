package rudderforward

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// silentGroup returns a forwarder that counts the examinations of silent groups, and a group.
func silentGroup(uptime func() time.Duration) (*Forwarder, *rudderview.Group, *atomic.Int32) {
	var examined atomic.Int32
	leader := &rudderview.Target{}
	leader.Name = "t"
	return &Forwarder{
		View: &rudderview.View{}, Uptime: uptime, Logger: zerolog.Nop(),
		Metrics: Metrics{Count: func(string) {}, Observe: func(string, time.Duration) {}},
		ExamineGroup: func(context.Context, *rudderview.Group, time.Duration) (GroupFinding, bool) {
			examined.Add(1)
			return GroupFinding{}, true
		},
		Report: func(context.Context, string) (ruddertarget.GroupReport, error) {
			return ruddertarget.GroupReport{}, nil
		},
	}, &rudderview.Group{ID: "g", Leader: leader, Members: []*rudderview.Target{leader}}, &examined
}

// On an overloaded small host timers fire late. Guards against a process that takes its targets for dead
// because it has not run for a while.
func TestLateProcessSuspectsNobody(t *testing.T) {
	var clock atomic.Int64
	f, g, examined := silentGroup(func() time.Duration { return time.Duration(clock.Load()) })
	for _, test := range []struct {
		name string
		late time.Duration
		want int32
	}{{"on time", 0, 1}, {"late", 2 * time.Second, 0}} {
		t.Run(test.name, func(t *testing.T) {
			examined.Store(0)
			ctx, cancel := context.WithCancelCause(t.Context())
			guard := f.watch(ctx, cancel, g, &job{route: &rudderroute.Route{}})
			guard.mu.Lock()
			clock.Add(int64(guard.due - f.Uptime() + test.late))
			guard.timer.Stop()
			guard.mu.Unlock()
			guard.check()
			guard.stop()
			require.Equal(t, test.want, examined.Load())
		})
	}
}

// Guards against a watchdog whose timer fires on a loaded host before the timer has been stored.
func TestWatchdogFiresBeforeItsSendGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		f, g, _ := silentGroup(func() time.Duration { return 2 * time.Since(begin) }) // so that the timer fires late
		ctx, cancel := context.WithCancelCause(t.Context())
		guard := f.watch(ctx, cancel, g, &job{route: &rudderroute.Route{}})
		time.Sleep(firstEventSilence)
		synctest.Wait()
		guard.stop()
	})
}

// In an overload of a large fleet, streams of all groups are silent. Guards against examinations that grow
// with the number of hosts times the number of groups and add to the overload.
func TestExaminationsAreBoundedOverTheFleet(t *testing.T) {
	const entries, groups = 195, 60
	total := 0
	for range entries {
		var p probes
		for second := range 10 {
			for range groups {
				if p.takeToken(time.Duration(second+1)*time.Second, entries) {
					total++
				}
			}
		}
	}
	require.Less(t, float64(total), entries*(probeBurst+10*minProbeRate+1))
	var alone probes
	alone.takeToken(time.Second, 12)
	taken := 0
	for i := range 100 {
		if alone.takeToken(time.Second+time.Duration(i)*100*time.Millisecond, 12) {
			taken++
		}
	}
	require.Greater(t, taken, 25, "a small fleet is hardly limited")
}

// Guards against cancelling working streams before their callers leave, and against cancelling streams that
// cannot be resumed elsewhere although they may only be slow.
func TestSilenceLimits(t *testing.T) {
	f := &Forwarder{StallTimeout: 5 * time.Second}
	for _, test := range []struct {
		route rudderroute.Route
		want  time.Duration
	}{
		{rudderroute.Route{Resumable: true}, silenceLimit},
		{rudderroute.Route{Resumable: true, CallerIdleTimeout: 4 * time.Second}, 3400 * time.Millisecond},
		{rudderroute.Route{CallerIdleTimeout: 4 * time.Second}, 6 * time.Second},
	} {
		require.Equal(t, test.want, f.silenceLimit(&test.route))
	}
}
