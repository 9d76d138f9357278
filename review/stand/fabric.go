package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	stallTime     = 6 * time.Second
	heartbeat     = 1200 * time.Millisecond
	rejoinTime    = 200 * time.Millisecond
	streamEvents  = 20
	streamGap     = 40 * time.Millisecond
	earlyLoadPart = 10 // before the first request, loads take a tenth of the time
)

// model as the configuration describes it.
type model struct {
	Name  string  `json:"name"`
	Size  int     `json:"size"`
	Share float64 `json:"share"`
	Pace  float64 `json:"pace"`
	LoadS float64 `json:"loadS"`
	WarmS float64 `json:"warmS"`
}

// membership of a worker in a group.
type membership struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`

	members []string
	model   string
}

// fabric holds all workers of a deployment.
type fabric struct {
	mu      sync.Mutex
	store   *store
	models  []model
	formMS  int
	workers map[string]*worker
	traffic bool // a request has come
	broken  []string
	// accepts decides whether an order gets an answer; nil: every order.
	losesOrder func(w *worker, operation string) bool
}

// worker is a stand-in for one worker, of a plain service or a model engine.
type worker struct {
	fabric                 *fabric
	id, service, domain    string
	zone, addr             string
	slots                  int
	born                   int64
	server                 *http.Server
	state                  string // ready or draining
	group                  *membership
	staged                 string
	lastModel              string
	sequence, highestEpoch int64
	running                int
	stalledAt              time.Time // zero: works
	work                   time.Duration
	limit                  string // Server-Limit, or ""
	limitAt                time.Time
	arrivals               []arrival
	release                chan struct{} // closed and replaced when the worker's state changes
}

// arrival is a request that reached a worker.
type arrival struct {
	id, from string
	at       time.Time
	ran      bool
}

func newFabric(s *store) *fabric {
	return &fabric{store: s, workers: map[string]*worker{}, formMS: 300}
}

func (f *fabric) add(id, service, domain, zone string, slots int) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w := &worker{
		fabric: f, id: id, service: service, domain: domain, zone: zone, addr: listener.Addr().String(), slots: slots, born: time.Now().UnixMilli(),
		state: "ready", work: 30 * time.Millisecond, release: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = w
	w.register()
	return w
}

// register writes the worker's entry. The caller holds the lock.
func (w *worker) register() {
	entry := map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "1", "slots": w.slots, "state": w.state, "coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
	}
	if w.domain != "" {
		entry["domain"], entry["stage"], entry["staged"] = w.domain, "both", w.stagedList()
		entry["models"], entry["group"] = w.modelList(), w.group
	}
	w.fabric.store.put("servers/"+w.id, entry)
	close(w.release)
	w.release = make(chan struct{})
}

func (w *worker) stagedList() []string {
	if w.staged == "" {
		return []string{}
	}
	return []string{w.staged}
}

func (w *worker) modelList() []map[string]any {
	if w.group == nil || w.group.State == "joining" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": w.group.model, "version": 1, "adapters": []string{}}}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		w.report(rw)
	case "/api/order":
		w.order(rw, r)
	case "/health":
		rw.Header().Set("X-Instance-Id", w.id)
	default:
		w.serve(rw, r)
	}
}

func (w *worker) report(rw http.ResponseWriter) {
	w.fabric.mu.Lock()
	defer w.fabric.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "both", "models": w.modelList(), "busy": false, "sequence": w.sequence, "waiting": 0, "running": w.running, "kvUsed": 0, "kvTotal": 2470000,
		"handles": 0, "pace": 1.0, "domain": w.domain, "staged": w.stagedList(), "group": w.group, "born": w.born,
	})
}

type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     int64    `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	CloseMode string   `json:"closeMode"`
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.fabric.mu.Lock()
	status := w.obey(o)
	w.fabric.mu.Unlock()
	record("order to %s: %s %s@%d %s %v: %d", w.id, o.Operation, o.Group, o.Epoch, o.Model, o.Members, status)
	rw.WriteHeader(status)
}

