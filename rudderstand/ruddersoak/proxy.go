package ruddersoak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// loopback is a listen address for a free port on the loopback interface.
const loopback = "127.0.0.1:0"

// dialTimeout bounds dialing the target of a proxy.
const dialTimeout = time.Second

// proxy listens on a stable address and forwards connections to a process that may be restarted at another
// address. It dials through the fault network, which cuts and resets the connections.
type proxy struct {
	listener net.Listener
	dial     func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	target string
}

// newProxy listens on a free port of the loopback address.
func newProxy(dial func(ctx context.Context, network, address string) (net.Conn, error), target string) (*proxy, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, dial: dial, target: target}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// run accepts and forwards connections until the listener is closed.
func (p *proxy) run() {
	for {
		outer, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(outer)
	}
}

func (p *proxy) forward(outer net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	inner, err := p.dial(ctx, "tcp", target)
	if err != nil {
		reset(outer)
		return
	}
	var directions sync.WaitGroup
	copyOneWay := func(to, from net.Conn) {
		_, _ = io.Copy(to, from) // an error or end of one direction closes both connections
		_ = to.Close()
		_ = from.Close()
	}
	directions.Go(func() { copyOneWay(inner, outer) })
	directions.Go(func() { copyOneWay(outer, inner) })
	directions.Wait()
}

// reset closes a connection with a TCP reset, as a host without a listener refuses a connection.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on an error the connection is closed without a reset
	}
	_ = c.Close()
}
