package rudderedge

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
)

// lateStore is a key-value service with one key, in the time of a synctest bubble. It carries out the writes whose numbers are in
// late after lateness, without an answer.
type lateStore struct {
	late     map[int]bool
	lateEnds int // number of revocations that are late
	lateness time.Duration
	answer   time.Duration // time that an answer takes

	mu       sync.Mutex
	writes   int
	revision int64
	leases   map[int64]time.Time // ends
	key      rudderstore.Entry   // without a revision if it is absent
	changed  chan struct{}
	absent   time.Duration // longest absence of the key after it was first written
	since    time.Time     // of its absence
}

// write carries out a write, and answers it if it is not late.
func (l *lateStore) write(ctx context.Context, do func() (int64, error)) (int64, error) {
	locked := func() (int64, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return do()
	}
	l.mu.Lock()
	l.writes++
	late := l.late[l.writes]
	l.mu.Unlock()
	if !late {
		select {
		case <-time.After(l.answer):
			return locked()
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	time.AfterFunc(l.lateness, func() { _, _ = locked() })
	<-ctx.Done()
	return 0, ctx.Err()
}

func (l *lateStore) registered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.key.Revision != 0
}

func (l *lateStore) change() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *lateStore) put(lease int64) {
	l.revision++
	if l.key.Revision == 0 && !l.since.IsZero() {
		l.absent = max(l.absent, time.Since(l.since))
	}
	l.key = rudderstore.Entry{Revision: l.revision, Lease: lease}
	l.notify()
}

func (l *lateStore) end(lease int64) {
	delete(l.leases, lease)
	if l.key.Lease == lease && l.key.Revision != 0 {
		l.revision++
		l.key, l.since = rudderstore.Entry{}, time.Now()
		l.notify()
	}
}

func (l *lateStore) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (l *lateStore) expire(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		l.mu.Lock()
		for lease, end := range l.leases {
			if time.Now().After(end) {
				l.end(lease)
			}
		}
		l.mu.Unlock()
	}
}

func (l *lateStore) grant(ttl time.Duration) int64 {
	lease := int64(l.writes)
	l.leases[lease] = time.Now().Add(ttl)
	return lease
}

// held calls do if a lease has not ended.
func (l *lateStore) held(lease int64, do func()) error {
	if _, held := l.leases[lease]; !held {
		return rudderstore.ErrNotFound
	}
	do()
	return nil
}

func (l *lateStore) store() *rudderstore.Store {
	return &rudderstore.Store{
		GrantLease: func(ctx context.Context, ttl time.Duration) (int64, error) {
			return l.write(ctx, func() (int64, error) { return l.grant(ttl), nil })
		},
		KeepAlive: func(ctx context.Context, lease int64) error {
			_, err := l.write(ctx, func() (int64, error) {
				return 0, l.held(lease, func() { l.leases[lease] = time.Now().Add(sessionTTL) })
			})
			return err
		},
		Put: func(ctx context.Context, r rudderstore.PutRequest) (int64, error) {
			return l.write(ctx, func() (int64, error) { return l.revision + 1, l.held(r.Lease, func() { l.put(r.Lease) }) })
		},
		RevokeLease: func(ctx context.Context, lease int64) error {
			l.mu.Lock()
			l.late[l.writes+1] = l.lateEnds > 0
			l.lateEnds--
			l.mu.Unlock()
			_, err := l.write(ctx, func() (int64, error) { l.end(lease); return 0, nil })
			return err
		},
	}
}

