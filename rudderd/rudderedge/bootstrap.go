package rudderedge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

const (
	// bootstrapDelay is how long the key-value service may be silent after the start of a process until other entry hosts
	// are asked for what they know. A read of all records takes some milliseconds.
	bootstrapDelay = 150 * time.Millisecond
	// relistDelay replaces it for a process that has a snapshot and reads all records again, which takes longer with hundreds of
	// hosts.
	relistDelay = 500 * time.Millisecond
	// relistInterval replaces relistDelay until this time after the last answer that was used.
	relistInterval = 5 * time.Second
	// sourceStagger is the time after which the next source is asked as well, and sourceTimeout bounds one round of questions:
	// a large fleet's records take some hundred milliseconds on a slow link.
	sourceStagger = 50 * time.Millisecond
	sourceTimeout = time.Second
	// freshAge is the staleness up to which the answer of one source is enough. It is that of a host that has not yet noticed
	// an outage.
	freshAge = rudderview.OutageDetectionTime
	// oldAnswerDelay is the silence of the service after which an answer is accepted that is too old for requests with a
	// key: nobody can have changed the document meanwhile.
	oldAnswerDelay = time.Second
	// maxBootstrapCalls bounds the calls that are served at once, and bootstrapWriteTimeout the time that each may take.
	maxBootstrapCalls     = 4
	bootstrapReadTimeout  = time.Second
	bootstrapWriteTimeout = 3 * time.Second
	maxBootstrapRequest   = 1 << 10
)

// bootstrapState is what an entry host keeps to ask others for what they know, and to answer them.
type bootstrapState struct {
	client        *http.Client  // for calls that are not signed
	calls         chan struct{} // holds a value for each call that is being served
	seedsFrom     atomic.Int64  // uptime from which on seeds are asked, in nanoseconds
	usedAt        atomic.Int64  // uptime of the last answer that was used, in nanoseconds
	formerAskedAt atomic.Int64  // uptime of the last question about former entry hosts, in nanoseconds
}

// errNoSource reports that there is no other entry host that could be asked.
var errNoSource = errors.New("edge: no entry host to ask for what it knows")

// source is an entry host that can be asked for what it knows.
type source struct {
	address string
	client  rudderpeer.HTTPClient
}

// sourceAnswer is what a source knows, with the shared secret.
type sourceAnswer struct {
	rudderview.Known
	secret []byte
}

// sources returns the entry hosts that can be asked, and how long the key-value service may be silent before: the seeds after the
// start, later the watchers, whose calls are signed.
func (e *Edge) sources() (list []source, delay time.Duration) {
	if _, synced := e.view.Staleness(); synced {
		for _, x := range e.otherWatchers() {
			list = append(list, source{x.Peer, e.peers.client})
		}
		if used := time.Duration(e.bootstrap.usedAt.Load()); used > 0 && e.uptime()-used < relistInterval {
			return list, relistInterval // the service may be slow, and its answer must arrive at last
		}
		return list, relistDelay
	}
	for _, address := range e.Settings.Seeds {
		if address != e.Settings.BootstrapListen {
			list = append(list, source{address, e.bootstrap.client})
		}
	}
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list, bootstrapDelay
}

// fetchKnown implements rudderview.View.FetchKnown.
func (e *Edge) fetchKnown(ctx context.Context) (rudderview.Known, error) {
	begin := e.uptime()
	for rounds := 1; ctx.Err() == nil; rounds++ {
		list, delay := e.sources()
		if len(list) == 0 {
			return rudderview.Known{}, errNoSource
		}
		if left := max(begin+delay, time.Duration(e.bootstrap.seedsFrom.Load())) - e.uptime(); left > 0 {
			pause(ctx, min(left, bootstrapDelay))
			continue
		}
		a := e.askSources(ctx, list)
		if ctx.Err() == nil && e.usable(a.Known, e.uptime()-begin) {
			if e.peers.secret.Load() == nil && len(a.secret) > 0 {
				e.setSecret(a.secret)
			}
			e.bootstrap.usedAt.Store(int64(e.uptime()))
			return a.Known, nil
		}
		pause(ctx, rudderview.RetryAfter(rounds, rand.Float64()))
	}
	return rudderview.Known{}, ctx.Err()
}

// usable reports whether an answer may replace what this entry host knows. It ends the read of all records from the key-value
// service, which has been silent for some time.
func (e *Edge) usable(k rudderview.Known, silent time.Duration) bool {
	age := e.uptime() - k.AsOf
	if own, synced := e.view.Staleness(); synced && own <= age {
		return false // the answer is no newer
	}
	return k.Revision > 0 && k.Revision >= e.view.Snapshot().Revision && (age <= e.Settings.MaxKeyStaleness || silent >= oldAnswerDelay)
}

