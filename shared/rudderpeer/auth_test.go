package rudderpeer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

type echoMembership struct{ Membership }

func (echoMembership) Acknowledge(_ context.Context, r *AcknowledgeRequest) (*AcknowledgeResponse, error) {
	return &AcknowledgeResponse{HasConfig: true, ConfigVersion: r.ConfigVersion}, nil
}

// capture returns a request as signed by the transport, and its body.
func capture(t *testing.T, keys *Keyring, clock clockwork.Clock) (*http.Request, []byte) {
	t.Helper()
	var captured *http.Request
	transport := &Transport{Keys: keys, Clock: clock, Base: roundTripper(func(r *http.Request) (*http.Response, error) {
		captured = r
		return httptest.NewRecorder().Result(), nil
	})}
	request, err := http.NewRequest(http.MethodPost, "http://10.0.0.1:7000/twirp/x", strings.NewReader("body"))
	require.NoError(t, err)
	_, err = transport.RoundTrip(request)
	require.NoError(t, err)
	body, err := io.ReadAll(captured.Body)
	require.NoError(t, err)
	return captured, body
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func serve(v *Verifier, r *http.Request, body []byte) int {
	w := httptest.NewRecorder()
	again := r.Clone(context.Background())
	again.Host = "10.0.0.1:7000"
	again.Body = io.NopCloser(bytes.NewReader(body))
	v.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})).ServeHTTP(w, again)
	return w.Code
}

// Verifies that the verifier refuses forged, altered, outdated, misdirected and oversized requests, and requests while
// the nonce cache is full.
func TestVerifierRefuses(t *testing.T) {
	secret := []byte("secret")
	cases := []struct {
		name   string
		change func(v *Verifier, clock *clockwork.FakeClock, r *http.Request, body *[]byte)
		want   Refusals
	}{
		{"unsigned", func(_ *Verifier, _ *clockwork.FakeClock, r *http.Request, _ *[]byte) {
			r.Header.Del(HeaderAuth)
		}, Refusals{Signature: 1}},
		{"other secret", func(v *Verifier, _ *clockwork.FakeClock, _ *http.Request, _ *[]byte) {
			v.Keys = NewKeyring([]byte("other"))
		}, Refusals{Signature: 1}},
		{"altered body", func(_ *Verifier, _ *clockwork.FakeClock, _ *http.Request, body *[]byte) {
			*body = []byte("bodY")
		}, Refusals{Signature: 1}},
		{"altered path", func(_ *Verifier, _ *clockwork.FakeClock, r *http.Request, _ *[]byte) {
			r.URL.Path = "/twirp/y"
		}, Refusals{Signature: 1}},
		{"altered method", func(_ *Verifier, _ *clockwork.FakeClock, r *http.Request, _ *[]byte) {
			r.Method = http.MethodPut
		}, Refusals{Signature: 1}},
		{"for another host", func(v *Verifier, _ *clockwork.FakeClock, _ *http.Request, _ *[]byte) {
			v.Host = "10.0.0.2:7000"
		}, Refusals{Signature: 1}},
		{"late", func(v *Verifier, clock *clockwork.FakeClock, _ *http.Request, _ *[]byte) {
			clock.Advance(DefaultTimestampBound + time.Second)
		}, Refusals{Timestamp: 1}},
		{"too large", func(v *Verifier, _ *clockwork.FakeClock, _ *http.Request, _ *[]byte) {
			v.MaxBodyBytes = 3
		}, Refusals{TooLarge: 1}},
		{"nonce cache full", func(v *Verifier, clock *clockwork.FakeClock, _ *http.Request, _ *[]byte) {
			v.MaxNonces = 1
			_ = v.nonces.use("other", clock.Now(), time.Minute, 1)
		}, Refusals{NonceCacheFull: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			keys := NewKeyring(secret)
			v := &Verifier{Keys: keys, Clock: clock}
			r, body := capture(t, keys, clock)
			c.change(v, clock, r, &body)
			require.NotEqual(t, http.StatusOK, serve(v, r, body))
			require.Equal(t, c.want, v.Refusals())
		})
	}
}

