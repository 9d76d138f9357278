package rudderedge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

const (
	// copyTimeout bounds the wait for the snapshot of another entry host once one has responded. With 300 hosts the
	// watchers need some seconds to read their own snapshot and to send copies to all others; a list of all records read
	// by each host takes longer.
	copyTimeout = 4 * time.Second
	// copyMinEntries is the number of entry hosts from which on a snapshot is copied. With fewer hosts the lists of all
	// records do not saturate the link of the key-value service, and a copy has to wait for a watcher, which may be dead.
	copyMinEntries = 48
	// copySilenceTimeout bounds the wait while no watcher responds: hosts that start together come up within some hundred
	// milliseconds.
	copySilenceTimeout = 1500 * time.Millisecond
	// copyCallTimeout bounds one call.
	copyCallTimeout = time.Second
	// copyRetryPause is the pause between two attempts.
	copyRetryPause = 60 * time.Millisecond
)

// errNoCopySource reports that there is no entry host whose snapshot can be copied.
var errNoCopySource = errors.New("edge: no entry host to copy the snapshot from")

// copyRecords implements rudderview.View.FetchRecords. It reads the few registrations of entry hosts from the key-value service,
// unless they are known, and all other records from a watcher. It returns errNoCopySource on an entry host that is itself a
// watcher, and for the first snapshot if the fleet is too small.
func (e *Edge) copyRecords(ctx context.Context) (rudderview.RecordSet, error) {
	defer func() { e.bootstrap.seedsFrom.Store(int64(e.uptime() + bootstrapDelay)) }()
	entries := e.view.Snapshot().EntryHosts
	if _, synced := e.view.Staleness(); synced && len(entries) < copyMinEntries {
		return e.copyMissed(ctx, entries)
	}
	if _, synced := e.view.Staleness(); !synced || len(entries) == 0 {
		var err error
		if entries, err = e.registered(ctx); err != nil {
			return rudderview.RecordSet{}, err
		}
	}
	list := candidates(entries, e.Settings.Name, e.Settings.DataCentre)
	if len(list) == 0 || len(entries) < copyMinEntries {
		return rudderview.RecordSet{}, errNoCopySource
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	begin, answered := e.uptime(), false
	for i := 0; ; i++ {
		c, err := e.copyFromWatcher(ctx, list[i%len(list)])
		if err == nil && c.Serving {
			return c, nil
		}
		answered = answered || err == nil
		pause(ctx, copyRetryPause)
		if ctx.Err() != nil || !answered && e.uptime()-begin >= copySilenceTimeout {
			return rudderview.RecordSet{}, errors.CombineErrors(err, errNoCopySource)
		}
	}
}

// copyMissed fetches the records after changes were missed. The watcher that has reported the gap answers; others are not waited
// for, because the key-value service can send all records of a small fleet.
func (e *Edge) copyMissed(ctx context.Context, entries []rudderview.EntryHost) (rudderview.RecordSet, error) {
	ctx, cancel := context.WithTimeout(ctx, copyCallTimeout)
	defer cancel()
	now, err := e.uptime(), errNoCopySource
	for _, watcher := range candidates(entries, e.Settings.Name, e.Settings.DataCentre) {
		if now < e.unavailable[watcher.Peer] {
			continue
		}
		var c rudderview.RecordSet
		if c, err = e.copyFromWatcher(ctx, watcher); err == nil && c.Serving {
			return c, nil
		}
		break
	}
	return rudderview.RecordSet{}, errors.CombineErrors(err, errNoCopySource)
}

// registered reads the registrations of entry hosts, including those of hosts that have just died, and sets the shared
// secret.
func (e *Edge) registered(ctx context.Context) ([]rudderview.EntryHost, error) {
	read := e.Ports.Store.ListStale
	if read == nil {
		return nil, errNoCopySource
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	secret, _, err := read(ctx, rudderview.SecretKey)
	if err != nil {
		return nil, err
	}
	if len(secret) == 0 {
		return nil, rudderview.ErrFirstStart
	}
	e.setSecret(secret[0].Value)
	e.bootstrap.seedsFrom.Store(int64(e.uptime() + copyTimeout)) // a watcher is asked first
	records, _, err := read(ctx, rudderview.EntryPrefix)
	if err != nil {
		return nil, err
	}
	entries := make([]rudderview.EntryHost, 0, len(records))
	for _, r := range records {
		var x rudderview.EntryHost
		if json.Unmarshal(r.Value, &x) == nil {
			entries = append(entries, x)
		}
	}
	return entries, nil
}

// copyFromWatcher reads all records from one watcher.
func (e *Edge) copyFromWatcher(ctx context.Context, watcher rudderview.EntryHost) (rudderview.RecordSet, error) {
	ctx, cancel := context.WithTimeout(ctx, copyCallTimeout)
	defer cancel()
	answer, err := rudderpeer.NewRelayProtobufClient("http://"+watcher.Peer, e.peers.client).Records(ctx, &rudderpeer.RecordsRequest{WaitMs: (copyCallTimeout - relayTimeout).Milliseconds()})
	if err != nil || !answer.GetServing() {
		return rudderview.RecordSet{}, err
	}
	events, err := unpack(answer.GetRecords(), e.Account.Budgets.Replies)
	entries := make([]rudderstore.Entry, len(events))
	for i, x := range events {
		entries[i] = x.Entry
	}
	return rudderview.RecordSet{
		Serving: err == nil, Entries: entries, Revision: answer.GetRevision(),
		Age: time.Duration(answer.GetAgeMs()) * time.Millisecond, Held: time.Duration(answer.GetHeldMs()) * time.Millisecond,
	}, err
}

// Records implements rudderpeer.Relay.
func (s relayServer) Records(ctx context.Context, r *rudderpeer.RecordsRequest) (*rudderpeer.RecordsResponse, error) {
	c := s.edge.view.Records(ctx, min(time.Duration(r.GetWaitMs())*time.Millisecond, maxRelayWait))
	if !c.Serving {
		return &rudderpeer.RecordsResponse{}, nil
	}
	records, err := s.edge.packer.pack(packKey{allRecords, c.Revision}, func() []*rudderpeer.Change { return changesOfEntries(c.Entries) })
	return &rudderpeer.RecordsResponse{
		Serving: err == nil, Revision: c.Revision, Records: records, AgeMs: c.Age.Milliseconds() + 1, HeldMs: c.Held.Milliseconds(),
	}, err
}
