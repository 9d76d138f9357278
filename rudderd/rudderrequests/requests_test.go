package rudderrequests

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderstream"
)

// serve starts a server for the calls of other entry hosts and returns it as a member.
func serve(t *testing.T, p *Peers) ruddermember.Member {
	t.Helper()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return ruddermember.Member{Name: p.Self, PeerAddress: strings.TrimPrefix(server.URL, "http://")}
}

// Guards against an answer that another workspace can read, and against fields that are lost in the transfer.
func TestReadRemote(t *testing.T) {
	registry := &rudderstream.Registry{Retention: time.Minute, MaxBytes: 1 << 20}
	answer := rudderstream.NewAnswer("e1.a", "kigali", "ledger-notes", time.Unix(1700000000, 0))
	registry.Add(answer)
	answer.StartAttempt(1)
	for i, text := range []string{"one ", "two ", "three"} {
		_, err := answer.Append(1, i+1, text)
		require.NoError(t, err)
	}
	answer.Finish(rudderstream.Result{Outcome: rudderstream.OutcomeMayHaveRun, Code: "target_failed", Message: "died", RetryAfter: time.Second})
	member := serve(t, &Peers{Self: "e1", Answers: registry})
	reader := &Peers{Self: "e2", HTTPClient: http.DefaultClient, Members: func() []ruddermember.Member { return []ruddermember.Member{member} }}

	page, found := reader.ReadRemote(context.Background(), "e1", "e1.a", "kigali", 1)
	require.True(t, found)
	require.Equal(t, []string{"two ", "three"}, page.Tokens)
	require.Equal(t, "ledger-notes", page.Model)
	require.Equal(t, int64(1700000000), page.Created.Unix())
	require.Equal(t, rudderstream.Result{Outcome: rudderstream.OutcomeMayHaveRun, Code: "target_failed", Message: "died", RetryAfter: time.Second}, page.Result)

	tests := []struct{ name, member, id, workspace string }{
		{"another workspace", "e1", "e1.a", "studio"},
		{"unknown request", "e1", "e1.b", "kigali"},
		{"unknown entry host", "e9", "e9.a", "kigali"},
	}
	for _, test := range tests {
		_, found := reader.ReadRemote(context.Background(), test.member, test.id, test.workspace, 0)
		require.False(t, found, test.name)
	}
}

// Guards against an unresponsive entry host that delays the next attempt of a request.
func TestBroadcastDeathIsBounded(t *testing.T) {
	reported := make(chan []Death, 1)
	sound := make(chan []string, 1)
	healthy := serve(t, &Peers{Self: "e1", OnDeaths: func(deaths []Death) { reported <- deaths }, OnSoundParts: func(parts []string) { sound <- parts }})
	stop := make(chan struct{})
	hanging := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
	defer hanging.Close()
	defer close(stop)
	members := []ruddermember.Member{healthy, {Name: "e2", PeerAddress: strings.TrimPrefix(hanging.URL, "http://")}, {Name: "e3", PeerAddress: "127.0.0.1:1"}}
	p := &Peers{Self: "e0", HTTPClient: http.DefaultClient, Members: func() []ruddermember.Member { return members }}
	start := time.Now()
	death := Death{Fingerprint: 7, Group: "g1", Domain: "d1", Age: time.Second, Parts: []string{"model/rules"}}
	p.BroadcastDeath(context.Background(), death)
	require.Less(t, time.Since(start), 10*broadcastTimeout)
	require.Equal(t, []Death{death}, <-reported)
	p.BroadcastSoundParts(context.Background(), []string{"model/rules"})
	require.Equal(t, []string{"model/rules"}, <-sound)
}
