package rudderedge

import (
	"context"
	"math/rand/v2"

	"comfreyrudder.example/rudderd/rudderview"
)

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
