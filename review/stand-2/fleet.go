package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// errSetup reports that a case could not run.
var errSetup = errors.New("the case could not run")

// fleet is a small deployment: entry hosts as processes of the system, the store, and worker processes.
type fleet struct {
	store    *store
	folder   string // temporary
	hosts    []*host
	servers  map[string]*process // workers and others, by name
	port     int                 // next free one
	attempts atomic.Int64
	prefix   string

	mu     sync.Mutex
	lines  []line
	runs   map[string][]event // by attempt
	begun  time.Time
	trace  []string
	closed bool
}

type line struct {
	at   time.Time
	text string
}

type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
	address string
}

type host struct {
	process
	ip, settings            string
	front, ready, directory string
	fields                  map[string]any // of the settings file
}

// writeSettings places the settings file, as the platform does at every start and whenever the settings change.
func (h *host) writeSettings() error {
	text, _ := json.Marshal(h.fields)
	if err := os.WriteFile(h.settings+".new", text, 0o600); err != nil {
		return errors.Join(errSetup, err)
	}
	return os.Rename(h.settings+".new", h.settings)
}

func newFleet() (*fleet, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &fleet{
		store: s, folder: folder, servers: map[string]*process{}, runs: map[string][]event{}, begun: time.Now(),
		prefix: strconv.FormatUint(rand.Uint64(), 36), port: 20000 + rand.IntN(8000),
	}, nil
}

// note adds a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, line{time.Now(), fmt.Sprintf(format, args...)})
}

// freePort returns a port that is free on some addresses, with n free ones after it.
func (f *fleet) freePort(n int, ips ...string) int {
	for ; ; f.port += n + 1 {
		if f.port > 60000 {
			f.port = 20000
		}
		free := true
		for _, ip := range ips {
			for p := f.port; p <= f.port+n && free; p++ {
				l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
				if free = err == nil; free {
					_ = l.Close()
				}
			}
		}
		if free {
			port := f.port
			f.port += n + 1
			return port
		}
	}
}

// startHosts starts entry hosts as deploy/system.toml says, with the settings of DEPLOY.md, and waits until they are ready.
func (f *fleet) startHosts(zones ...string) error {
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	base := f.freePort(12, ips...)
	for i, zone := range zones {
		at := func(offset int) string { return net.JoinHostPort(ips[i], strconv.Itoa(base+offset)) }
		h := &host{ip: ips[i], front: at(0), ready: at(1), directory: at(2)}
		h.name = "front-" + zone + "-" + strconv.Itoa(i+1)
		settings := map[string]any{
			"nodeName": h.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "directory"}, "ip": h.ip,
			"zone": zone, "region": "kigali", "internalPorts": []int{base + 3, base + 12}, "seedNodes": []string{}, "bootstrap": true,
			"faultCounted": false, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
			"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "gangs"},
			"zones":     map[string]string{"kigali-a": "kigali", "kigali-b": "kigali", "kigali-c": "kigali"},
			"listen":    map[string]string{"front": h.front, "ready": h.ready, "directory": h.directory},
			"limits":    map[string]any{"cpuShare": 0.272, "cpuCores": 1, "memoryMb": 206, "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
				"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "revokeStrict": true, "revokeMs": 5000,
				"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 302, "recoveryS": 12, "passMs": 120, "againS": 0,
				"stallMs": 6000, "fencingEnforced": false, "ceilingWindowS": 5, "ceilingOvershoot": 1.1, "ttl_max_s": 5,
			},
			"platform": map[string]any{
				"address": f.store.address, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
			},
		}
		h.settings, h.fields = filepath.Join(f.folder, h.name+".json"), settings
		if err := h.writeSettings(); err != nil {
			return err
		}
		if err := f.startHost(h); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		if !f.awaitReady(h) {
			return fmt.Errorf("%w: %s is not ready", errSetup, h.name)
		}
	}
	f.note("%d entry hosts are ready", len(f.hosts))
	return nil
}

// startHost starts the process of an entry host, for the first time or again.
func (f *fleet) startHost(h *host) error {
	log, err := os.OpenFile(filepath.Join(f.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Join(errSetup, err)
	}
	defer log.Close()
	command, done := exec.Command("target/rudderd", "platform", "--log-level", "info"), make(chan struct{})
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "LANG=C", "GOMAXPROCS=1", "COMFREYRUDDER_CONFIG=" + h.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Join(errSetup, err)
	}
	h.command, h.done = command, done
	go func() {
		err := command.Wait()
		f.note("process %s ended: %v", h.name, err)
		close(done)
	}()
	return nil
}