// obey carries out an order. The caller holds the lock.
func (w *worker) obey(o order) int {
	own := w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch
	switch o.Operation {
	case "stage":
		return w.stage(o.Model)
	case "join":
		return w.join(o, own)
	case "open":
		switch {
		case !own || w.group.Rank != 0 || w.group.State == "joining" || w.group.State == "closing" || w.group.State == "broken":
			return http.StatusConflict
		case w.group.State == "open":
			return http.StatusOK
		}
		w.sequence++
		g := w.group
		time.AfterFunc(time.Duration(w.fabric.formMS)*time.Millisecond, func() {
			w.fabric.mu.Lock()
			defer w.fabric.mu.Unlock()
			if w.group == g && g.State == "ready" {
				g.State = "open"
				record("%s opens %s@%d", w.id, g.Name, g.Epoch)
				w.fabric.checkStall(w)
				w.register()
			}
		})
		return http.StatusAccepted
	case "close":
		switch {
		case !own || w.group.Rank != 0 || w.group.State == "joining" || w.group.State == "broken":
			return http.StatusConflict
		case w.group.State == "ready" || w.group.State == "closing":
			return http.StatusOK
		}
		w.sequence++
		w.group.State = "closing"
		w.closed()
		w.register()
		return http.StatusAccepted
	case "leave":
		if !own {
			return http.StatusConflict
		}
		w.sequence++
		w.leaves()
		w.register()
		return http.StatusOK
	}
	return http.StatusBadRequest
}

// closed makes a closing head ready once it has no requests.
func (w *worker) closed() {
	if w.group != nil && w.group.State == "closing" && w.running == 0 {
		w.group.State = "ready"
	}
}

// leaves ends the worker's membership.
func (w *worker) leaves() {
	old := w.group
	w.group, w.stalledAt = nil, time.Time{}
	if old != nil {
		w.fabric.memberGone(old, w.id)
	}
}

// memberGone makes the head of a group stand still if it serves.
func (f *fabric) memberGone(g *membership, id string) {
	if head := f.workers[g.members[0]]; head != nil && head.id != id {
		f.checkStall(head)
	}
}

// checkStall starts the stall of a head that lacks a member, and breaks its group after the stall time.
func (f *fabric) checkStall(head *worker) {
	g := head.group
	if g == nil || g.Rank != 0 || g.State != "open" && g.State != "closing" || !head.stalledAt.IsZero() {
		return
	}
	for _, id := range g.members[1:] {
		if m := f.workers[id]; m == nil || m.group == nil || m.group.Name != g.Name || m.group.Epoch != g.Epoch {
			head.stalledAt = time.Now()
			record("%s stands still: %s is not in %s@%d", head.id, id, g.Name, g.Epoch)
			time.AfterFunc(stallTime, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if head.group == g && !head.stalledAt.IsZero() {
					g.State = "broken"
					record("%s@%d is broken", g.Name, g.Epoch)
					head.register()
				}
			})
			return
		}
	}
}

