package ruddercapacity

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/shared/rudderpeer"
)

// startPeerServer serves a handler on a loopback port, with the signature checks of an entry host.
func startPeerServer(handler http.Handler, keys *rudderpeer.Keyring, clock clockwork.Clock) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "listen on a loopback port for peer calls")
	}
	address := listener.Addr().String()
	verifier := &rudderpeer.Verifier{Keys: keys, Clock: clock, Host: address, TimestampBound: 30 * time.Second, MaxBodyBytes: 1 << 20}
	server := rudderpeer.NewServer(verifier.Wrap(handler))
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return server, address, nil
}
