// Package rudderresponse checks that what an HTTP client has read is a response: its head has a valid form, and a body that ends
// with its connection has not been cut off.
package rudderresponse

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of responses. The request may have run.
var (
	// ErrInvalidHead reports a status or a field name that no response can have.
	ErrInvalidHead = errors.New("response: invalid head")
	// ErrCutOff reports a body that ended with its connection although the request had not been written without an error.
	ErrCutOff = errors.New("response: connection ended before the request was written")
)

// CheckHead returns ErrInvalidHead if a status is not that of a final response, 200 to 599, or if a field name is not a token. The
// parser of net/http accepts both; a name with a blank may hide the length of the body.
func CheckHead(status int, header http.Header) error {
	if status < http.StatusOK || status > 599 {
		return errors.Wrapf(ErrInvalidHead, "status %d", status)
	}
	for name := range header {
		if !isToken(name) {
			return errors.Wrapf(ErrInvalidHead, "field name %q", name[:min(len(name), maxQuotedName)])
		}
	}
	return nil
}

// maxQuotedName bounds the part of an invalid field name in an error, in bytes.
const maxQuotedName = 64

// isToken reports whether a name is a token of RFC 9110.
func isToken(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !letter && (r < '0' || r > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	})
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function whose connections record failed writes, for Do.
func Dial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &writeConn{Conn: c, writing: make(chan struct{}, 1)}, nil
	}
}

// writeConn records whether a write fails. The kernel reports the error of a reset connection once: after a write has returned
// it, a read returns io.EOF.
type writeConn struct {
	net.Conn
	writing chan struct{} // holds an element during a write
	failed  atomic.Bool
}

// Write implements net.Conn.
func (c *writeConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// NetConn returns the connection within.
func (c *writeConn) NetConn() net.Conn { return c.Conn }

// provesEnd reports whether the end of what was read is that of the sender: no write has failed, and none is under way when the
// timer fires.
func (c *writeConn) provesEnd(timer *time.Timer) bool {
	select {
	case c.writing <- struct{}{}:
		<-c.writing
	case <-timer.C:
		return false
	}
	return !c.failed.Load()
}

// writeConnOf returns the connection within another one that records its writes, or nil.
func writeConnOf(c net.Conn) *writeConn {
	for {
		if w, ok := c.(*writeConn); ok {
			return w
		}
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = outer.NetConn()
	}
}

// Transport is an http.RoundTripper that checks the responses of another one with Do.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return Do(r, t.Base.RoundTrip)
}

// Do sends a request and checks its response. The connection of a response with an invalid head is closed, because the end of the
// response can't be found. A body without length and chunks ends with io.EOF only if the whole request had been written without an
// error before, and else with ErrCutOff. The connections should come from Dial.
func Do(r *http.Request, send func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	var latest atomic.Pointer[write]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { latest.Store(&write{conn: info.Conn, done: make(chan struct{})}) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if w := latest.Load(); w != nil {
				w.end(info.Err)
			}
		},
	}
	response, err := send(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	w := latest.Load()
	direct := w != nil && w.conn != nil && response.ProtoMajor == 1 // a response through another host has no connection
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		if direct {
			_ = w.conn.Close()
		}
		return nil, err
	}
	if direct && endsWithConnection(r, response) {
		response.Body = &endBody{response.Body, w}
	}
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

func endsWithConnection(r *http.Request, response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && r.Method != http.MethodHead
}

// write is the write of a request to a connection.
type write struct {
	conn net.Conn
	once sync.Once
	done chan struct{} // closed at its end
	err  error         // valid once done is closed
}

func (w *write) end(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.done)
	})
}

// endWait is how long the end of a body waits for the end of the write. The goroutine that writes may not have run since its last
// write has returned.
const endWait = 200 * time.Millisecond

// provesEnd reports whether the end of the connection is that of the response.
func (w *write) provesEnd() bool {
	timer := time.NewTimer(endWait)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
		return false
	}
	c := writeConnOf(w.conn)
	return w.err == nil && (c == nil || c.provesEnd(timer))
}

// endBody is a body that ends with its connection.
type endBody struct {
	io.ReadCloser
	write *write
}

// Read implements io.Reader.
func (b *endBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.write.provesEnd() {
		err = errors.WithStack(ErrCutOff)
	}
	return n, err
}
