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
	// firstSessionTimeout bounds the first attempt of a call of the session. It doubles with each failed attempt up to
	// storeTimeout: the answer to a single call may be lost, and a slow service needs more time.
	firstSessionTimeout = 200 * time.Millisecond
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
	// lease is 0 for none, and leaseSentAt the uptime at which its grant or last renewal was sent. revision is that of the
	// registration. They are used only by run.
	lease       int64
	leaseSentAt time.Duration
	revision    int64
	// renewedAt is the uptime at which the last successful renewal was sent; 0 before the first registration.
	renewedAt atomic.Int64
}

// lapsed reports whether the registration may have expired, so that other entry hosts no longer know this one. Before the first
// one they know it only by the registration of an earlier process, as it does itself.
func (s *session) lapsed() bool {
	at := time.Duration(s.renewedAt.Load())
	return at != 0 && s.uptime()-at >= sessionTTL
}

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
		if err := s.register(ctx, value, sessionTimeout(failures)); err != nil {
			failures++
			s.logger.Info().Err(err).Int("failures", failures).Msg("registration failed")
			pause(ctx, rudderview.RetryAfter(failures, rand.Float64()))
			continue
		}
		failures = 0
		s.logger.Info().Int64("lease", s.lease).Msg("entry host registered")
		s.renew(ctx)
	}
	if s.lease != 0 {
		s.revoke(s.lease) // also after a failed registration, which may have been stored
	}
	return nil
}

// sessionTimeout returns the time limit of a call after a number of consecutive failed ones.
func sessionTimeout(failures int) time.Duration {
	return min(firstSessionTimeout<<min(failures, 8), storeTimeout)
}

// register writes the registration. All attempts use one lease while it lasts: a write without an answer may be carried out
// seconds later, and with a lease of its own it would replace a newer registration and then expire.
func (s *session) register(ctx context.Context, value []byte, timeout time.Duration) error {
	if s.lease == 0 || s.uptime()-s.leaseSentAt >= sessionTTL {
		grantContext, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		sentAt := s.uptime()
		lease, err := s.store.GrantLease(grantContext, sessionTTL)
		if err != nil {
			return err
		}
		s.lease, s.leaseSentAt = lease, sentAt
	}
	putContext, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	revision, err := s.store.Put(putContext, rudderstore.PutRequest{
		Key: rudderview.EntryPrefix + s.entry.Name, Value: value, Expected: rudderstore.AnyRevision, Lease: s.lease,
	})
	if errors.Is(err, rudderstore.ErrNotFound) {
		s.lease = 0
	}
	if err != nil {
		return err
	}
	s.revision = revision
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
			pause(ctx, rand.N(sessionCheckSpread))
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
		callContext, cancel := context.WithTimeout(ctx, sessionTimeout(failures))
		sentAt := s.uptime()
		err := s.store.KeepAlive(callContext, s.lease)
		cancel()
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
			next = rudderview.RetryAfter(failures, rand.Float64())
		}
		timer.Reset(next)
	}
}

// revoke removes the registration. A revocation without an answer is repeated until the lease ends by itself.
func (s *session) revoke(lease int64) {
	for failures := 0; ; {
		ctx, cancel := context.WithTimeout(context.Background(), sessionTimeout(failures))
		err := s.store.RevokeLease(ctx, lease)
		cancel()
		if err == nil || errors.Is(err, rudderstore.ErrNotFound) {
			return
		}
		failures++
		if s.uptime()-s.leaseSentAt >= sessionTTL {
			s.logger.Warn().Err(err).Int64("lease", lease).Msg("cannot remove registration; it expires with its lease")
			return
		}
		pause(context.Background(), rudderview.RetryAfter(failures, rand.Float64()))
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

// registrationMissing reports whether the view is at least as new as a revision and lacks the registration of this entry host.
func (e *Edge) registrationMissing(revision int64) bool {
	snapshot := e.view.Snapshot()
	return snapshot.Revision >= revision && !slices.ContainsFunc(snapshot.EntryHosts, func(x rudderview.EntryHost) bool { return x.Name == e.Settings.Name })
}
