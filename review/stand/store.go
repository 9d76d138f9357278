package main

import (
	"encoding/base64"
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

// item is one key of the platform's store.
type item struct {
	Key            string `json:"key"`
	Value          string `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's store. Each entry host calls it through a door of its own.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, nextID: 1000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// door is the store as one entry host sees it.
type door struct {
	store  *store
	server *http.Server
	addr   string

	mu        sync.Mutex
	refusing  bool              // answers 503 to each call
	addresses map[string]string // replaces the addresses of workers: the proxies between this entry host and the workers
}

func (s *store) door() *door {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d := &door{store: s, addr: listener.Addr().String(), addresses: map[string]string{}}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(listener) }()
	return d
}

func (d *door) refuse(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusing = on
}

func (d *door) refuses() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusing
}

// see returns an item as this entry host sees it.
func (d *door) see(i item) item {
	if !strings.HasPrefix(i.Key, "servers/") || i.Removed {
		return i
	}
	text, err := base64.StdEncoding.DecodeString(i.Value)
	check(err)
	d.mu.Lock()
	for real, proxy := range d.addresses {
		text = []byte(strings.ReplaceAll(string(text), `"`+real+`"`, `"`+proxy+`"`))
	}
	d.mu.Unlock()
	i.Value = base64.StdEncoding.EncodeToString(text)
	return i
}

// set writes or removes a key at a revision. The caller holds the lock.
func (s *store) set(i item, revision int64) {
	i.Revision = revision
	if i.Removed {
		i.Value = ""
		delete(s.items, i.Key)
	} else {
		i.CreateRevision = revision
		if old, found := s.items[i.Key]; found {
			i.CreateRevision = old.CreateRevision
		}
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a value as the operator and the workers do.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(item{Key: key, Value: base64.StdEncoding.EncodeToString(text)}, s.revision)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.revision++
		s.set(item{Key: key, Removed: true}, s.revision)
	}
}

// value returns the text of a key, or "".
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, _ := base64.StdEncoding.DecodeString(s.items[key].Value)
	return string(text)
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			list = append(list, k)
		}
	}
	slices.Sort(list)
	return list
}

// expire ends the leases that are over. The caller holds the lock.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.revision++
		s.set(item{Key: key, Removed: true}, s.revision)
	}
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	status, answer := http.StatusServiceUnavailable, any(struct{}{})
	if !d.refuses() {
		status, answer = d.answer(r, body)
	}
	text, err := json.Marshal(answer)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (d *door) answer(r *http.Request, body []byte) (int, any) {
	s := d.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	query := r.URL.Query()
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/"), "/")
	var id int64
	if len(parts) > 1 {
		id, _ = strconv.ParseInt(parts[1], 10, 64)
	}
	switch parts[0] {
	case "kv-key":
		i, found := s.items[query.Get("key")]
		if !found {
			return http.StatusNotFound, map[string]any{"currentRev": s.revision}
		}
		return http.StatusOK, struct {
			item
			CurrentRev int64 `json:"currentRev"`
		}{d.see(i), s.revision}
	case "kv-range":
		return s.page(d, query.Get("prefix"), query.Get("afterRevision"))
	case "kv-watch":
		return s.watch(d, r)
	case "kv-txn":
		return s.transact(body)
	case "kv-lease":
		var m struct {
			TTLMS int64 `json:"ttlMs"`
		}
		check(json.Unmarshal(body, &m))
		s.nextID += 7
		ttl := time.Duration(max(m.TTLMS, 1000)) * time.Millisecond
		s.leases[s.nextID] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
		return http.StatusOK, map[string]int64{"lease": s.nextID, "ttlMs": ttl.Milliseconds()}
	case "kv-keep":
		l := s.leases[id]
		if l == nil {
			return http.StatusNotFound, struct{}{}
		}
		l.ends = time.Now().Add(l.ttl)
		return http.StatusOK, map[string]int64{"lease": id, "ttlMs": l.ttl.Milliseconds()}
	case "kv-lease-end":
		if s.leases[id] == nil {
			return http.StatusNotFound, struct{}{}
		}
		s.endLease(id)
		return http.StatusOK, struct{}{}
	}
	return http.StatusNotFound, struct{}{}
}

const pageItems = 500

func (s *store) page(d *door, prefix, after string) (int, any) {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	items := []item{}
	for _, k := range keys[:min(len(keys), pageItems)] {
		items = append(items, d.see(s.items[k]))
	}
	return http.StatusOK, map[string]any{"items": items, "morePages": more, "currentRev": s.revision}
}

func (s *store) watch(d *door, r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("afterRevision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, d.see(e))
			}
		}
		if len(events) > 0 || !waiting {
			return http.StatusOK, map[string]any{"events": events, "currentRev": s.revision}
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
		if d.refuses() {
			return http.StatusServiceUnavailable, struct{}{}
		}
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
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	check(json.Unmarshal(body, &t))
	failed, items := false, []item{}
	for _, x := range t.Expected {
		i, found := s.items[x.Key]
		failed = failed || i.Revision != x.Revision
		if found {
			items = append(items, i)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": items}
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	if len(t.Writes)+len(t.Deletes) > 0 {
		s.revision++
	}
	for _, x := range t.Writes {
		s.set(item{Key: x.Key, Value: x.Value, Lease: x.Lease}, s.revision)
	}
	for _, key := range t.Deletes {
		if _, found := s.items[key]; found {
			s.set(item{Key: key, Removed: true}, s.revision)
		}
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}
