package rudderapp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderstream"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against a group that counts as killed by a request because it is silent for a while. Two such groups made the
// request count as poison.
func TestSilentGroupIsNotKilled(t *testing.T) {
	for _, test := range []struct {
		name string
		dial func(ctx context.Context) error
		died bool
	}{
		{"refuses connections", func(context.Context) error { return syscall.ECONNREFUSED }, true},
		{"silent", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			other := httptest.NewServer(http.NotFoundHandler())
			defer other.Close()
			sound := other.Listener.Addr().String()
			const faulty = "127.0.0.1:1"
			a := &App{Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(), fleet: &rudderfleet.Fleet{}}
			a.Settings.PeerSecret = "peer-secret-of-test"
			a.TargetDial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if address != faulty {
					return (&net.Dialer{}).DialContext(ctx, network, address)
				}
				return nil, &net.OpError{Op: "dial", Net: network, Err: test.dial(ctx)}
			}
			a.wirePaths()
			a.paths.relay.Peers = func() []rudderpath.Peer { return nil }
			a.control = (&ruddertarget.HTTP{Client: &http.Client{Transport: a.throughPath(a.newTargetTransport(nil))}}).Control()
			a.fleet.ObservePlan(ruddergroup.Plan{Domain: "d1", Seq: 1, Groups: []ruddergroup.Group{
				{ID: "g1", Members: []ruddergroup.Member{{Host: "h1", Address: faulty}, {Host: "h2", Address: sound}}},
				{ID: "g2", Members: []ruddergroup.Member{{Host: "h3", Address: sound}}},
			}})
			require.Equal(t, test.died, a.groupDied(t.Context(), rudderstream.Slot{Domain: "d1", Group: "g1"}))
		})
	}
}
