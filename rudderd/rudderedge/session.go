package rudderedge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
)

const (
	// sessionTTL is the lease of a registration, and so how long an entry host that has died stays in the directory.
	sessionTTL = 4500 * time.Millisecond
	// sessionRenew is the interval between renewals. A failed one is repeated at once, several times within sessionTTL. It is not
	// shorter because renewals are most of the calls of an entry host that follows another one.
	sessionRenew = 2 * time.Second
	// sessionCheckSpread spreads the calls of all entry hosts after a restore or an outage of the key-value service.
	sessionCheckSpread = 300 * time.Millisecond
	// storeTimeout bounds a call to the key-value service.
	storeTimeout = 800 * time.Millisecond
	// minSessionTimeout bounds a call of the session to a service that answers fast. A slow one gets answerMargin times its last
	// answer. The bound doubles with each call without an answer, up to storeTimeout.
	minSessionTimeout = 100 * time.Millisecond
	answerMargin      = 4
	// minRenewTimeout replaces minSessionTimeout for renewals and revocations, which are less urgent: without an answer to them an
	// outage may have begun that the view has not noticed yet.
	minRenewTimeout = 400 * time.Millisecond
	// repeatsAtOnce is the number of calls without an answer that are repeated without a pause: their answers may be lost.
	repeatsAtOnce = 3
	// outageRetry is the pause between two calls while the view finds that the service does not answer.
	outageRetry = 2 * time.Second
	// sessionRetry is the pause after a failed call.
	sessionRetry = 250 * time.Millisecond
)

// session maintains this entry host's registration in the key-value service.
type session struct {
	store  *rudderstore.Store
	logger zerolog.Logger
	uptime func() time.Duration
	entry  rudderview.EntryHost
	left   chan struct{} // closed when the entry host leaves
	once   sync.Once
	check  chan struct{} // holds a value when the lease may be lost
	// changed returns a channel that is closed when the view changes, and missing reports whether a view that is at least as
	// new as a revision lacks the registration.
	changed func() <-chan struct{}
	missing func(revision int64) bool
	// unreachable reports whether the key-value service does not answer the view, and answered tells the view that it answers.
	unreachable func() bool
	answered    func()
	// lease is 0 for none, and leaseSentAt the uptime at which its grant or last renewal was sent. revision is that of the
	// registration. They are used only by run.
	lease       int64
	leaseSentAt time.Duration
	revision    int64
	timeout     time.Duration // of the next call; 0 before the first one
	unanswered  int           // consecutive calls without an answer
	losses      int           // consecutive losses of the registration to another writer
	lostAt      time.Duration // uptime of the last one
	// renewedAt is the uptime at which the last successful renewal was sent; 0 before the first registration.
	renewedAt atomic.Int64
}

// lapsed reports whether the registration may have expired, so that other entry hosts no longer know this one. Before the first
// one they know it only by the registration of an earlier process, as it does itself.
func (s *session) lapsed() bool {
	at := time.Duration(s.renewedAt.Load())
	return at != 0 && s.uptime()-at >= sessionTTL
}

// registered reports whether this process has registered since its start.
func (s *session) registered() bool { return s.renewedAt.Load() != 0 }

// current reports whether the registration of this process has not expired, as far as is known here.
func (s *session) current() bool { return s.registered() && !s.lapsed() }

// checkNow makes run renew the lease soon and register again if it is lost.
func (s *session) checkNow() {
	select {
	case s.check <- struct{}{}:
	default:
	}
}

// leave makes run revoke the registration and return.
func (s *session) leave() { s.once.Do(func() { close(s.left) }) }

// run registers this entry host and renews the registration until the context is cancelled or leave is called.
func (s *session) run(ctx context.Context) error {
	value, err := json.Marshal(s.entry)
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	go func() {
		select {
		case <-s.left:
			end()
		case <-ctx.Done():
		}
	}()
	for failures := 0; ctx.Err() == nil; {
		if err := s.register(ctx, value); err != nil {
			failures++
			s.logger.Info().Err(err).Int("failures", failures).Msg("registration failed")
			s.pauseAfter(ctx, failures)
			continue
		}
		failures = 0
		s.answered()
		s.logger.Info().Int64("lease", s.lease).Msg("entry host registered")
		s.renew(ctx)
	}
	if s.lease != 0 {
		s.revoke(s.lease) // also after a failed registration, which may have been stored
	}
	return nil
}

// call calls the key-value service with a time limit that follows its answers.
func (s *session) call(ctx context.Context, least time.Duration, do func(ctx context.Context) error) error {
	timeout := max(s.timeout, least)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begin := s.uptime()
	err := do(ctx)
	if err != nil && ctx.Err() != nil {
		s.unanswered++
		s.timeout = min(2*timeout, storeTimeout)
		return err
	}
	s.unanswered = 0
	s.timeout = min(answerMargin*(s.uptime()-begin), storeTimeout)
	return err
}