// join makes the worker a member of a group. It checks the rule TWO.
func (w *worker) join(o order, own bool) int {
	rank := slices.Index(o.Members, w.id)
	switch {
	case rank < 0:
		return http.StatusBadRequest
	case o.Epoch < w.highestEpoch, own && !slices.Equal(w.group.members, o.Members):
		return http.StatusPreconditionFailed
	case own:
		return http.StatusOK
	}
	if old := w.group; old != nil && old.Name != o.Group {
		head := w.fabric.workers[old.members[0]]
		if g := head.group; g != nil && g.Name == old.Name && g.Epoch == old.Epoch && (g.State == "open" || g.State == "closing") {
			state := g.State
			if !head.stalledAt.IsZero() {
				state += ", stands still"
			}
			text := fmt.Sprintf("TWO: %s takes a join of %s@%d while %s, the head of its group %s@%d, is %s", w.id, o.Group, o.Epoch, head.id, old.Name, old.Epoch, state)
			w.fabric.broken = append(w.fabric.broken, text)
			record("%s", text)
		}
	}
	w.sequence++
	w.highestEpoch = o.Epoch
	m := w.fabric.model(o.Model)
	takes := seconds(m.LoadS)
	switch {
	case w.lastModel == o.Model:
		takes = rejoinTime
	case w.staged == o.Model:
		takes = seconds(m.WarmS)
	case !w.fabric.traffic:
		takes /= earlyLoadPart
	}
	old := w.group
	g := &membership{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining", members: slices.Clone(o.Members), model: o.Model}
	w.group, w.stalledAt = g, time.Time{}
	if old != nil {
		w.fabric.memberGone(old, w.id)
	}
	w.register()
	time.AfterFunc(takes, func() {
		w.fabric.mu.Lock()
		defer w.fabric.mu.Unlock()
		if w.group == g {
			g.State, w.staged, w.lastModel = "ready", o.Model, o.Model
			w.register()
		}
	})
	return http.StatusAccepted
}

func (w *worker) stage(name string) int {
	m := w.fabric.model(name)
	switch {
	case m.Name == "":
		return http.StatusBadRequest
	case w.staged == name:
		return http.StatusOK
	}
	w.sequence++
	takes := seconds(m.LoadS)
	if !w.fabric.traffic {
		takes /= earlyLoadPart
	}
	time.AfterFunc(takes, func() {
		w.fabric.mu.Lock()
		defer w.fabric.mu.Unlock()
		w.staged = name
		w.register()
	})
	return http.StatusAccepted
}

func (f *fabric) model(name string) model {
	for _, m := range f.models {
		if m.Name == name {
			return m
		}
	}
	return model{}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// drain makes the worker report that it drains.
func (w *worker) drain() {
	w.fabric.mu.Lock()
	defer w.fabric.mu.Unlock()
	w.state = "draining"
	record("%s reports draining", w.id)
	w.register()
}

// serve runs a request, or rejects it.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f, id := w.fabric, r.Header.Get("X-Attempt-Id")
	f.mu.Lock()
	f.traffic = true
	header := rw.Header()
	header.Set("X-Attempt-Id", id)
	wrong := r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != w.id || w.domain != "" && (w.group == nil || w.group.Rank != 0 || w.group.State == "ready" || w.group.State == "joining")
	refused := !wrong && w.domain != "" && w.group.State != "open" || !wrong && w.running >= 3*w.slots
	w.arrivals = append(w.arrivals, arrival{id, r.RemoteAddr, time.Now(), !wrong && !refused})
	if w.limit != "" && !wrong {
		header.Set("Server-Limit", w.limit)
	}
	if wrong || refused {
		f.mu.Unlock()
		record("%s reaches %s, not run", id, w.id)
		header.Set("X-Not-Executed", "1")
		if wrong {
			header.Set("X-Instance-Id", w.id)
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running++
	header.Set("X-Server-Load", strconv.Itoa(w.running)+",0,"+strconv.Itoa(w.slots))
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		w.running--
		if w.group != nil && w.group.State == "closing" && w.running == 0 {
			w.closed()
			w.register()
		}
	}()
	record("%s runs at %s", id, w.id)
	header.Set("X-Response-Seal", "seal."+w.id+"."+id)
	if w.domain == "" {
		select {
		case <-time.After(w.work):
			_, _ = io.WriteString(rw, "done "+id+" at "+w.id)
		case <-r.Context().Done():
		}
		return
	}
	w.stream(rw, r)
}

// stream writes the events of a stream. While the head stands still, nothing moves.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request) {
	f := w.fabric
	rw.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
	f.mu.Lock()
	g := w.group
	f.mu.Unlock()
	for i := first + 1; i <= streamEvents; {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(streamGap):
		}
		f.mu.Lock()
		stalled, gone := !w.stalledAt.IsZero(), w.group != g || g == nil || g.State == "broken"
		f.mu.Unlock()
		if gone {
			panic(http.ErrAbortHandler) // the work is cut off
		}
		if stalled {
			continue
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s.%d\n\n", i, r.Header.Get("X-Attempt-Id"), i)
		_ = http.NewResponseController(rw).Flush()
		i++
	}
}
