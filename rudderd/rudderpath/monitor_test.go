package rudderpath

import (
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Some targets accept no connections. Guards against a host that takes the death of a target for a partition of its own, or
// a partition of its own for the death of targets.
func TestWhichSideIsAtFault(t *testing.T) {
	targets := []Target{{"a", 1, "s", "a"}, {"b", 1, "s", "b"}, {"c", 1, "s", "c"}, {"x", 1, "other", "x"}}
	for _, test := range []struct {
		name                    string
		dead, silent            string
		lost, cut, isolated     bool
		reachable, otherService bool
	}{
		{name: "nothing failed", reachable: true},
		{name: "one target died", dead: "a"},
		{name: "two targets died", dead: "ab"},
		{name: "no path to a service", dead: "abc", lost: true, cut: true},
		{name: "no path at all", dead: "abcx", lost: true, cut: true, isolated: true, otherService: true},
		{name: "nothing answers", silent: "abcx", lost: true, cut: true, isolated: true, otherService: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var mu sync.Mutex
			began, healed := time.Now(), false
			m := &Monitor{
				Uptime: func() time.Duration { return time.Since(began) + time.Second }, EntryHosts: func() int { return 2 },
				Targets: func() []Target { return targets }, OnChange: func(Target, bool) {},
				Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
					mu.Lock()
					defer mu.Unlock()
					switch {
					case healed:
					case strings.Contains(test.dead, address):
						return nil, syscall.ECONNREFUSED
					case strings.Contains(test.silent, address):
						mu.Unlock()
						<-ctx.Done()
						mu.Lock()
						return nil, ctx.Err()
					}
					c, _ := net.Pipe()
					return c, nil
				},
			}
			require.Equal(t, test.lost, m.Lost(targets[0]))
			require.Equal(t, test.reachable, m.Reachable(targets[0]))
			require.Equal(t, test.reachable, m.ReachableName("a"))
			require.Equal(t, test.cut, m.Cut("s"))
			require.Equal(t, test.otherService, m.Cut("other"))
			require.Equal(t, test.isolated, m.Isolated())
			require.Equal(t, test.reachable, m.Direct(targets[0]))
			mu.Lock()
			healed = true
			mu.Unlock()
			time.Sleep(checkTTL + 10*time.Millisecond)
			m.recheck(t.Context())
			require.False(t, m.Isolated())
			require.True(t, m.Direct(targets[0]), "after the path has come back")
		})
	}
}

// The process does not run for a while. Guards against a connection that it could not observe meanwhile and that counts as
// evidence against a target.
func TestDelayedProcessHasNoEvidence(t *testing.T) {
	now := time.Second
	m := &Monitor{
		Uptime: func() time.Duration { return now }, EntryHosts: func() int { return 2 }, Targets: func() []Target { return nil }, OnChange: func(Target, bool) {},
		Dial: func(context.Context, string, string) (net.Conn, error) {
			now += 2 * maxConnectTimeout
			return nil, syscall.ETIMEDOUT
		},
	}
	require.Equal(t, Unknown, m.Check(Target{Name: "a"}))
	require.True(t, m.Reachable(Target{Name: "a"}))
}

// Guards against a target that counts as accepting connections by a check from before it died.
func TestRecheckUsesNoEarlierResult(t *testing.T) {
	began, dead := time.Now(), false
	m := &Monitor{
		Uptime: func() time.Duration { return time.Since(began) + time.Second }, EntryHosts: func() int { return 2 },
		Targets: func() []Target { return nil }, OnChange: func(Target, bool) {},
		Dial: func(context.Context, string, string) (net.Conn, error) {
			if dead {
				return nil, syscall.ECONNREFUSED
			}
			c, _ := net.Pipe()
			return c, nil
		},
	}
	x := Target{"a", 1, "s", "a"}
	require.True(t, m.Confirm(x))
	dead = true
	require.Equal(t, Refused, m.Recheck(x))
	require.False(t, m.Confirm(x), "the new result replaces the earlier one")
}
