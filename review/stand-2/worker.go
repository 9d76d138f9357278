package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is one worker process, of a plain service or of one whose workers form groups. It behaves as PROTOCOL.md says.
type worker struct {
	id, service, zone, address, store string
	domain, model                     string // of a service whose workers form groups
	slots                             int
	capacity                          float64       // tokens of one request that fit into its memory
	pieces                            int           // of an answer's body
	pause, work                       time.Duration // between pieces, and before the first one
	unframed                          bool          // answers end with their connection

	mu       sync.Mutex
	born     int64
	state    string
	sequence int64
	staged   []string
	group    group
	epochs   map[int64][]string // members by epoch, as joined in this life
	highest  int64
	running  int
}

type group struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// event is a line on the worker's standard output: what has reached it and what it has run.
type event struct {
	At      time.Time `json:"at"`
	Worker  string    `json:"worker"`
	Kind    string    `json:"kind"`
	Attempt string    `json:"attempt"`
	Method  string    `json:"method,omitempty"`
	Target  string    `json:"target,omitempty"`
	Tenant  string    `json:"tenant,omitempty"`
	Text    string    `json:"text,omitempty"`
}

func runWorker(args []string) {
	w := &worker{state: "ready", born: time.Now().UnixMilli(), epochs: map[int64][]string{}}
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	f.StringVar(&w.id, "id", "", "")
	f.StringVar(&w.service, "service", "", "")
	f.StringVar(&w.zone, "zone", "", "")
	f.StringVar(&w.address, "address", "", "")
	f.StringVar(&w.store, "store", "", "")
	f.StringVar(&w.domain, "domain", "", "")
	f.IntVar(&w.slots, "slots", 6, "")
	f.Float64Var(&w.capacity, "capacity", 2470000, "")
	f.IntVar(&w.pieces, "pieces", 1, "")
	f.DurationVar(&w.pause, "pause", 30*time.Millisecond, "")
	f.DurationVar(&w.work, "work", 0, "")
	f.BoolVar(&w.unframed, "unframed", false, "")
	_ = f.Parse(args)
	server := &http.Server{Addr: w.address, Handler: w}
	go func() {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.register()
	}()
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(1)
}

func (w *worker) log(e event) {
	e.At, e.Worker = time.Now(), w.id
	text, _ := json.Marshal(e)
	_, _ = os.Stdout.Write(append(text, '\n'))
}

// register writes the worker's entry. The caller holds the lock.
func (w *worker) register() {
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state,
		"coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
	}
	if w.domain != "" {
		entry["domain"], entry["staged"], entry["stage"] = w.domain, w.staged, "both"
		if w.group.Name != "" {
			entry["group"] = w.group
		}
		if w.model != "" {
			entry["models"] = w.models()
		}
	}
	text, _ := json.Marshal(entry)
	for range 20 {
		response, err := http.Post("http://"+w.store+"/stand/put/servers/"+w.id, "application/json", bytes.NewReader(text))
		if err == nil {
			_ = response.Body.Close()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *worker) models() any {
	return []map[string]any{{"name": w.model, "version": 1, "adapters": []string{}}}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		w.mu.Lock()
		defer w.mu.Unlock()
		report := map[string]any{
			"stage": "both", "busy": w.group.State == "joining", "sequence": w.sequence, "waiting": 0, "running": w.running,
			"kvUsed": 0, "kvTotal": w.capacity, "handles": 0, "pace": 1.0, "born": w.born, "domain": w.domain, "staged": w.staged,
		}
		if w.group.Name != "" {
			report["group"] = w.group
		}
		if w.model != "" {
			report["models"] = w.models()
		}
		_ = json.NewEncoder(rw).Encode(report)
	case "/api/order":
		rw.WriteHeader(w.order(r))
	case "/health":
		rw.Header().Set("X-Instance-Id", w.id)
	case "/stand/drain":
		w.mu.Lock()
		defer w.mu.Unlock()
		w.state = "draining"
		w.register()
	default:
		w.serve(rw, r)
	}
}

