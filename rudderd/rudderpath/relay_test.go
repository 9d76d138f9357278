package rudderpath

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// relayedResponse returns the bytes that an entry host sends for the response of a target.
func relayedResponse(t *testing.T, body string) string {
	recorder := httptest.NewRecorder()
	target := httptest.NewRecorder()
	_, _ = target.WriteString(body)
	require.NoError(t, CopyResponse(recorder, target.Result(), func() {}))
	response := recorder.Result()
	response.ContentLength, response.TransferEncoding = -1, []string{"chunked"}
	read, write := io.Pipe()
	go func() { _ = write.CloseWithError(response.Write(write)) }()
	text, err := io.ReadAll(read)
	require.NoError(t, err)
	return string(text)
}

// Guards against a response that looks complete, and a request that is reported as not sent, because the entry host that
// relays it dies inside its response.
func TestRelayedResponseThatBreaksOff(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	part := make(chan string, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, <-part)
			}
			_ = c.Close()
		}
	}()
	whole := relayedResponse(t, "whole answer")
	begin := time.Now()
	for offset := range len(whole) + 1 {
		part <- whole[:offset]
		relay := &Relay{Uptime: func() time.Duration { return time.Since(begin) + 1 }, Transport: &http.Transport{}, Peers: func() []Peer {
			return []Peer{{Name: "peer", Address: l.Addr().String()}}
		}}
		response, err := relay.Send(context.Background(), Request{Target: "t", Method: http.MethodPost, RequestTarget: "/", Body: []byte("body")})
		if err != nil {
			require.True(t, errors.Is(err, ErrMayHaveRun) && !errors.Is(err, ErrNoPeer), "%q: %v", whole[:offset], err)
			continue
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if offset < len(whole) {
			require.Error(t, err, "%q", whole[:offset])
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "whole answer", string(text))
	}
}

// Guards against a second run of a request whose relaying entry host answers without an outcome after it has sent the request.
func TestResponseWithoutAnOutcome(t *testing.T) {
	for _, test := range []struct {
		status  int
		outcome string
		want    error
	}{
		{401, "", ErrNoPeer}, {404, "", ErrNoPeer}, {429, "", ErrNoPeer}, {503, OutcomeNoPath, ErrNoPeer}, {503, OutcomeBusy, ErrNoPeer},
		{503, OutcomeUnreachable, ErrUnreachable}, {503, OutcomeDeclined, ErrDeclined}, {503, OutcomeMayHaveRun, ErrMayHaveRun},
		{200, "", ErrMayHaveRun}, {500, "", ErrMayHaveRun}, {502, "", ErrMayHaveRun}, {503, "", ErrMayHaveRun}, {504, "", ErrMayHaveRun},
		{503, "outcome of a later version", ErrMayHaveRun},
	} {
		t.Run(fmt.Sprint(test.status, " ", test.outcome), func(t *testing.T) {
			calls := 0
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls++
				w.Header().Set(HeaderOutcome, test.outcome)
				w.WriteHeader(test.status)
			}))
			address := peer.Listener.Addr().String()
			relay := &Relay{Uptime: func() time.Duration { return time.Second }, Transport: &http.Transport{}, Peers: func() []Peer { return []Peer{{Name: "peer", Address: address}} }}
			response, err := relay.Send(context.Background(), Request{Target: "t", Method: http.MethodPost, RequestTarget: "/"})
			if err == nil {
				_ = response.Body.Close()
			}
			peer.Close()
			require.Equal(t, 1, calls)
			require.ErrorIs(t, err, test.want)
			notSent := errors.IsAny(err, ErrNoPeer, ErrUnreachable, ErrDeclined)
			require.NotEqual(t, notSent, errors.Is(err, ErrMayHaveRun))
		})
	}
}

// Guards against requests that run for longer than their callers wait, because entry hosts that did not answer took a part of the time.
func TestTimeLeftIsThatAfterOtherPeers(t *testing.T) {
	const limit = time.Minute
	now, left := time.Second, []time.Duration{}
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := DecodeRequest(r.Body)
		if err == nil {
			left = append(left, q.Remaining)
		}
		now += time.Second // of the asking host
		Refuse(w, OutcomeBusy)
	}))
	defer peer.Close()
	address := peer.Listener.Addr().String()
	relay := &Relay{Uptime: func() time.Duration { return now }, Transport: &http.Transport{}, Peers: func() []Peer {
		return []Peer{{Name: "a", Address: address}, {Name: "b", Address: "localhost" + address[strings.LastIndex(address, ":"):]}}
	}}
	for _, test := range []struct {
		limit time.Duration
		want  []time.Duration
	}{{limit, []time.Duration{limit, limit - time.Second}}, {0, []time.Duration{0, 0}}} {
		left = left[:0]
		_, err := relay.Send(t.Context(), Request{Target: "t", Method: http.MethodPost, RequestTarget: "/", Remaining: test.limit}) //nolint:bodyclose // there is none
		require.ErrorIs(t, err, ErrNoPeer)
		require.Equal(t, test.want, left)
	}
}