// Writes that get no answer and are carried out seconds later. Guards against an entry host that serves but is not registered:
// callers do not learn of it, and the other hosts get its share of the requests. Also guards against one that stops and stays
// registered until its lease ends.
func TestRegistrationLastsThroughLateWrites(t *testing.T) {
	const fast = 4 * time.Millisecond
	for _, test := range []struct {
		name   string
		late   []int
		absent time.Duration // at most
		// other writes a registration with another lease, which ends, as an earlier process does.
		other  bool
		answer time.Duration
	}{
		{"in calm", nil, 0, false, fast},
		{"grant", []int{1}, 0, false, fast},
		{"registration", []int{2}, 0, false, fast},
		{"registration, twice", []int{2, 3}, 0, false, fast},
		{"renewal", []int{3}, 0, false, fast},
		{"two renewals", []int{3, 4}, 0, false, fast},
		{"registration of an earlier process", nil, time.Second, true, fast},
		{"slow service", nil, 0, false, 250 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				l := &lateStore{late: map[int]bool{}, lateness: 3 * time.Second, answer: test.answer, leases: map[int64]time.Time{}, changed: make(chan struct{})}
				for _, n := range test.late {
					l.late[n] = true
				}
				begin := time.Now()
				s := &session{
					store: l.store(), logger: zerolog.Nop(), uptime: func() time.Duration { return time.Since(begin) }, entry: rudderview.EntryHost{Name: "a"},
					left: make(chan struct{}), check: make(chan struct{}, 1),
					changed: l.change, missing: func(int64) bool { return !l.registered() },
					unreachable: func() bool { return false }, answered: func() {},
				}
				go l.expire(ctx)
				go func() { _ = s.run(ctx) }()
				time.Sleep(2 * time.Second)
				require.True(t, l.registered(), "not registered after two seconds")
				if test.other {
					l.mu.Lock()
					l.writes++
					l.put(l.grant(time.Second))
					l.mu.Unlock()
				}
				time.Sleep(20 * time.Second)
				require.True(t, l.registered())
				require.LessOrEqual(t, l.absent, test.absent)
				require.False(t, s.lapsed())
				require.LessOrEqual(t, l.writes, 16, "too many calls")
				if test.answer == fast {
					l.lateEnds = 1
				}
				cancel()
				time.Sleep(1200 * time.Millisecond)
				require.False(t, l.registered(), "the registration is not revoked")
			})
		})
	}
}

// A service that does not answer for seconds while an entry host starts. Guards against calls in quick succession, which all hosts
// make then, and against a registration long after the end of the outage.
func TestRegistrationWaitsForTheEndOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 6 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		begin := time.Now()
		l := &lateStore{late: map[int]bool{}, lateness: time.Hour, answer: time.Millisecond, leases: map[int64]time.Time{}, changed: make(chan struct{})}
		for n := range 100 {
			l.late[n] = true
		}
		s := &session{
			store: l.store(), logger: zerolog.Nop(), uptime: func() time.Duration { return time.Since(begin) }, entry: rudderview.EntryHost{Name: "a"},
			left: make(chan struct{}), check: make(chan struct{}, 1), changed: l.change, missing: func(int64) bool { return false },
			unreachable: func() bool { return time.Since(begin) < outage }, answered: func() {},
		}
		go func() { _ = s.run(ctx) }()
		time.Sleep(outage)
		l.mu.Lock()
		require.LessOrEqual(t, l.writes, 4)
		l.late = map[int]bool{}
		l.notify()
		l.mu.Unlock()
		time.Sleep(storeTimeout + sessionCheckSpread)
		require.True(t, l.registered())
		cancel()
		time.Sleep(time.Second)
	})
}

// Guards against two processes of one name that replace each other's registrations several times a second.
func TestProcessesOfOneNameRegisterSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		begin := time.Now()
		l := &lateStore{late: map[int]bool{}, answer: time.Millisecond, leases: map[int64]time.Time{}, changed: make(chan struct{})}
		s := &session{
			store: l.store(), logger: zerolog.Nop(), uptime: func() time.Duration { return time.Since(begin) }, entry: rudderview.EntryHost{Name: "a"},
			left: make(chan struct{}), check: make(chan struct{}, 1), changed: l.change, missing: func(int64) bool { return true },
			unreachable: func() bool { return false }, answered: func() {},
		}
		go func() { _ = s.run(ctx) }()
		time.Sleep(10 * sessionTTL)
		l.mu.Lock()
		writes := l.writes
		l.mu.Unlock()
		cancel()
		time.Sleep(time.Second)
		require.LessOrEqual(t, writes, 100)
	})
}