func (w *worker) order(r *http.Request) int {
	var o struct {
		Operation string   `json:"operation"`
		Group     string   `json:"group"`
		Epoch     int64    `json:"epoch"`
		Model     string   `json:"model"`
		Members   []string `json:"members"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || w.domain == "" {
		return http.StatusBadRequest
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	own := w.group.Name == o.Group && w.group.Epoch == o.Epoch
	switch o.Operation {
	case "stage":
		if slices.Contains(w.staged, o.Model) {
			return http.StatusOK
		}
		w.sequence++
		time.AfterFunc(time.Second, func() {
			w.update(func() { w.staged = []string{o.Model} })
		})
		return http.StatusAccepted
	case "join":
		known, joined := w.epochs[o.Epoch]
		if o.Epoch < w.highest || joined && !slices.Equal(known, o.Members) {
			return http.StatusPreconditionFailed
		}
		if own && w.group.State != "" {
			return http.StatusOK
		}
		rank := slices.Index(o.Members, w.id)
		if rank < 0 {
			return http.StatusConflict
		}
		w.highest, w.epochs[o.Epoch] = o.Epoch, o.Members
		w.sequence++
		w.group = group{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining"}
		w.register()
		joining := w.group
		time.AfterFunc(time.Second, func() {
			w.update(func() {
				if w.group == joining {
					w.staged, w.model, w.group.State = []string{o.Model}, o.Model, "ready"
				}
			})
		})
		return http.StatusAccepted
	case "open":
		switch {
		case !own || w.group.Rank != 0 || w.group.State == "joining":
			return http.StatusConflict
		case w.group.State != "ready":
			return http.StatusOK
		}
		w.sequence++
		opening := w.group
		time.AfterFunc(300*time.Millisecond, func() {
			w.update(func() {
				if w.group == opening {
					w.group.State = "open"
				}
			})
		})
		return http.StatusAccepted
	case "close":
		if !own {
			return http.StatusConflict
		}
		w.sequence++
		w.group.State = "ready"
		w.register()
		return http.StatusOK
	case "leave":
		if !own {
			return http.StatusConflict
		}
		w.sequence++
		w.group, w.model = group{}, ""
		w.register()
		return http.StatusOK
	}
	return http.StatusBadRequest
}

func (w *worker) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	w.register()
}

// begin takes a place for a request, or returns the status with which it is refused.
func (w *worker) begin(r *http.Request) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.domain != "" && (w.group.State != "open" || w.group.Rank != 0) {
		return http.StatusMisdirectedRequest
	}
	prompt, answer, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	p, _ := strconv.ParseFloat(prompt, 64)
	a, _ := strconv.ParseFloat(answer, 64)
	if w.running >= 2*w.slots || p+a > w.capacity {
		return http.StatusServiceUnavailable // full, or larger than its memory
	}
	w.running++
	return 0
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	e := event{Attempt: attempt, Method: r.Method, Target: r.RequestURI, Tenant: r.Header.Get("X-Tenant")}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := rw.Header()
	header.Set("X-Attempt-Id", attempt)
	if status := w.begin(r); status != 0 {
		e.Kind, e.Text = "refused", strconv.Itoa(status)
		w.log(e)
		header.Set("X-Not-Executed", "1")
		rw.WriteHeader(status)
		return
	}
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	e.Kind, e.Text = "run", fmt.Sprintf("%d bytes", len(body))
	w.log(e)
	header.Set("X-Response-Seal", "seal."+w.id)
	if w.unframed {
		header.Set("Transfer-Encoding", "identity") // net/http then ends the answer with its connection
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(w.work):
	}
	events := strings.HasPrefix(r.URL.Path, "/note/")
	first := 0
	if events {
		header.Set("Content-Type", "text/event-stream")
		first, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	}
	for i := first + 1; i <= w.pieces; i++ {
		if events {
			fmt.Fprintf(rw, "id: %d\ndata: part %d of %d for %s\n\n", i, i, w.pieces, attempt)
		} else {
			_, _ = io.WriteString(rw, piece(attempt, i, w.pieces))
		}
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(w.pause):
		}
	}
	e.Kind, e.Text = "finished", ""
	w.log(e)
}

// piece is a part of the body of a plain answer.
func piece(attempt string, i, of int) string {
	return fmt.Sprintf("piece %d of %d for %s\n", i, of, attempt)
}

// runStranger serves as any web server does that knows none of the paths asked for.
func runStranger(args []string) {
	f := flag.NewFlagSet("stranger", flag.ExitOnError)
	address := f.String("address", "", "")
	_ = f.Parse(args)
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		text, _ := json.Marshal(event{At: time.Now(), Worker: "stranger", Kind: "reached", Attempt: r.Header.Get("X-Attempt-Id"),
			Method: r.Method, Target: r.RequestURI, Tenant: r.Header.Get("X-Tenant")})
		_, _ = os.Stdout.Write(append(text, '\n'))
		http.NotFound(rw, r)
	})
	fmt.Fprintln(os.Stderr, http.ListenAndServe(*address, handler))
	os.Exit(1)
}