// awaitReady waits until the platform's check finds an entry host ready.
func (f *fleet) awaitReady(h *host) bool {
	return f.await(15*time.Second, func() bool {
		response, err := http.Get("http://" + h.ready + "/api/readiness")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// startServer starts a stand-in of this program as a process of its own and reads its lines.
func (f *fleet) startServer(name, kind string, args ...string) (*process, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, errors.Join(errSetup, err)
	}
	ip := fmt.Sprintf("127.0.0.%d", 31+len(f.servers))
	p := &process{name: name, address: net.JoinHostPort(ip, strconv.Itoa(f.freePort(0, ip)))}
	p.command = exec.Command(own, append([]string{kind, "-address", p.address}, args...)...)
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, errors.Join(errSetup, err)
	}
	p.command.Stderr = os.Stderr
	p.done = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return nil, errors.Join(errSetup, err)
	}
	f.servers[name] = p
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var e event
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				f.mu.Lock()
				f.runs[e.Attempt] = append(f.runs[e.Attempt], e)
				f.lines = append(f.lines, line{e.At, fmt.Sprintf("%s %s %s: %s %s tenant=%q %s", e.Worker, e.Kind, e.Attempt, e.Method, e.Target, e.Tenant, e.Text)})
				f.mu.Unlock()
			}
		}
		err := p.command.Wait()
		f.note("process %s ended: %v", name, err)
		close(p.done)
	}()
	return p, nil
}

func (f *fleet) startWorker(id, service, zone string, args ...string) (*process, error) {
	return f.startServer(id, "worker", append([]string{"-id", id, "-service", service, "-zone", zone, "-store", f.store.address}, args...)...)
}

// drain makes a worker report that it leaves.
func (f *fleet) drain(p *process) {
	response, err := http.Post("http://"+p.address+"/stand/drain", "", nil)
	if err == nil {
		_ = response.Body.Close()
	}
}

// kill ends a process at once.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

func (f *fleet) await(limit time.Duration, done func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

// answer is what a client has got for one attempt.
type answer struct {
	attempt  string
	host     string
	sent     time.Time
	took     time.Duration
	status   int // 0 without a head
	sealed   bool
	complete bool // the answer's end could be told from a broken one
	body     []byte
	err      error
}

type request struct {
	host, method, target, key string
	body                      string
	deadline                  time.Duration
	header                    map[string]string
}

// send sends one client attempt to one of the entry hosts, drawn at random.
func (f *fleet) send(q request) answer { return f.sendTo(f.hosts[rand.IntN(len(f.hosts))], q) }

// sendTo sends one client attempt on a connection of its own and waits for the whole answer.
func (f *fleet) sendTo(h *host, q request) answer {
	a := answer{attempt: fmt.Sprintf("%s-%d", f.prefix, f.attempts.Add(1)), host: h.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+h.front+"/", strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	path, query, _ := strings.Cut(q.target, "?")
	r.URL.Opaque, r.URL.RawQuery = path, query
	if strings.HasPrefix(path, "//") {
		r.URL.Opaque = "//" + q.host + path // written in the absolute form by net/http
	}
	r.Host = q.host
	if q.body == "" {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	r.Header.Set("X-Attempt-Id", a.attempt)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	f.note("sent %s to %s: %s %s %v", a.attempt, h.name, q.method, q.target, q.header)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(r)
	if err == nil {
		a.status, a.sealed = response.StatusCode, response.Header.Get("X-Response-Seal") != ""
		a.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.complete = err == nil
	}
	a.err, a.took = err, time.Since(a.sent)
	f.note("answered %s after %d ms: status %d, seal %v, %d bytes, complete %v, error %v; %.80q", a.attempt, a.took.Milliseconds(), a.status, a.sealed, len(a.body), a.complete, a.err, a.body)
	return a
}

// ranAt returns the events of one kind that servers have told of an attempt.
func (f *fleet) ranAt(attempt, kind string) []event {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []event
	for _, e := range f.runs[attempt] {
		if e.Kind == kind {
			list = append(list, e)
		}
	}
	return list
}

// close ends all processes and writes the record.
func (f *fleet) close(record string) {
	for _, h := range f.hosts {
		_ = h.command.Process.Kill()
		<-h.done
	}
	for _, p := range f.servers {
		_ = p.command.Process.Kill()
		<-p.done
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	sort.SliceStable(f.lines, func(i, k int) bool { return f.lines[i].at.Before(f.lines[k].at) })
	var out bytes.Buffer
	for _, l := range f.lines {
		fmt.Fprintf(&out, "%9.3f %s\n", l.at.Sub(f.begun).Seconds(), l.text)
	}
	_ = os.WriteFile(record, out.Bytes(), 0o644)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}
