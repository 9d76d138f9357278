package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A model worker whose streams have neither a length nor chunks runs as a process of its own, so that it can be killed:
// review-stand worker ID. Its model needs one worker a group. It prints its address, its state after each change, and a line
// for each request that it begins to run; the stand-in writes its entry to the store.

const (
	unframedEvents = 40
	unframedGap    = 50 * time.Millisecond
	unframedModel  = "m0"
	unframedLoad   = 1600 * time.Millisecond // before the first request, a tenth of loadS
)

// soloWorker is a worker whose groups have one member.
type soloWorker struct {
	id   string
	born int64

	mu       sync.Mutex
	group    *membership
	staged   bool
	sequence int64
	highest  int64
	running  int
}

// state returns what the worker says of itself. The caller holds the lock.
func (w *soloWorker) state() map[string]any {
	models, staged := []map[string]any{}, []string{}
	if w.group != nil && w.group.State != "joining" {
		models = append(models, map[string]any{"name": unframedModel, "version": 1, "adapters": []string{}})
	}
	if w.staged {
		staged = append(staged, unframedModel)
	}
	return map[string]any{
		"stage": "both", "models": models, "busy": false, "sequence": w.sequence, "waiting": 0, "running": w.running, "kvUsed": 0, "kvTotal": 2470000,
		"handles": 0, "pace": 1.0, "domain": "d-" + w.id, "staged": staged, "group": w.group, "born": w.born,
	}
}

func (w *soloWorker) changed() {
	text, _ := json.Marshal(w.state())
	fmt.Println("state", string(text))
}

// serveUnframed is the worker's process.
func serveUnframed(id string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(2)
	}
	fmt.Println(listener.Addr())
	w := &soloWorker{id: id, born: time.Now().UnixMilli()}
	w.changed()
	_ = http.Serve(listener, w)
}

func (w *soloWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		w.mu.Lock()
		defer w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(w.state())
	case "/api/order":
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		status := w.obey(o)
		fmt.Println("order", o.Operation, o.Group, o.Epoch, status)
		w.changed()
		rw.WriteHeader(status)
	default:
		w.serve(rw, r)
	}
}

// later changes the state after a time.
func (w *soloWorker) later(d time.Duration, change func()) {
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		change()
		w.changed()
	})
}

func (w *soloWorker) obey(o order) int {
	own := w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch
	switch {
	case o.Operation == "stage" && w.staged, o.Operation == "join" && own:
		return http.StatusOK
	case o.Operation == "stage":
		w.sequence++
		w.later(unframedLoad, func() { w.staged = true })
		return http.StatusAccepted
	case o.Operation == "join" && o.Epoch < w.highest:
		return http.StatusPreconditionFailed
	case o.Operation == "join":
		w.sequence++
		w.highest = o.Epoch
		g := &membership{Name: o.Group, Epoch: o.Epoch, State: "joining"}
		w.group = g
		w.later(unframedLoad, func() { g.State, w.staged = "ready", true })
		return http.StatusAccepted
	case !own:
		return http.StatusConflict
	case o.Operation == "open" && w.group.State == "ready":
		w.sequence++
		g := w.group
		w.later(300*time.Millisecond, func() { g.State = "open" })
		return http.StatusAccepted
	case o.Operation == "open" && w.group.State == "open":
		return http.StatusOK
	case o.Operation == "leave":
		w.sequence++
		w.group = nil
		return http.StatusOK
	}
	return http.StatusConflict
}

