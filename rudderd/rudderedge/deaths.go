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
	// suspicionTTL is how long a suspicion lasts; the planner has probed the target by then, and its
	// record is gone or it has started again.
	suspicionTTL = 6 * time.Second
	// deathTTL is how long the entry hosts tell one another of a target that died on a request.
	deathTTL = time.Minute
)

// deaths counts the targets that died running a request, over all entry hosts.
type deaths struct {
	mu      sync.Mutex
	tracker *rudderpoison.Tracker
	sent    map[string]bool // suspicions that this entry host wrote lately
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

// take reads what another entry host wrote.
func (d *deaths) take(e rudderstore.Entry) {
	if !strings.HasPrefix(e.Key, rudderview.DeathPrefix) {
		return
	}
	var death rudderpoison.Death
	if json.Unmarshal(e.Value, &death) == nil {
		d.record(death)
	}
}

// first reports whether this entry host has not written about this life of the target yet.
func (d *deaths) first(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sent == nil || len(d.sent) > 1024 {
		d.sent = map[string]bool{}
	}
	if d.sent[key] {
		return false
	}
	d.sent[key] = true
	return true
}

// suspect tells the other entry hosts that a target is dead, once for each of its lives.
func (e *Edge) suspect(t *rudderview.Target, reason string) {
	if e.view.Snapshot().Suspected(t) || !e.deaths.first(fmt.Sprintf("%s/%d", t.Name, t.Born)) {
		return
	}
	e.Logger.Warn().Str("target", t.Name).Int64("born", t.Born).Str("reason", reason).Msg("target does not answer")
	x := rudderview.Suspicion{Target: t.Name, Born: t.Born, By: e.Settings.Name, Reason: reason}
	e.tell(rudderview.SuspicionPrefix+t.Name, x, suspicionTTL)
}

// crashed notes that a target died while it ran a request.
func (e *Edge) crashed(fingerprint uint64, t *rudderview.Target) {
	death := rudderpoison.Death{
		Group: fmt.Sprintf("%s/%d", t.Name, t.Born), Domain: t.FabricDomain, AtUnixMS: time.Now().UnixMilli(),
		InFlight: []rudderpoison.Fingerprint{rudderpoison.Fingerprint(fingerprint)},
	}
	e.deaths.record(death)
	e.Logger.Warn().Str("target", t.Name).Uint64("fingerprint", fingerprint).Msg("target died running a request")
	e.tell(fmt.Sprintf("%s%s/%x", rudderview.DeathPrefix, t.Name, fingerprint), death, deathTTL)
}

// tell writes a record that lapses by itself.
func (e *Edge) tell(key string, record any, ttl time.Duration) {
	value, err := json.Marshal(record)
	if err != nil {
		e.Logger.Error().Err(err).Str("key", key).Msg("record cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	lease, err := e.Ports.Store.GrantLease(ctx, ttl)
	if err == nil {
		_, err = e.Ports.Store.Put(ctx, rudderstore.PutRequest{Key: key, Value: value, Expected: rudderstore.AnyRevision, Lease: lease})
	}
	if err != nil {
		e.Logger.Warn().Err(err).Str("key", key).Msg("record not written")
	}
}
