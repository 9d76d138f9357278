package rudderedge

import (
	"bytes"
	"compress/gzip"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/rudderstore"
)

const (
	// allRecords replaces packKey.after in the key of a list of all records.
	allRecords = -1
	// packedLists is the number of compressed lists that are cached: followers of one watcher mostly request the same one.
	packedLists = 4
	// maxPackedBytes bounds a list after decompression.
	maxPackedBytes = 64 << 20
)

// packKey identifies the changes after one revision up to and including another one.
type packKey struct{ after, revision int64 }

// packer compresses lists of changes and caches the last ones. Records of targets are similar, so that a compressed list
// takes about an eighth of its size on the links of small hosts, and one compression serves all followers.
type packer struct {
	mu    sync.Mutex
	lists []packedList // oldest first
}

type packedList struct {
	key  packKey
	text []byte
}

// pack returns the compressed list for a key, and builds it if it is not cached.
func (p *packer) pack(key packKey, build func() []*rudderpeer.Change) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.lists {
		if x.key == key {
			return x.text, nil
		}
	}
	plain, err := proto.Marshal(&rudderpeer.RecordList{Records: build()})
	if err != nil {
		return nil, errors.Wrap(err, "encode records")
	}
	var out bytes.Buffer
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed) // fails only for an invalid level
	_, err = w.Write(plain)
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	if len(p.lists) >= packedLists {
		p.lists = slices.Delete(p.lists, 0, 1)
	}
	p.lists = append(p.lists, packedList{key, out.Bytes()})
	return out.Bytes(), nil
}

// unpack returns the changes of a compressed list. What it holds meanwhile takes memory from a budget.
func unpack(text []byte, budget *rudderbody.Budget) ([]rudderstore.Event, error) {
	r, err := gzip.NewReader(bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "open compressed records of another entry host")
	}
	memory := budget.Reservation(1)
	defer memory.Release()
	plain, complete, err := memory.ReadPart(r, maxPackedBytes)
	if err == nil && !complete {
		err = rudderbody.ErrNoMemory
	}
	if err != nil {
		return nil, errors.Wrap(err, "decompress records of another entry host")
	}
	var list rudderpeer.RecordList
	if err := proto.Unmarshal(plain, &list); err != nil {
		return nil, errors.Wrap(err, "decode records of another entry host")
	}
	return eventsOf(list.GetRecords()), nil
}

func eventsOf(changes []*rudderpeer.Change) []rudderstore.Event {
	events := make([]rudderstore.Event, 0, len(changes))
	for _, c := range changes {
		events = append(events, rudderstore.Event{
			Entry: rudderstore.Entry{Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision()}, Deleted: c.GetDeleted(),
		})
	}
	return events
}

func changesOf(events []rudderstore.Event) []*rudderpeer.Change {
	changes := make([]*rudderpeer.Change, 0, len(events))
	for _, x := range events {
		changes = append(changes, &rudderpeer.Change{Key: x.Key, Value: x.Value, Revision: x.Revision, Deleted: x.Deleted})
	}
	return changes
}

func changesOfEntries(entries []rudderstore.Entry) []*rudderpeer.Change {
	changes := make([]*rudderpeer.Change, 0, len(entries))
	for _, x := range entries {
		changes = append(changes, &rudderpeer.Change{Key: x.Key, Value: x.Value, Revision: x.Revision})
	}
	return changes
}
