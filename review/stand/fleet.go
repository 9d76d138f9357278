package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// exits with 2: the case could not run.
func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

var (
	cleanups  []func()
	began     = time.Now()
	recordMu  sync.Mutex
	recordOut *bufio.Writer
	keepLogs  string // folder for the logs of the entry hosts, or ""
	started   []*entry
)

// record writes a line to record.txt with the time since the start.
func record(format string, arguments ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(recordOut, "%8.3f "+format+"\n", append([]any{time.Since(began).Seconds()}, arguments...)...)
}

func finish(code int) {
	if keepLogs != "" {
		copyLogs(started, keepLogs)
	}
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	recordMu.Lock()
	_ = recordOut.Flush()
	os.Exit(code)
}

func fail(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	fmt.Println("the case could not run: " + text)
	record("the case could not run: %s", text)
	finish(2)
}

// entry is one entry host: a process of the project, started as the deploy file says.
type entry struct {
	name, front, ready, directory, log string
	settings                           string
	door                               *door
	proxies                            map[string]*proxy // by worker
	memoryMB                           int

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// bounds are those of the sheet of Umuvumu.
func bounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
		"configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "revokeStrict": true, "revokeMs": 5000, "retryBudgetRatio": 0.2,
		"budgetWindowS": 10, "retryBudgetExtra": 302, "recoveryS": 12, "passMs": 120, "againS": 0, "stallMs": 6000, "fencingEnforced": false,
		"ceilingWindowS": 5, "ceilingOvershoot": 1.1, "ttl_max_s": 5,
	}
}

var usedPorts = map[int]bool{}

// freePorts returns consecutive ports that nobody listens on.
func freePorts(count int) []int {
	for try := range 500 {
		first := 21000 + (os.Getpid()*131+try*97)%9000/10*10
		var open []net.Listener
		for i := range count {
			if usedPorts[first+i] {
				break
			}
			l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(first+i)))
			if err != nil {
				break
			}
			open = append(open, l)
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == count {
			ports := make([]int, count)
			for i := range ports {
				ports[i] = first + i
				usedPorts[first+i] = true
			}
			return ports
		}
	}
	fail("no free ports")
	return nil
}

func newEntry(s *store, directory, name, zone string) *entry {
	ports := freePorts(5)
	address := func(i int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[i])) }
	e := &entry{
		name: name, front: address(0), ready: address(1), directory: address(2), log: filepath.Join(directory, name+".log"),
		settings: filepath.Join(directory, name+".json"), door: s.door(), proxies: map[string]*proxy{}, memoryMB: 206,
	}
	text, err := json.Marshal(map[string]any{
		"nodeName": name, "role": "entry", "machineClass": "front", "serves": []string{"front", "directory"}, "ip": "127.0.0.1", "zone": zone, "region": "r",
		"internalPorts": []int{ports[3], ports[4]}, "seedNodes": []string{}, "bootstrap": true, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
		"zones": map[string]string{zone: "r"}, "listen": map[string]string{"front": e.front, "ready": e.ready, "directory": e.directory},
		"limits": map[string]any{"cpuShare": 0.272, "cpuCores": 1, "memoryMb": e.memoryMB, "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
		"bounds": bounds(),
		"platform": map[string]any{
			"address": e.door.addr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
		},
	})
	check(err)
	check(os.WriteFile(e.settings, text, 0o600))
	cleanups = append(cleanups, e.kill)
	started = append(started, e)
	return e
}

// through makes the entry host reach a worker through a proxy of its own.
func (e *entry) through(w *worker) {
	p := newProxy(w.addr)
	e.proxies[w.id] = p
	e.door.mu.Lock()
	e.door.addresses[w.addr] = p.addr
	e.door.mu.Unlock()
}

// start starts the process with the command and the environment of the deploy file.
func (e *entry) start() {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer func() { _ = log.Close() }()
	command := exec.Command("target/rudderd", "platform", "--log-level", "info")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1", "COMFREYRUDDER_CONFIG=" + e.settings}
	command.Stdout, command.Stderr = log, log
	check(command.Start())
	ended := make(chan struct{})
	e.mu.Lock()
	e.command, e.ended = command, ended
	e.mu.Unlock()
	record("%s started, process %d", e.name, command.Process.Pid)
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

func (e *entry) kill() {
	e.mu.Lock()
	command, ended := e.command, e.ended
	e.command = nil
	e.mu.Unlock()
	if command != nil {
		_ = command.Process.Signal(syscall.SIGKILL)
		<-ended
	}
}

// isReady reports whether the entry host says that it is ready.
func (e *entry) isReady() bool {
	response, err := shortClient.Get("http://" + e.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var shortClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// await waits until a condition holds.
func await(what string, limit time.Duration, holds func() bool) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	fail("not within %s: %s", limit, what)
}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	status int // 0: none that is complete
	header http.Header
	body   string
	err    error
}

// send sends one client attempt on a connection of the given client.
func send(c *http.Client, e *entry, method, path, id string, deadline time.Duration, fields map[string]string, body string) answer {
	a := answer{id: id, sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+e.front+path, strings.NewReader(body))
	check(err)
	request.GetBody = nil
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for k, v := range fields {
		request.Header.Set(k, v)
	}
	response, err := c.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	a.body, a.header, a.err = string(text), response.Header, err
	if err == nil {
		a.status = response.StatusCode
	}
	return a
}

const host = "h.example"

func copyLogs(entries []*entry, to string) {
	for _, e := range entries {
		text, err := os.ReadFile(e.log)
		if err == nil {
			_ = os.WriteFile(filepath.Join(to, e.name+".log"), text, 0o600)
		}
	}
}
