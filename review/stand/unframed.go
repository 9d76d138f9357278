package main

import (
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

// A worker of a plain service whose streams have neither a length nor chunks runs as a process of its own, so that it can
// be killed: review-stand worker ID.

const (
	unframedEvents = 40
	unframedGap    = 50 * time.Millisecond
)

// serveUnframed is the worker's process. It prints its address, and a line for each request that it begins to run.
func serveUnframed(id string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(2)
	}
	fmt.Println(listener.Addr())
	_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/api/report":
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprint(w, `{"stage":"both","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":0,"handles":0}`)
			return
		case "/health":
			w.Header().Set("X-Instance-Id", id)
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		attempt := r.Header.Get("X-Attempt-Id")
		connection, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		fmt.Println("runs", attempt)
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal.%s.%s\r\n\r\n", attempt, id, attempt)
		_ = buffered.Flush()
		first, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
		for i := first + 1; i <= unframedEvents; i++ {
			time.Sleep(unframedGap)
			if _, err := fmt.Fprintf(connection, "id: %d\ndata: %s.%d\n\n", i, attempt, i); err != nil {
				return
			}
		}
	}))
}

// process is a worker's process.
type process struct {
	id, addr string
	command  *exec.Cmd
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
	lines := make(chan string, 1)
	go func() {
		buffer, text := make([]byte, 4096), ""
		for {
			n, err := out.Read(buffer)
			text += string(buffer[:n])
			for {
				line, rest, found := strings.Cut(text, "\n")
				if !found {
					break
				}
				text = rest
				select {
				case lines <- line:
				default:
					record("%s %s", id, line)
				}
			}
			if err != nil {
				return
			}
		}
	}()
	p.addr = <-lines
	lines <- "" // later lines are recorded
	s.put("servers/"+id, map[string]any{
		"service": "app", "address": p.addr, "zone": "z", "version": "1", "slots": 16, "state": "ready", "coldRemainingMs": 0, "sequence": 0, "born": time.Now().UnixMilli(),
	})
	return p
}

// caseUnframed: a worker crashes while it answers streams that end with their connections.
func caseUnframed(trouble bool, directory string) ([]*entry, []string) {
	s := newStore()
	r := route("feed", "streaming", "app")
	s.put("op/config", map[string]any{
		"version": 3, "limits": limits(), "tenants": []any{}, "routes": []any{r},
		"services": []any{map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 248}},
	})
	var workers []*process
	for i := range 3 {
		workers = append(workers, startWorkerProcess(s, fmt.Sprintf("i-%02d", i)))
	}
	e := newEntry(s, directory, "front-0", "z")
	other := newEntry(s, directory, "front-1", "z")
	e.start()
	other.start()
	await("front-0 is ready", 20*time.Second, e.isReady)
	await("front-1 is ready", 20*time.Second, other.isReady)
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var broken []string
	var clients sync.WaitGroup
	c := &http.Client{Timeout: 9 * time.Second}
	for i := range 12 {
		to := []*entry{e, other}[i%2]
		id := fmt.Sprintf("a%d", i)
		record("%s sent to %s", id, to.name)
		clients.Go(func() {
			a := send(c, to, http.MethodPost, "/feed/x", id, 8*time.Second, nil, "prompt")
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
		time.AfterFunc(3600*time.Millisecond, func() { s.remove("servers/" + workers[1].id) }) // after three heartbeats of silence
	}
	clients.Wait()
	time.Sleep(time.Second)
	return []*entry{e, other}, broken
}
