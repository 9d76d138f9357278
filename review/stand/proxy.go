package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy is the path from one entry host to one worker. While it is cut, new connections are refused and open ones reset.
type proxy struct {
	target, addr string

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]bool
}

func newProxy(target string) *proxy {
	p := &proxy{target: target, open: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p.addr = listener.Addr().String()
	p.listen(listener)
	return p
}

func (p *proxy) listen(listener net.Listener) {
	p.listener = listener
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
}

func (p *proxy) pass(c net.Conn) {
	worker, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.open[c], p.open[worker] = true, true
	p.mu.Unlock()
	var ends sync.WaitGroup
	copyTo := func(to, from net.Conn) {
		if _, err := io.Copy(to, from); err != nil {
			reset(to)
			return
		}
		_ = to.(*net.TCPConn).CloseWrite()
	}
	ends.Go(func() { copyTo(worker, c) })
	ends.Go(func() { copyTo(c, worker) })
	ends.Wait()
	_, _ = c.Close(), worker.Close()
	p.mu.Lock()
	delete(p.open, c)
	delete(p.open, worker)
	p.mu.Unlock()
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// cut refuses new connections and resets those that are open.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.open {
		reset(c)
	}
}

// heal lets connections through again.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range 100 {
		listener, err := net.Listen("tcp", p.addr)
		if err == nil {
			p.listen(listener)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic("cannot listen on " + p.addr + " again")
}
