// Package ruddercrowd is a crowd of callers that send what an ordinary caller would not, for tests that run entry hosts as separate
// processes.
package ruddercrowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// redialInterval is the pause of a caller before it connects again, and dialTimeout bounds that.
	redialInterval = 10 * time.Millisecond
	dialTimeout    = time.Second
)

// Crowd is a number of callers that send the same.
type Crowd struct {
	Name    string
	Callers int
	// Again is set if a caller connects again after its connection has been closed. Otherwise it stays until the end.
	Again bool
	// Ordinary is the size of the body that an ordinary caller sends meanwhile, in bytes.
	Ordinary int
	// Descriptors is the number of descriptors of the process.
	Descriptors int
	// Send sends what the callers send on a new connection.
	Send func(ctx context.Context, c *net.TCPConn)
}

// call runs one caller until the context ends.
func (c Crowd) call(ctx context.Context, address string) {
	for connected := false; ctx.Err() == nil && (!connected || c.Again); {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if connected = connected || err == nil; err != nil {
			time.Sleep(redialInterval)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		c.Send(ctx, conn.(*net.TCPConn))
		_, _ = io.Copy(io.Discard, conn)
		if !c.Again {
			<-ctx.Done()
		}
		stop()
		_ = conn.Close()
		time.Sleep(redialInterval)
	}
}

const (
	// callers is the number of callers of a crowd, and manyCallers that of one that can hold FewDescriptors.
	callers     = 300
	manyCallers = 600
	// MemoryMB is the memory of the smallest hosts.
	MemoryMB = 136
	// Descriptors is the number of descriptors of the smallest hosts.
	Descriptors = 2870
	// FewDescriptors is a number that a crowd can hold.
	FewDescriptors = 400
	// BodyBytes is the largest legal size of a body.
	BodyBytes = 4 << 20
)

// Bodies returns the crowds that send request bodies: of the largest legal size, stopping short of their end, in chunks, and far above
// the limit. head returns the head of a request with some more lines of header fields.
func Bodies(head func(fields string) string) []Crowd {
	stopShort := func(piece int, pause time.Duration) func(ctx context.Context, c *net.TCPConn) {
		return func(_ context.Context, c *net.TCPConn) { sendBody(c, head, BodyBytes, BodyBytes-1, piece, pause) }
	}
	chunked := func(size, chunk int) func(ctx context.Context, c *net.TCPConn) {
		return func(_ context.Context, c *net.TCPConn) { sendChunks(c, head, size, chunk) }
	}
	return []Crowd{
		{"whole bodies", callers, true, 4, Descriptors, func(_ context.Context, c *net.TCPConn) { sendBody(c, head, BodyBytes, BodyBytes, BodyBytes, 0) }},
		{"bodies one byte short", callers, false, BodyBytes, Descriptors, stopShort(BodyBytes, 0)},
		{"bodies piece by piece, one byte short", callers, false, BodyBytes, Descriptors, stopShort(64<<10, 10*time.Millisecond)},
		{"large chunks without an end", callers, false, BodyBytes, Descriptors, chunked(BodyBytes, 256<<10)},
		{"1-byte chunks without an end", callers, false, BodyBytes, Descriptors, chunked(1<<20, 1)},
		{"announced above the limit", callers, true, 4, Descriptors, func(_ context.Context, c *net.TCPConn) { sendBody(c, head, 1<<30, 32<<20, 1<<20, 0) }},
		{"sent above the limit", callers, true, 4, Descriptors, chunked(32<<20, 1<<20)},
	}
}

// Connections returns the crowds that hold all descriptors of a process with few of them.
func Connections(head func(fields string) string) []Crowd {
	part, _, _ := strings.Cut(head(""), "Host: ")
	return []Crowd{
		{"all descriptors, nothing sent", manyCallers, true, 4, FewDescriptors, func(context.Context, *net.TCPConn) {}},
		{"all descriptors, part of a head", manyCallers, true, 4, FewDescriptors, func(_ context.Context, c *net.TCPConn) { _, _ = io.WriteString(c, part+"Host: ") }},
		{"all descriptors, short bodies one byte short", manyCallers, true, 4, FewDescriptors, func(_ context.Context, c *net.TCPConn) { sendBody(c, head, 100, 99, 99, 0) }},
	}
}

// Of returns a crowd that sends something else. many is set for one that holds all of few descriptors.
func Of(name string, many bool, send func(ctx context.Context, c *net.TCPConn)) Crowd {
	if many {
		return Crowd{name, manyCallers, false, 4, FewDescriptors, send}
	}
	return Crowd{name, callers, false, BodyBytes, Descriptors, send}
}

// sendBody announces a body and sends a part of it, in pieces.
func sendBody(c net.Conn, head func(fields string) string, announced, sent, piece int, pause time.Duration) {
	_, err := io.WriteString(c, head(fmt.Sprintf("Content-Length: %d\r\n", announced)))
	text := strings.Repeat("x", piece)
	for sent > 0 && err == nil {
		var n int
		n, err = io.WriteString(c, text[:min(sent, piece)])
		sent -= n
		time.Sleep(pause)
	}
}

// sendChunks sends a body in chunks without its end.
func sendChunks(c net.Conn, head func(fields string) string, size, chunk int) {
	_, err := io.WriteString(c, head("Transfer-Encoding: chunked\r\n"))
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	count := max((64<<10)/chunk, 1) // chunks in one write
	text := []byte(strings.Repeat(one, count))
	for ; size > 0 && err == nil; size -= count * chunk {
		_, err = c.Write(text)
	}
}
