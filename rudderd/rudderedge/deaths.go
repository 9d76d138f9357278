package rudderedge

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"comfreyrudder.example/rudderd/rudderpoison"
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
	// deathTTL is the lease of the record that reports a target's death on a request to the other entry hosts.
	deathTTL = time.Minute
)

// deaths tracks the targets that died while they ran a request, as seen by all entry hosts.
type deaths struct {
	mu       sync.Mutex
	tracker  *rudderpoison.Tracker
	reported map[string]bool // suspicions that this entry host has written recently, by target and start
}

func (d *deaths) poisoned(fingerprint uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker != nil && d.tracker.Verdict(rudderpoison.Fingerprint(fingerprint)) == rudderpoison.Poison
}

func (d *deaths) record(death rudderpoison.Death) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tracker == nil {
		d.tracker = rudderpoison.NewTracker(0)
	}
	d.tracker.Record(time.Now(), death)
}

// apply records a death that another entry host has written.
func (d *deaths) apply(e rudderstore.Entry) {
	if !strings.HasPrefix(e.Key, rudderview.DeathPrefix) {
		return
	}
	var death rudderpoison.Death
	if json.Unmarshal(e.Value, &death) == nil {
		d.record(death)
	}
}

// markReported notes that a suspicion is written. It returns false if this entry host has already written one for the
// same incarnation of the target.
func (d *deaths) markReported(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reported == nil || len(d.reported) > 1024 {
		d.reported = map[string]bool{}
	}
	if d.reported[key] {
		return false
	}
	d.reported[key] = true
	return true
}

// suspect reports to the other entry hosts that a target does not respond, once for each incarnation of it.
func (e *Edge) suspect(t *rudderview.Target, reason string) {
	if e.view.Snapshot().Suspected(t) || !e.deaths.markReported(fmt.Sprintf("%s/%d", t.Name, t.Born)) {
		return
	}
	e.Logger.Warn().Str("target", t.Name).Int64("born", t.Born).Str("reason", reason).Msg("target does not respond; reporting it as suspect")
	x := rudderview.Suspicion{Target: t.Name, Born: t.Born, By: e.Settings.Name, Reason: reason}
	e.writeExpiring(rudderview.SuspicionPrefix+t.Name, x, suspicionTTL)
}

// crashed records that a target died while it ran a request, and reports it to the other entry hosts.
func (e *Edge) crashed(fingerprint uint64, t *rudderview.Target) {
	death := rudderpoison.Death{
		Group: fmt.Sprintf("%s/%d", t.Name, t.Born), Domain: t.FabricDomain, AtUnixMS: time.Now().UnixMilli(),
		InFlight: []rudderpoison.Fingerprint{rudderpoison.Fingerprint(fingerprint)},
	}
	e.deaths.record(death)
	e.Logger.Warn().Str("target", t.Name).Uint64("fingerprint", fingerprint).Msg("target died while it ran a request")
	e.writeExpiring(fmt.Sprintf("%s%s/%x", rudderview.DeathPrefix, t.Name, fingerprint), death, deathTTL)
}

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
