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
	// copyTime bounds the wait for another entry host's snapshot while others answer: at 300 hosts the watchers need some
	// seconds for their own snapshot and for copies to all others, and lists of all records for each host take longer.
	copyTime = 4 * time.Second
	// copyFrom is the number of entry hosts from which on a snapshot is copied. The lists of fewer hosts do not fill the link
	// of the key-value service, and a copy waits for a watcher, which may be dead.
	copyFrom = 48
	// copySilence bounds the wait while none answers: hosts that start together come up within some hundred milliseconds.
	copySilence = 1500 * time.Millisecond
	// copyTry bounds one call.
	copyTry = time.Second
	// copyRetry is the pause between two tries.
	copyRetry = 60 * time.Millisecond
)

// errNoCopy reports that there is no entry host whose snapshot can be copied.
var errNoCopy = errors.New("edge: no entry host to copy from")

// copyRecords implements rudderview.View.FetchRecords. It reads who is registered, which is little, and asks a watcher for all
// the rest. It returns errNoCopy on an entry host that watches the service for others.
func (e *Edge) copyRecords(ctx context.Context) (rudderview.RecordSet, error) {
	entries, err := e.registered(ctx)
	if err != nil {
		return rudderview.RecordSet{}, err
	}
	list := candidates(entries, e.Settings.Name, e.Settings.DataCentre)
	if len(list) == 0 || len(entries) < copyFrom {
		return rudderview.RecordSet{}, errNoCopy
	}
	ctx, cancel := context.WithTimeout(ctx, copyTime)
	defer cancel()
	begin, answered := e.uptime(), false
	for i := 0; ; i++ {
		c, err := e.copyOne(ctx, list[i%len(list)])
		if err == nil && c.Serving {
			return c, nil
		}
		answered = answered || err == nil
		pause(ctx, copyRetry)
		if ctx.Err() != nil || !answered && e.uptime()-begin >= copySilence {
			return rudderview.RecordSet{}, errors.CombineErrors(err, errNoCopy)
		}
	}
}

// registered reads the registrations of entry hosts, those of hosts that have just died included, and the shared secret.
func (e *Edge) registered(ctx context.Context) ([]rudderview.EntryHost, error) {
	read := e.Ports.Store.ListStale
	if read == nil {
		return nil, errNoCopy
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
	e.takeSecret(secret[0].Value)
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

// copyOne asks one watcher.
func (e *Edge) copyOne(ctx context.Context, watcher rudderview.EntryHost) (rudderview.RecordSet, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTry)
	defer cancel()
	answer, err := rudderpeer.NewRelayProtobufClient("http://"+watcher.Peer, e.peers.client).Records(ctx, &rudderpeer.RecordsRequest{WaitMs: (copyTry - relayTimeout).Milliseconds()})
	if err != nil || !answer.GetServing() {
		return rudderview.RecordSet{}, err
	}
	events, err := unpack(answer.GetRecords())
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
	records, err := s.edge.packer.pack(packKey{allRecords, c.Revision}, func() []*rudderpeer.Change {
		list := make([]*rudderpeer.Change, 0, len(c.Entries))
		for _, x := range c.Entries {
			list = append(list, &rudderpeer.Change{Key: x.Key, Value: x.Value, Revision: x.Revision})
		}
		return list
	})
	return &rudderpeer.RecordsResponse{
		Serving: err == nil, Revision: c.Revision, Records: records, AgeMs: c.Age.Milliseconds() + 1, HeldMs: c.Held.Milliseconds(),
	}, err
}
