package rudderedge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderd/rudderforward"
	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

const (
	// examineTimeout bounds an Examine call to the planner: a first probe, the answers of other entry hosts that are asked to
	// probe too, and the round trip.
	examineTimeout = 650 * time.Millisecond
	// secretSpread is the time over which entry hosts that find no shared secret spread their attempts to create one.
	secretSpread = 2 * time.Second
	// secretBytes is the length of the shared secret in bytes.
	secretBytes = 32
)

// peers holds the client and the keys for calls between entry hosts, which are signed with a shared secret that is stored
// in the key-value service.
type peers struct {
	keys        *rudderpeer.Keyring
	client      *http.Client
	secretKnown chan struct{} // closed once the shared secret is known
	once        sync.Once
	secret      atomic.Pointer[[]byte]
}

func newPeers() *peers {
	keys := rudderpeer.NewKeyring(nil)
	pool := &rudderpeer.Pool{Dial: Dialer().DialContext}
	return &peers{keys: keys, secretKnown: make(chan struct{}), client: &http.Client{Transport: &rudderpeer.Transport{
		Keys: keys, Clock: clockwork.NewRealClock(), Base: pool,
	}}}
}

// peerHandler serves the calls of other entry hosts.
func (e *Edge) peerHandler() http.Handler {
	verifier := &rudderpeer.Verifier{Keys: e.peers.keys, Clock: clockwork.NewRealClock()}
	mux := http.NewServeMux()
	mux.Handle(rudderpeer.SuspectsPathPrefix, rudderpeer.NewSuspectsServer(suspectsServer{e}))
	mux.HandleFunc(http.MethodPost+" "+indirectProbePath, e.serveIndirectProbe)
	mux.HandleFunc(http.MethodPost+" "+relayedOrderPath, e.serveRelayedOrder)
	mux.Handle(rudderpeer.RelayPathPrefix, rudderpeer.NewRelayServer(relayServer{e}))
	mux.Handle(rudderpeer.DeparturesPathPrefix, rudderpeer.NewDeparturesServer(departuresServer{e}))
	mux.Handle(rudderpeer.BootstrapPathPrefix, e.limitBootstraps(rudderpeer.NewBootstrapServer(bootstrapServer{e})))
	mux.Handle(rudderpeer.FormerHostsPathPrefix, rudderpeer.NewFormerHostsServer(formerServer{e}))
	mux.Handle(rudderpeer.BalancePathPrefix, rudderpeer.NewBalanceServer(balanceServer{e.balance}))
	// Relayed requests have a nonce cache of their own, so that many of them do not stop other calls.
	relayVerifier := &rudderpeer.Verifier{
		Keys: e.peers.keys, Clock: clockwork.NewRealClock(), MaxBodyBytes: rudderpath.MaxBodyBytes + rudderpath.MaxHeadBytes,
	}
	all := http.NewServeMux()
	all.Handle(rudderpath.PathPrefix, e.forwarder.LimitRelayed(relayVerifier.Wrap(http.HandlerFunc(e.forwarder.ServeRelayed))))
	all.Handle("/", verifier.Wrap(mux))
	return all
}

// setSecret sets the shared secret that was read from the key-value service.
func (e *Edge) setSecret(secret []byte) {
	e.peers.keys.Set(secret)
	e.peers.secret.Store(&secret)
	e.peers.once.Do(func() { close(e.peers.secretKnown) })
}

