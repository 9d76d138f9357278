package rudderedge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

const (
	// examineTimeout bounds a question to the planner: two tries of a probe and the way there.
	examineTimeout = 550 * time.Millisecond
	// secretSpread is the time over which entry hosts that find no shared secret spread their tries to create one.
	secretSpread = 2 * time.Second
	// secretBytes is the length of the secret that entry hosts share.
	secretBytes = 32
)

// peers carries calls between entry hosts, signed with a secret that stands in the key-value service.
type peers struct {
	keys   *rudderpeer.Keyring
	client *http.Client
	known  chan struct{} // closed when the shared secret is known
	once   sync.Once
}

func newPeers() *peers {
	keys := rudderpeer.NewKeyring(nil)
	pool := &rudderpeer.Pool{Dial: Dialer().DialContext}
	return &peers{keys: keys, known: make(chan struct{}), client: &http.Client{Transport: &rudderpeer.Transport{
		Keys: keys, Clock: clockwork.NewRealClock(), Base: pool,
	}}}
}

// handler serves the calls of other entry hosts.
func (e *Edge) peerHandler() http.Handler {
	verifier := &rudderpeer.Verifier{Keys: e.peers.keys, Clock: clockwork.NewRealClock()}
	mux := http.NewServeMux()
	mux.Handle(rudderpeer.SuspectsPathPrefix, rudderpeer.NewSuspectsServer(suspectsServer{e}))
	mux.Handle(rudderpeer.RelayPathPrefix, rudderpeer.NewRelayServer(relayServer{e}))
	mux.Handle(rudderpeer.BalancePathPrefix, rudderpeer.NewBalanceServer(balanceServer{e.balance}))
	return verifier.Wrap(mux)
}

// takeSecret takes the shared secret from the snapshot of the key-value service.
func (e *Edge) takeSecret(secret []byte) {
	e.peers.keys.Set(secret)
	e.peers.once.Do(func() { close(e.peers.known) })
}

// agreeOnSecret waits for the snapshot to hold the shared secret, and reads or writes it where it does not: the first
// entry host of all creates it. The wait is spread, because all start together.
func (e *Edge) agreeOnSecret(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, looked := e.view.Staleness(); looked {
			break
		}
		pause(ctx, sessionRetry)
	}
	select {
	case <-ctx.Done():
		return nil
	case <-e.peers.known:
		return nil
	case <-time.After(mathrand.N(secretSpread)):
	}
	for ctx.Err() == nil {
		secret, err := e.secret(ctx)
		if err == nil {
			e.takeSecret(secret)
			return nil
		}
		e.Logger.Debug().Err(err).Msg("shared secret not read")
		pause(ctx, sessionRetry)
	}
	return nil
}

func (e *Edge) secret(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	found, _, err := e.Ports.Store.Get(ctx, rudderview.SecretKey)
	if err == nil {
		return found.Value, nil
	}
	if !errors.Is(err, rudderstore.ErrNotFound) {
		return nil, err
	}
	random := make([]byte, secretBytes)
	_, _ = rand.Read(random) // crypto/rand never returns an error
	secret := []byte(hex.EncodeToString(random))
	if _, err := e.Ports.Store.Put(ctx, rudderstore.PutRequest{Key: rudderview.SecretKey, Value: secret}); err != nil {
		return nil, err // another entry host may have been faster; it is read next
	}
	return secret, nil
}

// examine asks the planner about a silent group.
func (e *Edge) examine(ctx context.Context, g *rudderview.Group) ([]string, bool) {
	lives := map[string]int64{}
	request := &rudderpeer.ExamineRequest{Reporter: e.Settings.Name, Group: g.ID}
	for _, m := range g.Members {
		lives[m.Name] = m.Born
		request.Targets = append(request.Targets, &rudderpeer.SuspectTarget{Name: m.Name, Born: m.Born})
	}
	ctx, cancel := context.WithTimeout(ctx, examineTimeout)
	defer cancel()
	if e.former.Planning() {
		return e.former.ConfirmDead(ctx, lives)
	}
	snapshot := e.view.Snapshot()
	for _, x := range snapshot.EntryHosts {
		if x.Name != snapshot.PlannerName || x.Peer == "" {
			continue
		}
		answer, err := rudderpeer.NewSuspectsProtobufClient("http://"+x.Peer, e.peers.client).Examine(ctx, request)
		if err != nil {
			e.view.SkipBatchPause() // another entry host may hold the planner's lease by now
			e.Logger.Warn().Err(err).Str("planner", x.Name).Str("group", g.ID).Msg("planner not reached; probing here")
			return nil, false
		}
		return answer.GetDead(), answer.GetPlanning()
	}
	return nil, false
}

// suspectsServer answers other entry hosts.
type suspectsServer struct{ edge *Edge }

// Examine implements rudderpeer.Suspects.
func (s suspectsServer) Examine(ctx context.Context, r *rudderpeer.ExamineRequest) (*rudderpeer.ExamineResponse, error) {
	lives := map[string]int64{}
	for _, t := range r.GetTargets() {
		lives[t.GetName()] = t.GetBorn()
	}
	dead, planning := s.edge.former.ConfirmDead(ctx, lives)
	s.edge.Logger.Info().Str("reporter", r.GetReporter()).Str("group", r.GetGroup()).Strs("dead", dead).Bool("planning", planning).
		Msg("silent group examined for another entry host")
	return &rudderpeer.ExamineResponse{Planning: planning, Dead: dead}, nil
}
