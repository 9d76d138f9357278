package rudderedge

import (
	"context"
	"math/rand/v2"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
)

// routingPeers is the number of entry hosts that are asked for a newer routing document. One that has been up for long
// knows the newest version unless it was cut off.
const routingPeers = 3

// restoreRecords implements rudderview.View.OnRestored: it writes again what a restore of the key-value service has lost.
func (e *Edge) restoreRecords(has map[string]bool) {
	e.poison.restoreMissing(has)
	if !has[rudderview.SecretKey] && e.peers.secret.Load() != nil {
		go e.restoreSecret()
	}
}

// restoreSecret writes the shared secret again, or takes over the one that another entry host has written.
func (e *Edge) restoreSecret() {
	ctx := context.Background()
	for range maxSecretAttempts {
		pause(ctx, rand.N(sessionCheckSpread))
		secret, err := e.secret(ctx)
		if err == nil {
			e.setSecret(secret)
			return
		}
		e.Logger.Info().Err(err).Msg("cannot restore the shared secret yet")
	}
}

// maxSecretAttempts bounds the attempts to restore the secret. Other entry hosts try too.
const maxSecretAttempts = 10

// fetchRouting implements rudderview.View.FetchRouting.
func (e *Edge) fetchRouting(ctx context.Context, above int64) (record []byte, answered bool) {
	var peers []rudderview.EntryHost
	for _, x := range e.view.Snapshot().EntryHosts {
		if x.Peer != "" && x.Name != e.Settings.Name {
			peers = append(peers, x)
		}
	}
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	peers = peers[:min(len(peers), routingPeers)]
	answers := make(chan *rudderpeer.RoutingResponse, len(peers))
	for _, x := range peers {
		go func() {
			answer, err := rudderpeer.NewRelayProtobufClient("http://"+x.Peer, e.peers.client).Routing(ctx, &rudderpeer.RoutingRequest{Above: above})
			if err != nil {
				e.Logger.Info().Err(err).Str("peer", x.Name).Msg("entry host does not tell whether it knows a newer routing document")
			}
			answers <- answer
		}()
	}
	var newest *rudderpeer.RoutingResponse
	for range peers {
		a := <-answers
		answered = answered || a != nil
		if len(a.GetRecord()) > 0 && a.GetVersion() > newest.GetVersion() {
			newest = a
		}
	}
	if newest != nil {
		e.Logger.Warn().Int64("version", newest.GetVersion()).Int64("above", above).
			Msg("another entry host knows a newer routing document than the key-value service")
	}
	return newest.GetRecord(), answered
}

// Routing implements rudderpeer.Relay.
func (s relayServer) Routing(_ context.Context, r *rudderpeer.RoutingRequest) (*rudderpeer.RoutingResponse, error) {
	version, record := s.edge.view.Routing(r.GetAbove())
	return &rudderpeer.RoutingResponse{Version: version, Record: record}, nil
}
