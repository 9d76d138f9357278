package rudderclaim

import (
	"context"
	"maps"
	"sync"
	"time"

	"comfreyrudder.example/shared/rudderstore"
)

// fakeStore is an in-memory key-value service. Its writes can fail in each way that rudderstore.Store defines.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]rudderstore.Entry
	revision int64
	down     bool
	writes   int
	// loseResponses makes that many writes take effect but return an unknown outcome.
	loseResponses int
	// delayWrites makes that many writes return an unknown outcome and take effect only in deliver.
	delayWrites int
	delayed     []rudderstore.PutRequest
	limited     bool
	slow        time.Duration // real time that each write takes
	reads       int
}

type fakeSnapshot struct {
	entries  map[string]rudderstore.Entry
	revision int64
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]rudderstore.Entry{}} }

func (f *fakeStore) store() rudderstore.Store {
	return rudderstore.Store{Get: f.get, Put: f.putWithFaults, Delete: f.deleteCall}
}

func (f *fakeStore) get(_ context.Context, key string) (rudderstore.Entry, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return rudderstore.Entry{}, 0, rudderstore.ErrUnavailable
	}
	e, ok := f.entries[key]
	if !ok {
		return rudderstore.Entry{}, f.revision, rudderstore.ErrNotFound
	}
	return e, f.revision, nil
}

func (f *fakeStore) putWithFaults(_ context.Context, r rudderstore.PutRequest) (int64, error) {
	time.Sleep(f.slow)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, rudderstore.ErrUnavailable
	}
	if f.limited {
		return 0, rudderstore.ErrRateLimited
	}
	if f.delayWrites > 0 {
		f.delayWrites--
		f.delayed = append(f.delayed, r)
		return 0, rudderstore.ErrUnknownOutcome
	}
	revision, err := f.put(r)
	if err == nil && f.loseResponses > 0 {
		f.loseResponses--
		return 0, rudderstore.ErrUnknownOutcome
	}
	return revision, err
}

func (f *fakeStore) put(r rudderstore.PutRequest) (int64, error) {
	if r.Expected != rudderstore.AnyRevision && f.entries[r.Key].Revision != r.Expected {
		return 0, rudderstore.ErrConflict
	}
	f.writes++
	f.revision++
	f.entries[r.Key] = rudderstore.Entry{Key: r.Key, Value: r.Value, Revision: f.revision}
	return f.revision, nil
}

// putRequest returns an unconditional write of a key.
func putRequest(key string, value []byte) rudderstore.PutRequest {
	return rudderstore.PutRequest{Key: key, Value: value, Expected: rudderstore.AnyRevision}
}

func (f *fakeStore) deleteCall(_ context.Context, key string, _ int64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, rudderstore.ErrUnavailable
	}
	f.writes++
	f.revision++
	delete(f.entries, key)
	return f.revision, nil
}

// deliver applies the delayed writes.
func (f *fakeStore) deliver() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.delayed {
		_, _ = f.put(r)
	}
	f.delayed = nil
}

func (f *fakeStore) snapshot() fakeSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fakeSnapshot{entries: maps.Clone(f.entries), revision: f.revision}
}

func (f *fakeStore) restore(s fakeSnapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries, f.revision = maps.Clone(s.entries), s.revision
}

// driver performs the steps of a shard against a fake store in virtual time.
type driver struct {
	store   *fakeStore
	core    *Shard
	now     time.Time
	replies map[uint64]Decision
}

var testStart = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func newDriver(store *fakeStore, limits Limits) *driver {
	return &driver{store: store, core: NewShard(0, limits, newToken), now: testStart, replies: map[uint64]Decision{}}
}

// runUntilIdle performs steps until the shard is idle or limit has passed.
func (d *driver) runUntilIdle(limit time.Duration) {
	end := d.now.Add(limit)
	for d.now.Before(end) {
		step, replies := d.core.Next(d.now)
		d.record(replies)
		switch step.Kind {
		case StepIdle:
			return
		case StepWait:
			d.now = step.At
			continue
		}
		d.do(step)
	}
}

// do performs one step, which takes 3 ms of virtual time.
func (d *driver) do(step Step) {
	var r Result
	switch step.Kind {
	case StepGet:
		r.Entry, r.Revision, r.Err = d.store.get(context.Background(), step.Key)
	case StepPut:
		r.Revision, r.Err = d.store.putWithFaults(context.Background(), step.Put)
	case StepDelete:
		r.Revision, r.Err = d.store.deleteCall(context.Background(), step.Key, rudderstore.AnyRevision)
	}
	d.now = d.now.Add(3 * time.Millisecond)
	d.record(d.core.Finish(r, d.now))
}

func (d *driver) record(replies []Reply) {
	for _, r := range replies {
		d.replies[r.ID] = r.Decision
	}
}

func (d *driver) claim(r Request) Verdict {
	id := d.core.Claim(r, d.now, d.now.Add(2*time.Second))
	d.runUntilIdle(3 * time.Second)
	return d.replies[id].Verdict
}

func (d *driver) settle(r Request, answer *Answer) Verdict {
	id := d.core.Settle(r, answer, d.now, d.now.Add(2*time.Second))
	d.runUntilIdle(3 * time.Second)
	return d.replies[id].Verdict
}

func (d *driver) release(r Request) Verdict {
	id := d.core.Release(r, d.now, d.now.Add(2*time.Second))
	d.runUntilIdle(3 * time.Second)
	return d.replies[id].Verdict
}

// opaqueRequest returns a request with an opaque key.
func opaqueRequest(key, body string) Request {
	r, err := NewRequest(Call{Workspace: "ledger", Service: "payments", Key: key, Method: "POST", Path: "/pay", Body: []byte(body)})
	if err != nil {
		panic(err)
	}
	return r
}