// askSources asks the sources one shortly after the other until one has recent records, and returns the newest answer. Its
// revision is 0 if no source knows anything.
func (e *Edge) askSources(ctx context.Context, list []source) sourceAnswer {
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	answers := make(chan sourceAnswer, len(list))
	for i, x := range list {
		go func() {
			pause(ctx, time.Duration(i)*sourceStagger)
			a, err := e.askSource(ctx, x)
			if err != nil && ctx.Err() == nil {
				e.Logger.Info().Err(err).Str("source", x.address).Msg("entry host does not tell what it knows")
			}
			answers <- a
		}()
	}
	var newest sourceAnswer
	for range list {
		if a := <-answers; a.Revision > newest.Revision || a.Revision == newest.Revision && a.AsOf > newest.AsOf {
			newest = a
		}
		if newest.Revision > 0 && e.uptime()-newest.AsOf <= freshAge {
			break
		}
	}
	return newest
}

// askSource asks one source.
func (e *Edge) askSource(ctx context.Context, x source) (sourceAnswer, error) {
	if ctx.Err() != nil {
		return sourceAnswer{}, ctx.Err()
	}
	begin := e.uptime()
	response, err := rudderpeer.NewBootstrapProtobufClient("http://"+x.address, x.client).State(ctx, &rudderpeer.StateRequest{})
	if err != nil || !response.GetKnown() {
		return sourceAnswer{}, err
	}
	events, err := unpack(response.GetRecords(), e.Account.Budgets.Replies)
	if err != nil {
		return sourceAnswer{}, err
	}
	a := sourceAnswer{secret: response.GetSecret(), Known: rudderview.Known{
		Revision: response.GetRevision(), Unavailable: response.GetAway(), AsOf: begin - time.Duration(response.GetAgeMs())*time.Millisecond,
		Records: make([]rudderstore.Entry, len(events)),
	}}
	for i, x := range events {
		a.Records[i] = x.Entry
	}
	e.addFormer(response.GetFormer())
	for _, x := range response.GetLeaving() {
		a.Announcements = append(a.Announcements, rudderview.Announcement{Target: x.GetName(), Born: x.GetBorn()})
	}
	return a, nil
}

// bootstrapServer serves the Bootstrap calls of processes that have just started.
type bootstrapServer struct{ edge *Edge }

// State implements rudderpeer.Bootstrap.
func (s bootstrapServer) State(context.Context, *rudderpeer.StateRequest) (*rudderpeer.StateResponse, error) {
	k := s.edge.view.Known()
	if k.Revision == 0 {
		return &rudderpeer.StateResponse{}, nil
	}
	records, err := s.edge.packer.pack(packKey{allRecords, k.Revision}, func() []*rudderpeer.Change { return changesOfEntries(k.Records) })
	if err != nil {
		return nil, err
	}
	response := &rudderpeer.StateResponse{Known: true, Revision: k.Revision, Records: records, AgeMs: k.Age.Milliseconds() + 1, Away: k.Unavailable}
	if secret := s.edge.peers.secret.Load(); secret != nil {
		response.Secret = *secret
	}
	for _, a := range k.Announcements {
		response.Leaving = append(response.Leaving, &rudderpeer.LeavingTarget{Name: a.Target, Born: a.Born})
	}
	response.Former = s.edge.listFormer()
	return response, nil
}

// limitBootstraps serves a few calls at a time: each holds a copy of the records.
func (e *Edge) limitBootstraps(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case e.bootstrap.calls <- struct{}{}:
			defer func() { <-e.bootstrap.calls }()
		default:
			_ = twirp.WriteError(w, twirp.NewError(twirp.ResourceExhausted, "other entry hosts are being served"))
			return
		}
		e.Logger.Info().Str("remote", r.RemoteAddr).Msg("records passed to an entry host that the key-value service does not answer")
		next.ServeHTTP(w, r)
	})
}

// bootstrapHandler serves entry hosts that have just started. Their calls are not signed, so that they are known only by their IP
// addresses.
func (e *Edge) bootstrapHandler() http.Handler {
	next := e.limitBootstraps(rudderpeer.NewBootstrapServer(bootstrapServer{e}))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ip, _, _ := net.SplitHostPort(r.RemoteAddr) // an empty one is that of no entry host
		if !e.view.HasEntryHostAt(ip) {
			e.askFormer()
			_ = twirp.WriteError(w, twirp.NewError(twirp.PermissionDenied, "no entry host is known at this address"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBootstrapRequest)
		next.ServeHTTP(w, r)
	})
}

// newBootstrapServer returns the server for calls of processes that have just started. Each sends one call.
func (e *Edge) newBootstrapServer() *http.Server {
	server := &http.Server{
		Handler: e.bootstrapHandler(), ReadTimeout: bootstrapReadTimeout, WriteTimeout: bootstrapWriteTimeout, MaxHeaderBytes: maxBootstrapRequest,
	}
	server.SetKeepAlivesEnabled(false)
	return server
}
