package rudderedge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// instanceBytes is the length of the identity of a process in bytes.
	instanceBytes = 8
	// arrivalDelay is the time that the registration of an entry host which can serve may take before it is announced.
	arrivalDelay = 300 * time.Millisecond
	// knownPeers is the number of entry hosts that are asked for the departures and arrivals that they know.
	knownPeers = 3
	// knownInterval is the interval of these calls while this process is not registered, so that others that stop or start do not
	// know it. knownAge is by how much the departures of interest may be older than the last answer.
	knownInterval = time.Second
	knownAge      = 10 * knownInterval
	// maxKnownRegistrations bounds the registrations that are read from one response.
	maxKnownRegistrations = 1024
)

func newInstance() string {
	random := make([]byte, instanceBytes)
	_, _ = rand.Read(random) // crypto/rand never returns an error
	return hex.EncodeToString(random)
}

// announceDeparture tells the other entry hosts that this process stops, without the key-value service, until the returned
// function is called.
func (e *Edge) announceDeparture(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	own := rudderview.Departure{EntryHost: e.session.entry}
	e.view.MarkDeparted(own)
	go func() {
		defer close(ended)
		message, err := departureMessage(own)
		if err != nil {
			e.Logger.Error().Err(err).Msg("cannot encode the departure")
			return
		}
		e.announce(ctx, &rudderpeer.AnnounceRequest{Departure: message})
	}()
	return func() {
		cancel()
		<-ended
	}
}

// announceArrival tells the other entry hosts that this process serves if it cannot register, until it has registered or stops.
func (e *Edge) announceArrival(ctx context.Context) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	announced := make(chan struct{})
	var begin sync.Once
	since := time.Duration(0) // uptime since which this process could be used
	for ctx.Err() == nil && !e.session.registered() && !e.stop.leaving() {
		switch now := e.uptime(); {
		case !e.Ready():
			since = 0
		case since == 0:
			since = now
		case now-since >= arrivalDelay:
			begin.Do(func() {
				e.Logger.Info().Msg("entry host serves and is not registered yet; announcing it to the others")
				go func() {
					defer close(announced)
					e.announceRegistration(ctx)
				}()
			})
		}
		pause(ctx, arrivalDelay/4)
	}
	end()
	begin.Do(func() { close(announced) })
	<-announced
	return nil
}

func (e *Edge) announceRegistration(ctx context.Context) {
	registration, err := json.Marshal(e.session.entry)
	if err != nil {
		e.Logger.Error().Err(err).Msg("cannot encode the registration")
		return
	}
	e.view.MarkArrived(e.session.entry)
	e.announce(ctx, &rudderpeer.AnnounceRequest{Registration: registration})
}

// learnDepartures asks other entry hosts which processes have stopped, once there are some: the records that a process reads at
// its start may still hold their registrations.
func (e *Edge) learnDepartures(ctx context.Context) error {
	answered := false
	knownAt := time.Duration(0) // uptime as of which this process knows what was announced, or was known to those who announce
	for failures := 0; ctx.Err() == nil; {
		changed, now := e.view.Changed(), e.uptime()
		peers := e.otherEntryHosts()
		current := answered && e.session.current()
		if current {
			knownAt = now
		}
		if len(peers) == 0 || current {
			select {
			case <-ctx.Done():
			case <-changed:
			case <-time.After(knownInterval):
			}
			continue
		}
		mathrand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
		maxAge := time.Duration(0)
		if answered {
			maxAge = now - knownAt + knownAge
		}
		if e.askDepartures(ctx, peers[:min(len(peers), knownPeers)], maxAge) {
			answered, knownAt, failures = true, now, 0
			pause(ctx, knownInterval)
			continue
		}
		failures++
		pause(ctx, rudderview.RetryAfter(failures, mathrand.Float64()))
	}
	return nil
}

// otherEntryHosts returns the other entry hosts that can be called.
func (e *Edge) otherEntryHosts() []rudderview.EntryHost {
	var peers []rudderview.EntryHost
	for _, x := range e.view.Snapshot().EntryHosts {
		if x.Peer != "" && x.Name != e.Settings.Name {
			peers = append(peers, x)
		}
	}
	return peers
}

