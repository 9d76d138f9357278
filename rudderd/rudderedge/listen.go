package rudderedge

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// headerTimeout bounds how long a caller may take to send a request header. It is above any limit that a
	// routing document is expected to set, because the document may change while a server runs.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a keep-alive connection may be idle. It is above any limit of a routing document,
	// so that the server does not close a connection while a caller sends a request on it.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request header.
	maxHeaderBytes = 64 << 10
)

// listen opens all listening sockets. The first server in the result is the one for callers.
func (e *Edge) listen() ([]boundServer, error) {
	callers := newEcho()
	handler := echo.WrapHandler(e.rebalancer.Wrap(e.forwarder))
	callers.Any("/*", handler)
	callers.RouteNotFound("/*", handler)
	directory, readiness, report := newEcho(), newEcho(), newEcho()
	e.Ports.Directory(directory, e)
	e.Ports.Readiness(readiness, e)
	report.GET("/metrics", e.report)
	var servers []boundServer
	peerServer := rudderpeer.NewServer(e.peerHandler())
	for _, x := range []struct {
		address string
		handler http.Handler
	}{
		{e.Settings.CallerListen, callers}, {e.Settings.DirectoryListen, directory},
		{e.Settings.ReadyListen, readiness}, {e.Settings.MetricsListen, report},
		{e.Settings.PeerListen, nil},
	} {
		if x.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", x.address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		if x.address == e.Settings.PeerListen {
			servers = append(servers, boundServer{listener: listener, server: peerServer})
			continue
		}
		servers = append(servers, boundServer{listener: listener, server: &http.Server{
			Handler: x.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}})
	}
	servers[0].server.ConnContext = e.rebalancer.ConnContext
	return servers, nil
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}
