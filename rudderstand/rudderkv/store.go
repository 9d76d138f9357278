package rudderkv

import (
	"context"
	"time"

	"comfreyrudder.example/shared/rudderstore"
)

// Store returns an in-process client without a name.
func (s *Server) Store() *rudderstore.Store { return s.StoreFor("") }

// StoreFor returns an in-process client with a name, by which SetClientBlocked can refuse its calls.
func (s *Server) StoreFor(client string) *rudderstore.Store {
	s.init()
	return &rudderstore.Store{
		Get: func(ctx context.Context, key string) (rudderstore.Entry, int64, error) {
			var entry rudderstore.Entry
			revision, err := s.call(ctx, operation{client: client, kind: KindGet, keys: []string{key}, apply: func() (err error) {
				entry, err = s.get(key)
				return err
			}})
			return entry, revision, err
		},
		List: func(ctx context.Context, prefix string) ([]rudderstore.Entry, int64, error) {
			var entries []rudderstore.Entry
			revision, err := s.call(ctx, operation{client: client, kind: KindList, keys: []string{prefix}, apply: func() error {
				entries = s.list(prefix)
				return nil
			}})
			return entries, revision, err
		},
		Put: func(ctx context.Context, request rudderstore.PutRequest) (int64, error) {
			return s.call(ctx, operation{client: client, kind: KindPut, keys: []string{request.Key}, write: true, apply: func() error {
				return s.put(request)
			}})
		},
		Delete: func(ctx context.Context, key string, expected int64) (int64, error) {
			return s.call(ctx, operation{client: client, kind: KindDelete, keys: []string{key}, write: true, apply: func() error {
				return s.delete(key, expected)
			}})
		},
		GrantLease: func(ctx context.Context, ttl time.Duration) (int64, error) {
			granted := make(chan int64, 1)
			_, err := s.call(ctx, operation{client: client, kind: KindGrantLease, write: true, apply: func() error {
				granted <- s.grant(ttl)
				return nil
			}})
			if err != nil {
				return 0, err
			}
			return <-granted, nil
		},
		KeepAlive: func(ctx context.Context, lease int64) error {
			_, err := s.call(ctx, operation{client: client, kind: KindKeepAlive, write: true, apply: func() error {
				return s.keepAlive(lease)
			}})
			return err
		},
		RevokeLease: func(ctx context.Context, lease int64) error {
			_, err := s.call(ctx, operation{client: client, kind: KindRevokeLease, write: true, apply: func() error {
				return s.revoke(lease)
			}})
			return err
		},
		Watch: func(ctx context.Context, request rudderstore.WatchRequest) (rudderstore.WatchResult, error) {
			return s.watch(ctx, client, request)
		},
	}
}

// operation is one call of a client.
type operation struct {
	client string
	kind   string
	keys   []string
	write  bool
	apply  func() error // called with the mutex held
}

// call executes an operation and returns the store revision after it.
func (s *Server) call(ctx context.Context, op operation) (int64, error) {
	delay, err := s.admit(ctx, op)
	if err != nil {
		return 0, err
	}
	if delay == 0 {
		return s.execute(op)
	}
	if !op.write {
		select {
		case <-ctx.Done():
			return 0, rudderstore.ErrUnavailable
		case <-s.Clock.After(delay):
			return s.execute(op)
		}
	}
	return s.executeLater(ctx, op, delay)
}

// executeLater applies a delayed write even if its caller has timed out.
func (s *Server) executeLater(ctx context.Context, op operation, delay time.Duration) (int64, error) {
	type result struct {
		revision int64
		err      error
	}
	done := make(chan result, 1)
	timer := s.Clock.After(delay)
	go func() {
		<-timer
		revision, err := s.execute(op)
		done <- result{revision, err}
	}()
	select {
	case <-ctx.Done():
		return 0, rudderstore.ErrUnknownOutcome
	case r := <-done:
		return r.revision, r.err
	}
}

// admit counts a call and refuses it if a fault or a rate limit requires that. Otherwise it returns the delay
// of the call.
func (s *Server) admit(ctx context.Context, op operation) (time.Duration, error) {
	s.mu.Lock()
	s.counts.add(op.kind, op.write, op.keys)
	if s.faults.down || s.faults.blocked[op.client] {
		s.mu.Unlock()
		return 0, rudderstore.ErrUnavailable
	}
	if s.faults.unresponsive {
		s.mu.Unlock()
		<-ctx.Done()
		if op.write {
			return 0, rudderstore.ErrUnknownOutcome
		}
		return 0, rudderstore.ErrUnavailable
	}
	defer s.mu.Unlock()
	limit := s.reads
	if op.write {
		limit = s.writes
	}
	if !limit.AllowN(s.Clock.Now(), 1) {
		s.counts.RateLimited++
		return 0, rudderstore.ErrRateLimited
	}
	return s.faults.delay, nil
}

func (s *Server) execute(op operation) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	err := op.apply()
	if err == nil && op.write && s.faults.dropsResponse(firstKey(op.keys)) {
		return 0, rudderstore.ErrUnknownOutcome
	}
	return s.state.revision, err
}

func firstKey(keys []string) string {
	if len(keys) == 0 {
		return ""
	}
	return keys[0]
}

func (s *Server) watch(
	ctx context.Context, client string, request rudderstore.WatchRequest,
) (rudderstore.WatchResult, error) {
	op := operation{client: client, kind: KindWatch, keys: request.Prefixes}
	delay, err := s.admit(ctx, op)
	if err != nil {
		return rudderstore.WatchResult{}, err
	}
	if delay > 0 {
		select {
		case <-ctx.Done():
			return rudderstore.WatchResult{}, rudderstore.ErrUnavailable
		case <-s.Clock.After(delay):
		}
	}
	deadline := s.Clock.Now().Add(request.Wait)
	for {
		result, wait, change, err := s.poll(client, request, deadline)
		if err != nil || len(result.Events) > 0 || wait <= 0 {
			return result, err
		}
		timer := s.Clock.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return rudderstore.WatchResult{}, rudderstore.ErrUnavailable
		case <-change:
			timer.Stop()
		case <-timer.Chan():
		}
	}
}

// unresponsiveWait is how long a watch of an unresponsive service sleeps; a change of the faults wakes it
// earlier.
const unresponsiveWait = time.Hour

// poll checks once for events. If there are none it returns how long to wait at most, which is until the
// deadline or the end of the next lease, and the channel that is closed at the next change.
func (s *Server) poll(client string, request rudderstore.WatchRequest, deadline time.Time) (
	result rudderstore.WatchResult, wait time.Duration, change <-chan struct{}, err error,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.down || s.faults.blocked[client] {
		return result, 0, nil, rudderstore.ErrUnavailable
	}
	next := s.expire()
	result.Revision = s.state.revision
	now := s.Clock.Now()
	wait = deadline.Sub(now)
	if !next.IsZero() && next.Before(deadline) {
		wait = next.Sub(now)
	}
	if s.faults.unresponsive {
		return result, unresponsiveWait, s.change, nil
	}
	result.Events, err = s.eventsAfter(request.Prefixes, request.After)
	return result, wait, s.change, err
}