// serve answers with a stream that ends with its connection.
func (w *soloWorker) serve(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.mu.Lock()
	expected, open := r.Header.Get("X-Expect-Instance"), w.group != nil && w.group.State == "open"
	w.mu.Unlock()
	if expected != "" && expected != w.id || !open {
		rw.Header().Set("X-Not-Executed", "1")
		rw.Header().Set("X-Attempt-Id", attempt)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	connection, buffered, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	fmt.Println("runs", attempt)
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal.%s.%s\r\n\r\n", attempt, w.id, attempt)
	_ = buffered.Flush()
	first, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
	for i := first + 1; i <= unframedEvents; i++ {
		time.Sleep(unframedGap)
		if _, err := fmt.Fprintf(connection, "id: %d\ndata: %s.%d\n\n", i, attempt, i); err != nil {
			return
		}
	}
}

// process is a worker's process.
type process struct {
	id      string
	command *exec.Cmd

	mu   sync.Mutex
	open bool // its group serves
}

func startWorkerProcess(s *store, id string) *process {
	self, err := os.Executable()
	check(err)
	p := &process{id: id, command: exec.Command(self, "worker", id)}
	out, err := p.command.StdoutPipe()
	check(err)
	check(p.command.Start())
	cleanups = append(cleanups, func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	})
	lines := bufio.NewScanner(out)
	lines.Scan()
	address := lines.Text()
	go func() {
		for lines.Scan() {
			kind, text, _ := strings.Cut(lines.Text(), " ")
			if kind != "state" {
				record("%s %s %s", id, kind, text)
				continue
			}
			entry := map[string]any{}
			check(json.Unmarshal([]byte(text), &entry))
			group, _ := entry["group"].(map[string]any)
			p.mu.Lock()
			p.open = group != nil && group["state"] == "open"
			p.mu.Unlock()
			for k, v := range map[string]any{
				"service": "llm", "address": address, "zone": "z", "version": "1", "slots": 26, "state": "ready", "coldRemainingMs": 0, "born": int64(entry["born"].(float64)),
			} {
				entry[k] = v
			}
			s.put("servers/"+id, entry)
		}
	}()
	return p
}

func (p *process) serves() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// caseUnframed: a worker crashes while it sends streams that end with their connections.
func caseUnframed(trouble bool, directory string) ([]*entry, []string) {
	s := newStore()
	s.put("op/config", map[string]any{
		"version": 3, "limits": limits(), "tenants": []any{}, "routes": []any{route("notes", "streaming", "llm")},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 900, "engine": map[string]any{
			"slots": 26, "models": []model{{unframedModel, 1, 1, 1, 16, 1.6}}, "loadsPerS": 5.5, "loads_at_once": 8, "formMs": 300, "keeps": 1, "step_ms": 6.45,
			"per_seq_ms": 0.0967, "read_per_s": 56100,
		}}},
	})
	var workers []*process
	for i := range 3 {
		workers = append(workers, startWorkerProcess(s, fmt.Sprintf("i-%02d", i)))
	}
	entries := []*entry{newEntry(s, directory, "front-0", "z"), newEntry(s, directory, "front-1", "z")}
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		await(e.name+" is ready", 20*time.Second, e.isReady)
	}
	for _, p := range workers {
		await(p.id+" serves", 40*time.Second, p.serves)
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var broken []string
	var clients sync.WaitGroup
	c := &http.Client{Timeout: 9 * time.Second}
	for i := range 12 {
		to, id := entries[i%2], fmt.Sprintf("a%d", i)
		record("%s sent to %s", id, to.name)
		clients.Go(func() {
			fields := map[string]string{"X-Model": unframedModel, "X-Token-Count": "700,240", "X-Prompt-Prefix": fmt.Sprintf("aa:40,%x:660", i)}
			a := send(c, to, http.MethodPost, "/notes/x", id, 8*time.Second, fields, "prompt")
			events := strings.Count(a.body, "\n\n")
			record("%s answered %d, %d events of %d, end of the answer: %v", id, a.status, events, unframedEvents, a.err)
			if a.status != http.StatusOK {
				return
			}
			text := ""
			for n := 1; n <= unframedEvents; n++ {
				text += fmt.Sprintf("id: %d\ndata: %s.%d\n\n", n, id, n)
			}
			if a.body != text {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("ORDER: the stream %s ends as complete after %d of %d events", id, events, unframedEvents))
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		check(workers[1].command.Process.Kill())
		record("%s has crashed (SIGKILL)", workers[1].id)
		time.AfterFunc(3*heartbeat, func() { s.remove("servers/" + workers[1].id) }) // after three heartbeats of silence
	}
	clients.Wait()
	time.Sleep(time.Second)
	return entries, broken
}
