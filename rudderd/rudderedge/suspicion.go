package rudderedge

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderstore"
)

type (
	decodeRouting = func(value []byte) (rudderroute.Document, error)
	decodeTarget  = func(name string, value []byte) (rudderview.Target, error)
)

const (
	// suspicionTTL is the lease of a suspicion record. By its end the planner has probed the target, and the target's
	// record has been removed or it has restarted.
	suspicionTTL = 6 * time.Second
	// maxReported bounds the number of suspicions that are remembered as written.
	maxReported = 1024
)

// reportedSuspicions remembers the suspicions that this entry host has written recently, by target and incarnation.
type reportedSuspicions struct {
	mu   sync.Mutex
	keys map[string]bool
}

// mark notes that a suspicion is written. It returns false if this entry host has already written one for the same
// incarnation of the target.
func (s *reportedSuspicions) mark(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil || len(s.keys) > maxReported {
		s.keys = map[string]bool{}
	}
	if s.keys[key] {
		return false
	}
	s.keys[key] = true
	return true
}

// suspect reports to the other entry hosts a target that was found dead, once for each incarnation of it.
func (e *Edge) suspect(t *rudderview.Target, reason string) {
	if e.view.Snapshot().Suspected(t) || !e.reported.mark(incarnation(t)) {
		return
	}
	e.Logger.Warn().Str("target", t.Name).Int64("born", t.Born).Str("reason", reason).Msg("target is dead; reporting it to the other entry hosts")
	x := rudderview.Suspicion{Target: t.Name, Born: t.Born, By: e.Settings.Name, Reason: reason, Confirmed: true}
	e.writeExpiring(rudderview.SuspicionPrefix+t.Name, x, suspicionTTL)
}

// incarnation names one process of a target.
func incarnation(t *rudderview.Target) string { return fmt.Sprintf("%s/%d", t.Name, t.Born) }

// writeExpiring writes a record with a lease that is not renewed.
func (e *Edge) writeExpiring(key string, record any, ttl time.Duration) {
	value, err := json.Marshal(record)
	if err != nil {
		e.Logger.Error().Err(err).Str("key", key).Msg("cannot encode record")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	lease, err := e.Ports.Store.GrantLease(ctx, ttl)
	if err == nil {
		_, err = e.Ports.Store.Put(ctx, rudderstore.PutRequest{Key: key, Value: value, Expected: rudderstore.AnyRevision, Lease: lease})
	}
	if err != nil {
		e.Logger.Warn().Err(err).Str("key", key).Msg("cannot write record to the key-value service")
	}
}
