package rudderedge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
)

const (
	// evidenceTTL is the lease of this entry host's evidence records. It is renewed while they are needed, and ends by
	// itself after the host has gone.
	evidenceTTL = 10 * time.Minute
	// evidenceRenew is the interval between renewals, and evidenceNeeded how long after the last record they go on.
	evidenceRenew  = 4 * time.Minute
	evidenceNeeded = 30 * time.Minute
	// maxPendingRecords bounds the records that wait to be written, and maxRecordAge the time for which they wait.
	maxPendingRecords = 64
	maxRecordAge      = 2 * time.Minute
)

// recordWriter writes evidence records in the order in which they were enqueued. All records of an entry host share one
// lease, so that a record costs one call.
type recordWriter struct {
	edge *Edge
	wake chan struct{}

	mu      sync.Mutex
	pending []pendingRecord

	// leaseMu serialises the writes.
	leaseMu   sync.Mutex
	lease     int64 // 0 for none
	renewedAt time.Duration
	writtenAt time.Duration
}

type pendingRecord struct {
	key string
	// value returns the value and the expected revision right before the write; a nil value means that the record is no
	// longer needed.
	value func() ([]byte, int64)
	since time.Duration
}

func newRecordWriter(e *Edge) *recordWriter {
	return &recordWriter{edge: e, wake: make(chan struct{}, 1)}
}

// enqueue adds a record to be written. A record with the same key that still waits is replaced.
func (w *recordWriter) enqueue(key string, value func() ([]byte, int64)) {
	w.mu.Lock()
	w.pending = slices.DeleteFunc(w.pending, func(r pendingRecord) bool { return r.key == key })
	w.pending = append(w.pending, pendingRecord{key, value, w.edge.uptime()})
	dropped := max(len(w.pending)-maxPendingRecords, 0)
	w.pending = w.pending[dropped:]
	w.mu.Unlock()
	if dropped > 0 {
		w.edge.count("poison.records_dropped")
		w.edge.Logger.Warn().Int("records", dropped).Msg("too many evidence records wait; the oldest ones are dropped")
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes records until the context ends.
func (w *recordWriter) run(ctx context.Context) error {
	failures := 0
	timer := time.NewTicker(evidenceRenew / 4)
	defer timer.Stop()
	for ctx.Err() == nil {
		record, found := w.next()
		if !found {
			select {
			case <-ctx.Done():
			case <-w.wake:
			case <-timer.C:
				w.renew(ctx)
			}
			continue
		}
		err := w.flush(record)
		if err == nil || errors.Is(err, rudderstore.ErrConflict) {
			failures = 0
			w.remove(record.key)
			continue
		}
		failures++
		w.edge.Logger.Info().Err(err).Str("key", record.key).Int("failures", failures).Msg("cannot write evidence record yet")
		pause(ctx, rudderview.RetryAfter(failures, 0.5))
	}
	return nil
}

// next returns the oldest record and drops those that have waited for too long.
func (w *recordWriter) next() (pendingRecord, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) > 0 {
		if r := w.pending[0]; w.edge.uptime()-r.since <= maxRecordAge {
			return r, true
		}
		w.edge.Logger.Warn().Str("key", w.pending[0].key).Msg("evidence record dropped; the key-value service was unavailable for too long")
		w.pending = w.pending[1:]
	}
	return pendingRecord{}, false
}

func (w *recordWriter) remove(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = slices.DeleteFunc(w.pending, func(r pendingRecord) bool { return r.key == key })
}

func (w *recordWriter) flush(r pendingRecord) error {
	value, expected := r.value()
	if value == nil {
		return nil
	}
	_, err := w.write(r.key, value, expected)
	return err
}

// write writes one record with the shared lease.
func (w *recordWriter) write(key string, value []byte, expected int64) (int64, error) {
	w.leaseMu.Lock()
	defer w.leaseMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if w.lease == 0 || w.edge.uptime()-w.renewedAt > evidenceTTL/2 {
		lease, err := w.edge.Ports.Store.GrantLease(ctx, evidenceTTL)
		if err != nil {
			return 0, err
		}
		w.lease, w.renewedAt = lease, w.edge.uptime()
	}
	revision, err := w.edge.Ports.Store.Put(ctx, rudderstore.PutRequest{Key: key, Value: value, Expected: expected, Lease: w.lease})
	if errors.Is(err, rudderstore.ErrNotFound) {
		w.lease = 0
	}
	if err == nil {
		w.writtenAt = w.edge.uptime()
	}
	return revision, err
}

// renew renews the lease while its records are needed.
func (w *recordWriter) renew(ctx context.Context) {
	w.leaseMu.Lock()
	defer w.leaseMu.Unlock()
	now := w.edge.uptime()
	if w.lease == 0 || now-w.renewedAt < evidenceRenew || now-w.writtenAt > evidenceNeeded {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := w.edge.Ports.Store.KeepAlive(ctx, w.lease)
	switch {
	case err == nil:
		w.renewedAt = now
	case errors.Is(err, rudderstore.ErrNotFound):
		w.lease = 0
	default:
		w.edge.Logger.Info().Err(err).Msg("cannot renew the lease of the evidence records")
	}
}