// agreeOnSecret waits until the shared secret is known from the first snapshot. If the snapshot holds none, it reads the
// secret from the key-value service or creates it, after a random wait, because entry hosts may all start together.
func (e *Edge) agreeOnSecret(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, synced := e.view.Staleness(); synced {
			break
		}
		pause(ctx, sessionRetry)
	}
	select {
	case <-ctx.Done():
		return nil
	case <-e.peers.secretKnown:
		return nil
	case <-time.After(mathrand.N(secretSpread)):
	}
	for ctx.Err() == nil {
		secret, err := e.secret(ctx)
		if err == nil {
			e.setSecret(secret)
			return nil
		}
		e.Logger.Debug().Err(err).Msg("cannot read or create the shared secret")
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
	var secret []byte
	if known := e.peers.secret.Load(); known != nil {
		secret = *known // a restore of the key-value service has lost it
	} else {
		random := make([]byte, secretBytes)
		_, _ = rand.Read(random) // crypto/rand never returns an error
		secret = []byte(hex.EncodeToString(random))
	}
	if _, err := e.Ports.Store.Put(ctx, rudderstore.PutRequest{Key: rudderview.SecretKey, Value: secret}); err != nil {
		return nil, err // if another entry host has created the secret first, the next attempt reads it
	}
	return secret, nil
}

// examine has the planner probe the members of a group that has not responded for some time.
func (e *Edge) examine(ctx context.Context, g *rudderview.Group, silence time.Duration) (found rudderforward.GroupFinding, ok bool) {
	incarnations := map[string]int64{}
	var processes []rudderlimit.Process
	request := &rudderpeer.ExamineRequest{Reporter: e.Settings.Name, Group: g.ID, SilenceMs: silence.Milliseconds()}
	for _, m := range g.Members {
		incarnations[m.Name] = m.Born
		processes = append(processes, rudderlimit.Process{Target: m.Name, Born: m.Born})
		request.Targets = append(request.Targets, &rudderpeer.SuspectTarget{Name: m.Name, Born: m.Born})
	}
	ctx, cancel := context.WithTimeout(ctx, examineTimeout)
	defer cancel()
	if e.planner.Planning() {
		found.Dead, found.Silent, ok = e.planner.Examine(ctx, incarnations, silence)
		found.Slow = e.planner.Slow(incarnations)
		return found, ok
	}
	request.Limits = rudderlimit.Encode(e.limits.Known(processes, e.uptime()))
	snapshot := e.view.Snapshot()
	for _, x := range snapshot.EntryHosts {
		if x.Name != snapshot.PlannerName || x.Peer == "" {
			continue
		}
		answer, err := rudderpeer.NewSuspectsProtobufClient("http://"+x.Peer, e.peers.client).Examine(ctx, request)
		if err != nil && ctx.Err() == context.Canceled {
			return found, false // nobody waits for the answer
		}
		if err != nil {
			e.view.SkipBatchPause() // another entry host may have taken over as the planner
			e.Logger.Warn().Err(err).Str("planner", x.Name).Str("group", g.ID).Msg("planner is unreachable; probing the group from this entry host")
			return found, false
		}
		return rudderforward.GroupFinding{Dead: answer.GetDead(), Silent: answer.GetSilent(), Slow: answer.GetSlow()}, answer.GetPlanning()
	}
	return found, false
}

// suspectsServer serves the Suspects calls of other entry hosts.
type suspectsServer struct{ edge *Edge }

// Examine implements rudderpeer.Suspects.
func (s suspectsServer) Examine(ctx context.Context, r *rudderpeer.ExamineRequest) (*rudderpeer.ExamineResponse, error) {
	incarnations := map[string]int64{}
	for _, t := range r.GetTargets() {
		incarnations[t.GetName()] = t.GetBorn()
	}
	s.edge.mergeLimits(r.GetReporter(), rudderlimit.Decode(r.GetLimits()))
	dead, silent, planning := s.edge.planner.Examine(ctx, incarnations, time.Duration(r.GetSilenceMs())*time.Millisecond)
	s.edge.Logger.Info().Str("reporter", r.GetReporter()).Str("group", r.GetGroup()).Strs("dead", dead).Strs("silent", silent).Bool("planning", planning).
		Msg("unresponsive group examined for another entry host")
	return &rudderpeer.ExamineResponse{Planning: planning, Dead: dead, Silent: silent, Slow: s.edge.planner.Slow(incarnations)}, nil
}
