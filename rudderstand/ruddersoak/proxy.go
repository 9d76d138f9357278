package ruddersoak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// loopback is any free port of the loopback address.
const loopback = "127.0.0.1:0"

// dialTimeout bounds the connection to what stands behind a proxy.
const dialTimeout = time.Second

// proxy listens at an address that stays, and carries connections to a process that may come and go. The
// fault network that it dials through delays, cuts and resets them.
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

// run accepts connections until the listener is closed.
func (p *proxy) run() {
	for {
		outer, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(outer)
	}
}

func (p *proxy) carry(outer net.Conn) {
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
	move := func(to, from net.Conn) {
		_, _ = io.Copy(to, from) // a broken connection ends both directions
		_ = to.Close()
		_ = from.Close()
	}
	directions.Go(func() { move(inner, outer) })
	directions.Go(func() { move(outer, inner) })
	directions.Wait()
}

// reset ends a connection as a process that does not listen does.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // closed either way
	}
	_ = c.Close()
}
