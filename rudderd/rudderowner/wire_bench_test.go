package rudderowner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderrouter"
	"comfreyrudder.example/shared/rudderpeer"
)

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkWire reports the TCP payload of a grant and of a release between two entry hosts over loopback, in
// both directions, with HTTP/2 frames, headers and signature.
func BenchmarkWire(b *testing.B) {
	for _, blocks := range []int{0, 24} {
		grants, releases := &atomic.Int64{}, &atomic.Int64{}
		o, owner := wireOwner(b)
		ask, free := wireClient(owner, grants), wireClient(owner, releases)
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			work := work("")
			for i := range blocks {
				work.Blocks = append(work.Blocks, uint32(i)<<24)
			}
			n := 0
			for b.Loop() {
				n++
				work.RequestID = fmt.Sprintf("kgl-a-entry-012.%026d#1", n)
				response, err := ask.Grant(b.Context(), &rudderpeer.GrantRequest{Shard: owner.shard, Work: o.workToWire(work)})
				require.NoError(b, err)
				require.Equal(b, rudderpeer.GrantResponse_GRANTED, response.GetState())
				_, err = free.Release(context.WithoutCancel(b.Context()), &rudderpeer.ReleaseRequest{
					Shard: owner.shard, Released: []*rudderpeer.ReleasedSlot{{RequestId: work.RequestID, Tokens: 300}},
				})
				require.NoError(b, err)
			}
			b.ReportMetric(float64(grants.Swap(0))/float64(n), "grant-B")
			b.ReportMetric(float64(releases.Swap(0))/float64(n), "release-B")
		})
	}
}

type wireEnd struct{ url, shard string }

// wireOwner starts a signed peer server that owns one shard.
func wireOwner(b *testing.B) (*Owner, wireEnd) {
	groups := []rudderrouter.Group{group("kgl-a-1-12-7", 200)}
	o := &Owner{
		Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(), Groups: func() []rudderrouter.Group { return groups },
	}
	verifier := &rudderpeer.Verifier{Keys: rudderpeer.NewKeyring([]byte("secret")), Clock: o.Clock}
	server := httptest.NewUnstartedServer(nil)
	server.Config = rudderpeer.NewServer(verifier.Wrap(o.Handler()))
	server.Start()
	b.Cleanup(server.Close)
	o.Self = ruddermember.Member{Name: "kgl-a-entry-012", PeerAddress: strings.TrimPrefix(server.URL, "http://"), Region: "r"}
	o.Members = func() []ruddermember.Member { return []ruddermember.Member{o.Self} }
	return o, wireEnd{server.URL, rudderrouter.BuildShards(groups)[0].ID()}
}

func wireClient(end wireEnd, bytes *atomic.Int64) rudderpeer.Admission {
	pool := &rudderpeer.Pool{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{conn, bytes}, err
	}}
	client := &http.Client{Transport: &rudderpeer.Transport{
		Keys: rudderpeer.NewKeyring([]byte("secret")), Clock: clockwork.NewRealClock(), Base: pool,
	}}
	return rudderpeer.NewAdmissionProtobufClient(end.url, client)
}
