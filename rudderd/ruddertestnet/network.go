// Package ruddertestnet is a network in memory for tests that run under testing/synctest: a goroutine that waits for a real
// socket does not let the clock of its bubble advance.
package ruddertestnet

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// backlog is the number of connections that wait to be accepted.
const backlog = 1024

// Network connects dialers with the listeners at their addresses.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	ports     int
}

type listener struct {
	network *Network
	address net.Addr
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// Listen returns a listener at a free address.
func (n *Network) Listen() net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	l := &listener{network: n, address: address(fmt.Sprint("127.0.0.1:", n.ports)), accept: make(chan net.Conn, backlog), done: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	n.listeners[l.address.String()] = l
	return l
}

// Dial connects to the listener at an address.
func (n *Network) Dial(ctx context.Context, _, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.ports++
	from := address(fmt.Sprint("127.0.0.1:", n.ports))
	n.mu.Unlock()
	if l == nil {
		return nil, refused(to)
	}
	client, server := pair(from, l.address)
	select {
	case l.accept <- server:
		return client, nil
	case <-l.done:
		return nil, refused(to)
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: ctx.Err()}
	}
}

func refused(to string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	}
}

// Close closes the listener and resets the connections that were not accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address.String())
		l.network.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.accept:
				c.(*conn).reset()
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }
