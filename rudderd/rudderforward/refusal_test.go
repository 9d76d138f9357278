package rudderforward

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroster"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/rudderstore"
	"comfreyrudder.example/shared/ruddertarget"
)

// A target refuses a request, leads the next epoch of its group, gets the request again and writes the refusal once more while the
// request runs. Guards against a second run at another target.
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
	b.rawTarget("llm", func(w net.Conn, _ *http.Request, _, request int) {
		switch request {
		case 1:
			form("t1", w.LocalAddr().String(), 2, 10)
		case 2:
			runs.Add(1)
			form("t2", other.Listener.Addr().String(), 1, 20)
		}
		_, _ = io.WriteString(w, refusal)
	})
	b.start()
	response, _, _ := b.send("POST", "/s/x", "prompt")
	require.Equal(t, int32(1), runs.Load())
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
}