// pauseAfter pauses after a number of consecutive failed calls. In an outage it waits until the view notices the end.
func (s *session) pauseAfter(ctx context.Context, failures int) {
	if !s.unreachable() {
		if s.unanswered == 0 || s.unanswered > repeatsAtOnce {
			pause(ctx, rudderview.RetryAfter(failures, rand.Float64()))
		}
		return
	}
	timer := time.NewTimer(outageRetry)
	defer timer.Stop()
	for {
		changed := s.changed()
		if !s.unreachable() {
			pause(ctx, rand.N(sessionCheckSpread))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// register writes the registration. All attempts use one lease while it lasts: a write without an answer may be carried out
// seconds later, and with a lease of its own it would replace a newer registration and then expire.
func (s *session) register(ctx context.Context, value []byte) error {
	if s.lease == 0 || s.uptime()-s.leaseSentAt >= sessionTTL {
		sentAt := s.uptime()
		err := s.call(ctx, minSessionTimeout, func(ctx context.Context) (err error) {
			s.lease, err = s.store.GrantLease(ctx, sessionTTL)
			return err
		})
		if err != nil {
			s.lease = 0
			return err
		}
		s.leaseSentAt = sentAt
	}
	err := s.call(ctx, minSessionTimeout, func(ctx context.Context) (err error) {
		s.revision, err = s.store.Put(ctx, rudderstore.PutRequest{
			Key: rudderview.EntryPrefix + s.entry.Name, Value: value, Expected: rudderstore.AnyRevision, Lease: s.lease,
		})
		return err
	})
	if errors.Is(err, rudderstore.ErrNotFound) {
		s.lease = 0
	}
	if err != nil {
		return err
	}
	s.renewedAt.Store(int64(s.leaseSentAt))
	return nil
}

// renew renews the lease until it has expired, the registration is missing or the context is cancelled.
func (s *session) renew(ctx context.Context) {
	timer := time.NewTimer(s.leaseSentAt + sessionRenew - s.uptime())
	defer timer.Stop()
	for failures := 0; ; {
		changed := s.changed()
		if s.missing(s.revision) {
			s.logger.Warn().Int64("lease", s.lease).Msg("registration is missing; registering again")
			pause(ctx, s.lossPause())
			return
		}
		select {
		case <-timer.C:
		case <-s.check:
			pause(ctx, rand.N(sessionCheckSpread))
		case <-changed:
			continue
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return
		}
		sentAt := s.uptime()
		err := s.call(ctx, minRenewTimeout, func(ctx context.Context) error { return s.store.KeepAlive(ctx, s.lease) })
		next := sessionRenew
		switch {
		case err == nil:
			failures = 0
			s.leaseSentAt = sentAt
			s.renewedAt.Store(int64(sentAt))
		case errors.Is(err, rudderstore.ErrNotFound):
			s.logger.Warn().Int64("lease", s.lease).Msg("registration expired; registering again")
			s.lease = 0
			return
		default:
			failures++
			s.pauseAfter(ctx, failures)
			next = 0
		}
		timer.Reset(next)
	}
}

// lossPause returns the pause before a lost registration is written again. It grows with repeated losses, because two processes of
// one name replace each other's registrations, and each write reaches the whole fleet.
func (s *session) lossPause() time.Duration {
	now := s.uptime()
	if now-s.lostAt > 2*sessionTTL {
		s.losses = 0
	}
	longest := min(sessionCheckSpread<<min(s.losses, 8), sessionTTL)
	s.losses, s.lostAt = s.losses+1, now
	return rand.N(longest)
}

// revoke removes the registration. A revocation without an answer is repeated until the lease ends by itself.
func (s *session) revoke(lease int64) {
	for failures := 0; ; {
		err := s.call(context.Background(), minRenewTimeout, func(ctx context.Context) error { return s.store.RevokeLease(ctx, lease) })
		if err == nil || errors.Is(err, rudderstore.ErrNotFound) {
			return
		}
		failures++
		if s.uptime()-s.leaseSentAt >= sessionTTL {
			s.logger.Warn().Err(err).Int64("lease", lease).Msg("cannot remove registration; it expires with its lease")
			return
		}
		s.pauseAfter(context.Background(), failures)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// registrationMissing reports whether the view is at least as new as a revision and lacks the registration of this process.
func (e *Edge) registrationMissing(revision int64) bool {
	snapshot := e.view.Snapshot()
	return snapshot.Revision >= revision && !slices.ContainsFunc(snapshot.EntryHosts, func(x rudderview.EntryHost) bool {
		return x.Name == e.Settings.Name && x.Instance == e.session.entry.Instance
	})
}

// storeUnreachable reports whether the key-value service does not answer the view, or has not answered it since the start.
func (e *Edge) storeUnreachable() bool {
	_, synced := e.view.Staleness()
	return !synced || e.view.Unreachable()
}
