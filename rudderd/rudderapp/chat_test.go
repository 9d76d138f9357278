package rudderapp

import (
	"context"
	"fmt"
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

// Guards against a group that counts as killed by a request because it is silent for a while, or because its connections are refused
// on the way to one entry host. Two such groups made the request count as poison.
func TestSilentGroupIsNotKilled(t *testing.T) {
	refuses := func(context.Context) error { return syscall.ECONNREFUSED }
	silent := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	accepts := func(context.Context) error { return nil }
	type dial = func(ctx context.Context) error
	for _, test := range []struct {
		name   string
		dial   dial
		others []dial
		died   bool
	}{
		{"refuses connections", refuses, nil, true},
		{"silent", silent, nil, false},
		{"refuses the connections of all", refuses, []dial{refuses, refuses}, true},
		{"silent for the others", refuses, []dial{silent, silent}, false},
		{"silent for one of the others", refuses, []dial{refuses, silent}, false},
		{"reached by one of the others", refuses, []dial{refuses, accepts}, false},
		{"silent, and refuses the others", silent, []dial{refuses, refuses}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			other := httptest.NewServer(http.NotFoundHandler())
			defer other.Close()
			sound := other.Listener.Addr().String()
			const faulty = "127.0.0.1:1"
			app := func(faults dial) *App {
				a := &App{Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(), fleet: &rudderfleet.Fleet{}}
				a.Settings.PeerSecret, a.Settings.MaxInFlight = "peer-secret-of-test", 8
				a.stopping.init()
				a.TargetDial = func(ctx context.Context, network, address string) (net.Conn, error) {
					if address == faulty {
						if err := faults(ctx); err != nil {
							return nil, &net.OpError{Op: "dial", Net: network, Err: err}
						}
						address = sound
					}
					return (&net.Dialer{}).DialContext(ctx, network, address)
				}
				a.wirePaths()
				a.fleet.ObservePlan(ruddergroup.Plan{Domain: "d1", Seq: 1, Groups: []ruddergroup.Group{
					{ID: "g1", Members: []ruddergroup.Member{{Host: "h1", Address: faulty}, {Host: "h2", Address: sound}}},
					{ID: "g2", Members: []ruddergroup.Member{{Host: "h3", Address: sound}}},
				}})
				return a
			}
			a := app(test.dial)
			var peers []rudderpath.Peer
			for i, faults := range test.others {
				server := httptest.NewServer(http.HandlerFunc(app(faults).serveRelayed))
				defer server.Close()
				peers = append(peers, rudderpath.Peer{Name: fmt.Sprint("peer", i), Address: server.Listener.Addr().String()})
			}
			a.paths.relay.Transport = http.DefaultTransport
			a.paths.relay.Peers = func() []rudderpath.Peer { return peers }
			a.control = (&ruddertarget.HTTP{Client: &http.Client{Transport: a.throughPath(a.newTargetTransport(nil))}}).Control()
			require.Equal(t, test.died, a.groupDied(t.Context(), rudderstream.Slot{Domain: "d1", Group: "g1"}))
		})
	}
}
