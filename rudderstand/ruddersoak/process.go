package ruddersoak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/rudderscene"
)

const (
	startTimeout = 10 * time.Second
	// stopTimeout is the longest planned stop: the entry lifetime and the longest answer.
	stopTimeout = 30 * time.Second
	peerSecret  = "soak-peer-secret-1"
)

// entry is an entry host: a place at which one rudderd process after the other runs.
type entry struct {
	name              string
	binary, directory string
	arguments         []string
	peers, callers    *proxy
	proxies           []*proxy // all of them, to be closed
	// named is told where a new process listens.
	named func(address string)

	mu     sync.Mutex
	starts int
	run    *process // nil while none runs
	admin  string
}

// process is one rudderd process.
type process struct {
	command *exec.Cmd
	ended   chan struct{} // closed when it has ended
}

// start starts a process unless one runs.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.run != nil {
		return nil
	}
	e.starts++
	caller, peer, err := freePorts()
	if err != nil {
		return err
	}
	log := filepath.Join(e.directory, fmt.Sprintf("%s-%d.log", e.name, e.starts))
	file, err := os.Create(log) //nolint:gosec // in the soak's directory
	if err != nil {
		return err
	}
	arguments := append([]string{
		"--name", e.name, "--caller-listen", caller, "--caller-advertise", e.callers.address(),
		"--peer-listen", peer, "--peer-advertise", e.peers.address(), "--admin-listen", loopback,
	}, e.arguments...)
	p := &process{command: exec.Command(e.binary, arguments...), ended: make(chan struct{})} //nolint:gosec // the binary under test
	p.command.Stderr, p.command.Stdout = file, file
	e.named(caller)
	e.named(peer)
	e.callers.setTarget(caller)
	e.peers.setTarget(peer)
	if err := p.command.Start(); err != nil {
		return err
	}
	e.run, e.admin = p, ""
	go func() {
		_ = p.command.Wait() // killed processes end with an error
		_ = file.Close()
		e.mu.Lock()
		if e.run == p {
			e.run = nil
		}
		e.mu.Unlock()
		close(p.ended)
	}()
	return errors.Wrap(rudderscene.Await(startTimeout, "start of "+e.name, func() bool {
		at, started := rudderscene.AddressesFromLog(log)
		e.admin = at.Admin
		return started
	}), log)
}

// freePorts returns two free addresses. Another process may take them before they are used; the start fails
// then.
func freePorts() (caller, peer string, err error) {
	first, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = first.Close() }()
	second, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = second.Close() }()
	return first.Addr().String(), second.Addr().String(), nil
}

// adminAt returns the admin address of the running process, or "".
func (e *entry) adminAt() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.run == nil {
		return ""
	}
	return e.admin
}

// signal sends a signal to the running process, and returns it, or nil if none runs.
func (e *entry) signal(s syscall.Signal) *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.run == nil {
		return nil
	}
	_ = e.run.command.Process.Signal(s) // it may have ended just now
	return e.run
}

// kill ends the process at once.
func (e *entry) kill() {
	if p := e.signal(syscall.SIGKILL); p != nil {
		<-p.ended
	}
}

// stop begins a planned stop and waits for its end. took is false if no process ran or it did not end.
func (e *entry) stop() (took bool) {
	p := e.signal(syscall.SIGTERM)
	if p == nil {
		return false
	}
	select {
	case <-p.ended:
		return true
	case <-time.After(stopTimeout):
		return false
	}
}