// Verifies that a replay is refused for as long as its timestamp is valid. The longest such time is twice the bound,
// for a timestamp that is ahead of the local clock by the whole bound.
func TestVerifierRefusesReplaysWhileTheTimestampIsValid(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.UnixMilli(1_800_000_000_000)) // whole ms, as on the wire
	keys := NewKeyring([]byte("secret"))
	ahead := clockwork.NewFakeClockAt(clock.Now().Add(DefaultTimestampBound))
	v := &Verifier{Keys: keys, Clock: clock}
	r, body := capture(t, keys, ahead)
	require.Equal(t, http.StatusOK, serve(v, r, body))
	for range 7 {
		clock.Advance(10 * time.Second)
		require.Equal(t, http.StatusUnauthorized, serve(v, r, body))
		fresh, freshBody := capture(t, keys, clock)
		require.Equal(t, http.StatusOK, serve(v, fresh, freshBody))
	}
	require.Equal(t, Refusals{Replay: 6, Timestamp: 1}, v.Refusals())
}

// Verifies that a host in any step of a key rotation accepts the requests of hosts in the same and adjacent steps, and
// that Twirp calls through the signing transport use HTTP/2 cleartext.
func TestKeyRotationOverHTTP2(t *testing.T) {
	before, after := []byte("old"), []byte("new")
	steps := []*Keyring{
		NewKeyring(before), NewKeyring(before, after), NewKeyring(after, before), NewKeyring(after),
	}
	clock := clockwork.NewRealClock()
	for i := range steps {
		for _, j := range []int{max(i-1, 0), i, min(i+1, len(steps)-1)} {
			v := &Verifier{Keys: steps[j], Clock: clock}
			var protocol string
			twirpServer := v.Wrap(NewMembershipServer(echoMembership{}))
			server := httptest.NewUnstartedServer(nil)
			server.Config = NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				protocol = r.Proto
				twirpServer.ServeHTTP(w, r)
			}))
			server.Start()
			base := &Pool{}
			client := NewMembershipProtobufClient(server.URL,
				&http.Client{Transport: &Transport{Keys: steps[i], Clock: clock, Base: base}})
			answer, err := client.Acknowledge(context.Background(), &AcknowledgeRequest{ConfigVersion: 7})
			base.CloseIdleConnections()
			server.Close()
			require.NoError(t, err)
			require.EqualValues(t, 7, answer.ConfigVersion)
			require.Equal(t, "HTTP/2.0", protocol)
		}
	}
}

// Verifies that after a timeout the pool opens a new connection. Otherwise all later calls would time out on a
// connection that no longer delivers data, while new connections work.
func TestPoolDropsUnresponsiveConnection(t *testing.T) {
	var silent atomic.Pointer[silentConn]
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(NewMembershipServer(echoMembership{}))
	server.Start()
	defer server.Close()
	pool := &Pool{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		wrapped := &silentConn{Conn: c}
		silent.Store(wrapped)
		return wrapped, err
	}}
	defer pool.CloseIdleConnections()
	keys, clock := NewKeyring([]byte("secret")), clockwork.NewRealClock()
	client := NewMembershipProtobufClient(server.URL,
		&http.Client{Transport: &Transport{Keys: keys, Clock: clock, Base: pool}})
	acknowledge := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		_, err := client.Acknowledge(ctx, &AcknowledgeRequest{})
		return err
	}
	require.NoError(t, acknowledge(5*time.Second))
	first := silent.Load()
	first.muted.Store(true)
	require.Error(t, acknowledge(100*time.Millisecond))
	require.NoError(t, acknowledge(5*time.Second))
	require.NotSame(t, first, silent.Load())
}

// silentConn is a connection that can be set to discard all data written to it.
type silentConn struct {
	net.Conn
	muted atomic.Bool
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
