package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key with its value, or the removal of a key.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's key-value service. It answers as PROTOCOL.md says and keeps all of its history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	next     int64
	changed  chan struct{}
	address  string
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), address: l.Addr().String()}
	go func() { _ = http.Serve(l, s) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// put writes a value as the operator and the workers do, and returns its revision.
func (s *store) put(key string, value any) int64 {
	text, _ := json.Marshal(value)
	return s.putBytes(key, text)
}

func (s *store) putBytes(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(item{Key: key, Value: value})
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(item{Key: key, Removed: true})
}

// set changes a key. The caller holds the lock.
func (s *store) set(i item) {
	old, known := s.items[i.Key]
	if i.Removed && !known {
		return
	}
	s.revision++
	i.Revision, i.CreateRevision = s.revision, s.revision
	if known {
		i.CreateRevision = old.CreateRevision
	}
	if i.Removed {
		delete(s.items, i.Key)
		i.CreateRevision = 0
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.set(item{Key: key, Removed: true})
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Store-Era", "1")
	if key, own := strings.CutPrefix(r.URL.Path, "/stand/put/"); own { // the way in which workers write their entries
		s.putBytes(key, body)
		return
	}
	status, answer := s.answer(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) answer(r *http.Request, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	none := struct{}{}
	last := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	id, _ := strconv.ParseInt(last, 10, 64)
	switch {
	case last == "kv-key":
		i, found := s.items[r.URL.Query().Get("key")]
		if !found {
			return http.StatusNotFound, none
		}
		return http.StatusOK, struct {
			item
			CurrentRev int64 `json:"currentRev"`
		}{i, s.revision}
	case last == "kv-range":
		return http.StatusOK, s.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("afterRevision"))
	case last == "kv-watch":
		return s.watch(r)
	case last == "kv-txn":
		return s.transact(body)
	case last == "kv-lease":
		var q struct {
			TTLMS int64 `json:"ttlMs"`
		}
		_ = json.Unmarshal(body, &q)
		s.next++
		ttl := time.Duration(q.TTLMS) * time.Millisecond
		s.leases[s.next] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
		return http.StatusOK, map[string]int64{"lease": s.next, "ttlMs": q.TTLMS}
	case strings.Contains(r.URL.Path, "kv-keep/"):
		l := s.leases[id]
		if l == nil {
			return http.StatusNotFound, none
		}
		l.ends = time.Now().Add(l.ttl)
		return http.StatusOK, none
	case strings.Contains(r.URL.Path, "kv-lease-end/"):
		if s.leases[id] == nil {
			return http.StatusNotFound, none
		}
		s.endLease(id)
		return http.StatusOK, none
	}
	return http.StatusNotFound, none
}

const pageItems = 500

func (s *store) list(prefix, after string) any {
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	return struct {
		Items      []item `json:"items"`
		MorePages  bool   `json:"morePages"`
		CurrentRev int64  `json:"currentRev"`
	}{items[:min(len(items), pageItems)], more, s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("afterRevision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	if after > s.revision {
		return http.StatusGone, struct{}{}
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		if len(events) > 0 || !waiting {
			return http.StatusOK, struct {
				Events     []item `json:"events"`
				CurrentRev int64  `json:"currentRev"`
			}{events, s.revision}
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		s.mu.Lock()
	}
}

func (s *store) transact(body []byte) (int, any) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.Unmarshal(body, &t); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	current, conflict := []item{}, false
	for _, x := range t.Expected {
		current = append(current, s.items[x.Key])
		conflict = conflict || s.items[x.Key].Revision != x.Revision
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, x := range t.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
	}
	for _, x := range t.Writes {
		s.set(item{Key: x.Key, Value: x.Value, Lease: x.Lease})
	}
	for _, key := range t.Deletes {
		s.set(item{Key: key, Removed: true})
	}
	return http.StatusOK, map[string]int64{"revision": s.revision}
}
