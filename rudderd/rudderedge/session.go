package rudderedge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
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
	// sessionRenew is the interval between renewals. It allows for one lost renewal within sessionTTL. It is not shorter
	// because renewals are most of the calls of an entry host that follows another one.
	sessionRenew = 2 * time.Second
	// sessionCheckSpread spreads the calls of all entry hosts after a restore of the key-value service.
	sessionCheckSpread = 300 * time.Millisecond
	// storeTimeout bounds a call to the key-value service.
	storeTimeout = 800 * time.Millisecond
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
		lease, err := s.register(ctx, value)
		if err != nil {
			if lease != 0 && ctx.Err() != nil {
				s.revoke(lease) // the registration may have been stored
			}
			failures++
			s.logger.Info().Err(err).Int("failures", failures).Msg("registration failed")
			pause(ctx, rudderview.RetryAfter(failures, rand.Float64()))
			continue
		}
		failures = 0
		s.logger.Info().Int64("lease", lease).Msg("entry host registered")
		s.renew(ctx, lease)
	}
	return nil
}

// register returns the lease also with an error, once it has been granted.
func (s *session) register(ctx context.Context, value []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sentAt := s.uptime()
	lease, err := s.store.GrantLease(ctx, sessionTTL)
	if err != nil {
		return 0, err
	}
	_, err = s.store.Put(ctx, rudderstore.PutRequest{
		Key: rudderview.EntryPrefix + s.entry.Name, Value: value, Expected: rudderstore.AnyRevision, Lease: lease,
	})
	if err == nil {
		s.renewedAt.Store(int64(sentAt))
	}
	return lease, err
}

// renew renews the lease until it has expired, or until the context is cancelled; then it revokes the lease.
func (s *session) renew(ctx context.Context, lease int64) {
	for {
		select {
		case <-time.After(sessionRenew):
		case <-s.check:
			pause(ctx, rand.N(sessionCheckSpread))
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			s.revoke(lease)
			return
		}
		callContext, cancel := context.WithTimeout(ctx, storeTimeout)
		sentAt := s.uptime()
		err := s.store.KeepAlive(callContext, lease)
		cancel()
		if err == nil {
			s.renewedAt.Store(int64(sentAt))
		}
		if errors.Is(err, rudderstore.ErrNotFound) {
			s.logger.Warn().Int64("lease", lease).Msg("registration expired; registering again")
			return
		}
	}
}

func (s *session) revoke(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := s.store.RevokeLease(ctx, lease); err != nil {
		s.logger.Warn().Err(err).Int64("lease", lease).Msg("cannot remove registration; it expires with its lease")
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
