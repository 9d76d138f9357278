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
	// stopTimeout bounds a planned stop, which takes the entry lifetime and the longest answer.
	stopTimeout = 30 * time.Second
	peerSecret  = "soak-peer-secret-1"
)

// entry is an entry host: a name and stable addresses, for which one rudderd process at a time is run.
type entry struct {
	name              string
	binary, directory string
	arguments         []string
	peers, callers    *proxy
	proxies           []*proxy // all proxies of this entry host, to be closed at the end
	// onListen is called with each address on which a new process will listen.
	onListen func(address string)

	mu      sync.Mutex
	starts  int
	process *process // nil while none runs
	admin   string
}

// process is one rudderd process.
type process struct {
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// start starts a rudderd process unless one runs, and waits until it listens.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
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
	e.onListen(caller)
	e.onListen(peer)
	e.callers.setTarget(caller)
	e.peers.setTarget(peer)
	if err := p.command.Start(); err != nil {
		return err
	}
	e.process, e.admin = p, ""
	go func() {
		_ = p.command.Wait() // killed processes end with an error
		_ = file.Close()
		e.mu.Lock()
		if e.process == p {
			e.process = nil
		}
		e.mu.Unlock()
		close(p.ended)
	}()
	return errors.Wrap(rudderscene.Await(startTimeout, "start of "+e.name, func() bool {
		addresses, started := rudderscene.AddressesFromLog(log)
		e.admin = addresses.Admin
		return started
	}), log)
}

// freePorts returns two unused loopback addresses. If another process takes one before rudderd listens on it,
// the start fails.
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
	if e.process == nil {
		return ""
	}
	return e.admin
}

// signal sends a signal to the running process and returns the process, or nil if none runs.
func (e *entry) signal(s syscall.Signal) *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		return nil
	}
	_ = e.process.command.Process.Signal(s) // the process may have ended just now
	return e.process
}

// kill sends SIGKILL to the process and waits for its end.
func (e *entry) kill() {
	if p := e.signal(syscall.SIGKILL); p != nil {
		<-p.ended
	}
}

// stop sends SIGTERM to the process and waits for its end. stopped is false if no process ran or it did not
// end within stopTimeout.
func (e *entry) stop() (stopped bool) {
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
