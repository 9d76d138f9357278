package rudderrelay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against a relay that makes an old confirmation look recent: the transfer time and the age at the
// planner must both count.
func TestAgesAddUp(t *testing.T) {
	plannerClock := clockwork.NewFakeClock()
	pullerClock := clockwork.NewFakeClockAt(plannerClock.Now().Add(time.Hour)) // the clocks of two hosts may differ
	planner := &Relay{Self: "e1", Fleet: &rudderfleet.Fleet{}, Clock: plannerClock}
	planner.Fleet.ObserveStatus(rudderfleet.Confirmation{
		Domain: "d1", Host: "h1", Address: "127.0.0.1:9", At: plannerClock.Now().Add(-800 * time.Millisecond),
		Status: ruddertarget.Status{Host: "h1", Phase: ruddertarget.PhaseReady, Role: ruddertarget.Role{Group: "g1", Rank: 1, Size: 2}},
	})
	handler := planner.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pullerClock.Advance(200 * time.Millisecond) // transfer time
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	member := ruddermember.Member{Name: "e1", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	puller := &Relay{Self: "e2", Fleet: &rudderfleet.Fleet{}, Clock: pullerClock, HTTPClient: server.Client(), Interval: time.Minute, ConfirmTTL: 3 * time.Second}
	puller.pull(context.Background(), member, []string{"d1"})

	got := puller.Fleet.Confirmations("d1")
	require.Len(t, got, 1)
	require.Equal(t, ruddertarget.Role{Group: "g1", Rank: 1, Size: 2}, got[0].Status.Role)
	age := pullerClock.Since(got[0].At)
	require.GreaterOrEqual(t, age, time.Second)
	require.Less(t, age, 1100*time.Millisecond)
}

// Guards against sending confirmations above the age limit, which would use up the traffic budget between
// entry hosts.
func TestOldConfirmationsAreLeftOut(t *testing.T) {
	clock := clockwork.NewFakeClock()
	relay := &Relay{Self: "e1", Fleet: &rudderfleet.Fleet{}, Clock: clock}
	for host, age := range map[string]time.Duration{"fresh": time.Second, "old": 4 * time.Second} {
		relay.Fleet.ObserveStatus(rudderfleet.Confirmation{Domain: "d1", Host: host, Address: host, At: clock.Now().Add(-age)})
	}
	server := httptest.NewServer(relay.Handler())
	defer server.Close()
	puller := &Relay{Self: "e2", Fleet: &rudderfleet.Fleet{}, Clock: clock, HTTPClient: server.Client(), Interval: time.Minute, ConfirmTTL: 3 * time.Second}
	puller.pull(context.Background(), ruddermember.Member{PeerAddress: strings.TrimPrefix(server.URL, "http://")}, []string{"d1", "d2"})
	got := puller.Fleet.Confirmations("")
	require.Len(t, got, 1)
	require.Equal(t, "fresh", got[0].Host)
}
