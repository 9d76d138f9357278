package rudderedge

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"comfreyrudder.example/rudderd/rudderconn"
	"comfreyrudder.example/rudderd/rudderdrain"
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
func (e *Edge) listen() ([]*rudderdrain.Server, error) {
	callers := newEcho()
	handler := echo.WrapHandler(e.rebalancer.Wrap(e.forwarder))
	callers.Any("/*", handler)
	callers.RouteNotFound("/*", handler)
	directory, readiness, report := newEcho(), newEcho(), newEcho()
	e.Ports.Directory(directory, e)
	e.Ports.Readiness(readiness, e)
	report.GET("/metrics", e.report)
	var servers []*rudderdrain.Server
	for _, x := range []struct {
		address     string
		server      *http.Server
		connections *rudderconn.Table // nil for the servers of calls between entry hosts
	}{
		{e.Settings.CallerListen, newServer(callers), e.callers},
		{e.Settings.DirectoryListen, newServer(directory), e.connections("directory", e.Account.SmallConnections)},
		{e.Settings.ReadyListen, newServer(readiness), e.connections("readiness", e.Account.SmallConnections)},
		{e.Settings.MetricsListen, newServer(report), e.connections("metrics", e.Account.SmallConnections)},
		{e.Settings.PeerListen, rudderpeer.NewServer(e.peerHandler()), nil}, {e.Settings.BootstrapListen, e.newBootstrapServer(), nil},
	} {
		if x.address == "" {
			continue
		}
		listener, err := e.bind(x.address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		servers = append(servers, &rudderdrain.Server{HTTP: x.server, Listener: listener, Connections: x.connections})
	}
	servers[0].HTTP.ConnContext = e.rebalancer.ConnContext
	return servers, nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}
