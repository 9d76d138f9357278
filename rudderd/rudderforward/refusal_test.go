package rudderforward

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// A target refuses a request, leads the next epoch of its group, gets the request again and would write the refusal once more on the
// same connection while the request runs. Guards against a second run at another target.
func TestRefusalThatIsWrittenOnceMoreAfterTheGroupFormedAgain(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nId: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	b := newTestbed(t)
	b.route("/s/", func(r *rudderroute.Route) { streamRoute(false)(r); r.MaxAttempts = 3 })
	publish := func(key string, value any, revision int64) {
		text, err := json.Marshal(value)
		assert.NoError(t, err)
		b.changes <- rudderstore.Entry{Key: key, Value: text, Revision: revision}
	}
	form := func(name, address string, epoch, revision int64) {
		publish(rudderview.PlanPrefix+"llm/"+name, rudderroster.Plan{Service: "llm", Domain: name, Groups: []rudderroster.Group{
			{Name: "g-" + name, Epoch: epoch, Model: "m", Members: []rudderroster.Member{{Target: name, Born: 1}}},
		}}, revision)
		publish("targets/"+name, rudderview.Target{
			Host:    rudderhost.Host{Name: name, Address: address, State: rudderhost.StateLive, FabricDomain: name},
			Service: "llm", Born: 1, Slots: 4, Model: "m",
			Membership: ruddertarget.Membership{Group: "g-" + name, Epoch: epoch, Phase: ruddertarget.GroupOpen},
		}, revision+1)
		assert.Eventually(t, func() bool {
			for _, g := range b.forwarder.View.Snapshot().Groups("llm", "") {
				if g.ID == rudderview.GroupID("g-"+name, epoch) {
					return true
				}
			}
			return false
		}, 5*time.Second, time.Millisecond)
	}
	var runs atomic.Int32
	other := b.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		events(w, 0, 3, 0)
	}))
	t.Cleanup(other.Close)
	b.rawTarget("llm", func(w net.Conn, _ *http.Request, connection, request int) {
		if connection == 1 && request == 1 {
			form("t1", w.LocalAddr().String(), 2, 10)
			_, _ = io.WriteString(w, refusal)
			return
		}
		runs.Add(1)
		form("t2", other.Listener.Addr().String(), 1, 20)
		if connection == 1 {
			_, _ = io.WriteString(w, refusal)
		}
		_, _ = io.WriteString(w, wholeStream)
	})
	b.start()
	response, body, err := b.send("POST", "/s/x", "prompt")
	require.NoError(t, err)
	require.Equal(t, int32(1), runs.Load())
	require.Equal(t, http.StatusOK, response.StatusCode, body)
}

// lateConn writes nothing before it is closed, and then as many bytes as it accepts: as a blocked write that ends at that moment.
type lateConn struct {
	net.Conn
	accepts int
	closed  chan struct{}
	once    sync.Once
}

func (c *lateConn) Write(p []byte) (int, error) {
	<-c.closed
	time.Sleep(50 * time.Millisecond)
	defer func() { _ = c.Conn.Close() }()
	n, err := c.Conn.Write(p[:min(len(p), c.accepts)])
	c.accepts -= n
	if err == nil && n < len(p) {
		err = net.ErrClosed
	}
	return n, err
}

func (c *lateConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// Guards against a refusal as not run of a request whose write is under way when its send is cancelled.
func TestCancelledSendWhoseWriteIsUnderWay(t *testing.T) {
	const large = 30 << 10
	for _, test := range []struct {
		name            string
		head, accepts   int
		status, arrives int
	}{
		{"nothing is written", 0, 0, 503, 0},
		{"all is written", 0, 1 << 20, 504, 1},
		{"a part of a short head", 0, 50, 504, 0}, // the client had the whole head in its buffer
		{"a part of a head above the buffer", large, 5000, 503, 0},
		{"nothing of a head above the buffer", large, 0, 503, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestbed(t)
			b.route("/p/", func(r *rudderroute.Route) {
				r.Kind, r.MaxAttempts, r.Timeout = rudderroute.KindAtMostOnce, 3, 300*time.Millisecond
			})
			var arrivals atomic.Int32
			b.target("plain", func(http.ResponseWriter, *http.Request) { arrivals.Add(1) })
			b.start()
			b.forwarder.Client.Transport.(*http.Transport).DialContext = rudderpath.Track(func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &lateConn{Conn: c, accepts: test.accepts, closed: make(chan struct{})}, err
			})
			response, _, _ := b.send("POST", "/p/x"+strings.Repeat("y", test.head), "")
			require.Equal(t, test.status, response.StatusCode)
			require.Never(t, func() bool { return int(arrivals.Load()) > test.arrives }, 100*time.Millisecond, 10*time.Millisecond)
			require.Equal(t, test.arrives, int(arrivals.Load()))
		})
	}
}

// Guards against targets that work for longer than the caller waits, because the time left was taken before a slow connect.
func TestTimeLeftIsThatAfterTheConnect(t *testing.T) {
	const limit, connect = 2 * time.Second, 400 * time.Millisecond
	b := newTestbed(t)
	b.route("/p/", func(r *rudderroute.Route) { r.Timeout = limit })
	remaining := make(chan string, 1)
	b.target("plain", func(w http.ResponseWriter, r *http.Request) {
		remaining <- r.Header.Get("Remaining")
		sealed(w)
	})
	b.start()
	b.forwarder.Client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(connect)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	response, _, _ := b.send("POST", "/p/x", "body")
	require.Equal(t, http.StatusOK, response.StatusCode)
	left, err := strconv.Atoi(<-remaining)
	require.NoError(t, err)
	require.LessOrEqual(t, time.Duration(left)*time.Millisecond, limit-connect)
	require.Greater(t, time.Duration(left)*time.Millisecond, limit/2)
}

// slowWriteConn returns from a write some time after the target has got it.
type slowWriteConn struct{ net.Conn }

func (c slowWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(200 * time.Millisecond)
	return n, err
}

// A response for whose head there is no memory arrives before the write of its request is counted. Guards against a second run, and
// against a refusal as not run of a request that has run.
func TestResponseBeforeTheEndOfItsWrite(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(r *rudderroute.Route) { r.Kind, r.MaxAttempts = rudderroute.KindAtMostOnce, 2 })
	var runs atomic.Int32
	for range 2 {
		b.rawTarget("plain", func(w net.Conn, _ *http.Request, _, _ int) {
			runs.Add(1)
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: q1\r\n"+strings.Repeat("F:\r\n", 500)+"Content-Length: 0\r\n\r\n")
		})
	}
	b.start()
	memory := rudderbody.NewBudget(1)
	b.forwarder.Responses = memory
	b.forwarder.Client.Transport.(*http.Transport).DialContext = rudderpath.Track(memory.Dial(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return slowWriteConn{c}, err
	}))
	response, body, _ := b.send("POST", "/p/x", "body")
	require.Equal(t, int32(1), runs.Load())
	require.Equal(t, http.StatusBadGateway, response.StatusCode, body)
}
