package rudderbody

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against responses that take more memory than is left for them, against memory that stays reserved for them, against sound
// responses that find none, and against a request that net/http sends again because its response was refused.
func TestResponsesTakeMemory(t *testing.T) {
	const limit = 256 << 10
	for _, test := range []struct {
		name            string
		fields, body    int
		streamed, http2 bool
		want            error
	}{
		{"sound", 20, 10 << 10, false, false, nil},
		{"sound on HTTP/2", 20, 10 << 10, false, true, nil},
		{"long body", 20, 100 << 10, false, false, ErrNoMemory},
		{"long body that is streamed", 20, 100 << 10, true, false, nil},
		{"head of short fields", 2000, 0, true, false, ErrNoMemory},
		{"head of short fields on HTTP/2", 2000, 0, true, true, ErrNoMemory},
	} {
		t.Run(test.name, func(t *testing.T) {
			var runs atomic.Int32
			protocols := new(http.Protocols)
			protocols.SetHTTP1(!test.http2)
			protocols.SetUnencryptedHTTP2(test.http2)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if runs.Add(1) > 1 {
					for i := range test.fields {
						w.Header().Set(fmt.Sprintf("F%d", i), "")
					}
					_, _ = io.WriteString(w, strings.Repeat("x", test.body))
				}
			}))
			server.Config.Protocols = protocols
			server.Start()
			defer server.Close()
			b := NewBudget(limit)
			base := &http.Transport{Protocols: protocols}
			if !test.http2 {
				base.DialContext = b.Dial((&net.Dialer{}).DialContext)
			}
			client := &http.Client{Transport: &Transport{Base: base, Budget: b, Streamed: test.streamed}}
			defer client.CloseIdleConnections()
			get := func() (int, error) {
				response, err := client.Get(server.URL)
				if err != nil {
					return 0, err
				}
				text, err := io.ReadAll(response.Body)
				require.LessOrEqual(t, b.Held(), int64(limit))
				require.NoError(t, response.Body.Close())
				return len(text), err
			}
			_, err := get() // the next request uses the connection again
			require.NoError(t, err)
			n, err := get()
			require.ErrorIs(t, err, test.want)
			if test.want == nil {
				require.Equal(t, test.body, n)
			}
			require.Equal(t, int32(2), runs.Load())
			require.Zero(t, b.Held())
		})
	}
}