// askDepartures asks entry hosts for the departures up to an age, 0 for any, and the arrivals that they know. It returns false if
// none has answered.
func (e *Edge) askDepartures(ctx context.Context, peers []rudderview.EntryHost, maxAge time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	answers := make(chan bool, len(peers))
	for _, x := range peers {
		go func() {
			response, err := rudderpeer.NewDeparturesProtobufClient("http://"+x.Peer, e.peers.client).Known(ctx, &rudderpeer.KnownRequest{MaxAgeMs: maxAge.Milliseconds()})
			for _, d := range response.GetDepartures() {
				e.markDeparted(x.Name, d)
			}
			registrations := response.GetRegistrations()
			for _, r := range registrations[:min(len(registrations), maxKnownRegistrations)] {
				e.markArrived(x.Name, r, e.view.MarkReportedArrival)
			}
			answers <- err == nil || isEarlierVersion(err)
		}()
	}
	answered := false
	for range peers {
		answered = <-answers || answered
	}
	return answered
}

// isEarlierVersion reports whether an error is the response of an entry host that does not serve a call.
func isEarlierVersion(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.BadRoute
}

// markDeparted applies a departure that another entry host has reported.
func (e *Edge) markDeparted(from string, d *rudderpeer.Departure) {
	departure := rudderview.Departure{Age: time.Duration(d.GetAgeMs()) * time.Millisecond}
	err := json.Unmarshal(d.GetRegistration(), &departure.EntryHost)
	if err != nil || departure.Instance == e.session.entry.Instance { // this process knows best
		return
	}
	if e.view.MarkDeparted(departure) {
		e.Logger.Info().Str("entry_host", departure.Name).Str("instance", departure.Instance).Str("by", from).Msg("entry host is stopping")
	}
}

// markArrived applies a registration that another entry host has announced or reported.
func (e *Edge) markArrived(from string, registration []byte, mark func(rudderview.EntryHost) bool) {
	var x rudderview.EntryHost
	if err := json.Unmarshal(registration, &x); err != nil || x.Name == e.Settings.Name {
		return
	}
	if mark(x) {
		e.Logger.Info().Str("entry_host", x.Name).Str("instance", x.Instance).Str("by", from).Msg("entry host serves and is not registered yet")
	}
}

func departureMessage(d rudderview.Departure) (*rudderpeer.Departure, error) {
	registration, err := json.Marshal(d.EntryHost)
	return &rudderpeer.Departure{Registration: registration, AgeMs: d.Age.Milliseconds()}, err
}

// departuresServer serves the Departures calls of other entry hosts.
type departuresServer struct{ edge *Edge }

// Announce implements rudderpeer.Departures.
func (s departuresServer) Announce(_ context.Context, r *rudderpeer.AnnounceRequest) (*rudderpeer.AnnounceResponse, error) {
	if d := r.GetDeparture(); d != nil {
		s.edge.markDeparted("", d)
	}
	if len(r.GetRegistration()) > 0 {
		s.edge.markArrived("", r.GetRegistration(), s.edge.view.MarkArrived)
	}
	return &rudderpeer.AnnounceResponse{Instance: s.edge.session.entry.Instance}, nil
}

// Known implements rudderpeer.Departures.
func (s departuresServer) Known(_ context.Context, r *rudderpeer.KnownRequest) (*rudderpeer.KnownResponse, error) {
	maxAge := rudderview.DepartureRetention
	if r.GetMaxAgeMs() > 0 {
		maxAge = min(maxAge, time.Duration(r.GetMaxAgeMs())*time.Millisecond)
	}
	response := &rudderpeer.KnownResponse{}
	for _, d := range s.edge.view.Departures(maxAge) {
		message, err := departureMessage(d)
		if err != nil {
			return nil, err
		}
		response.Departures = append(response.Departures, message)
	}
	for _, x := range s.edge.view.Arrivals() {
		registration, err := json.Marshal(x)
		if err != nil {
			return nil, err
		}
		response.Registrations = append(response.Registrations, registration)
	}
	return response, nil
}
