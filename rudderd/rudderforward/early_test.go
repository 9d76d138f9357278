package rudderforward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderroute"
)

// Guards against losing a refusal that is sent while the body is in transit: the connection was closed at once, so that the
// rest of the body reset it.
func TestEarlyRefusalReachesACallerThatStillSends(t *testing.T) {
	b := newTestbed(t)
	b.route("/p/", func(*rudderroute.Route) {})
	b.start()
	for _, test := range []struct {
		name, target, key string
		want              int
	}{
		{"no route", "/other/x", "key", 404}, {"withdrawn key", "/p/x", "withdrawn", 401}, {"no group", "/p/x", "key", 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			connection, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
			require.NoError(t, err)
			defer func() { _ = connection.Close() }()
			_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h\r\nId: q1\r\nKey: %s\r\nContent-Length: 4000\r\n\r\n", test.target, test.key)
			require.NoError(t, err)
			for range 40 {
				time.Sleep(10 * time.Millisecond)
				_, err = connection.Write(make([]byte, 100))
				require.NoError(t, err)
			}
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			_ = response.Body.Close()
			require.Equal(t, test.want, response.StatusCode)
		})
	}
}
