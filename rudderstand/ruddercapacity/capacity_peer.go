package ruddercapacity

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/shared/rudderpeer"
)

// listenPeer serves a handler as an entry host does.
func listenPeer(handler http.Handler, keys *rudderpeer.Keyring, clock clockwork.Clock) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "listen")
	}
	address := listener.Addr().String()
	verifier := &rudderpeer.Verifier{Keys: keys, Clock: clock, Host: address, TimestampBound: 30 * time.Second, MaxBodyBytes: 1 << 20}
	server := rudderpeer.NewServer(verifier.Wrap(handler))
	go func() { _ = server.Serve(listener) }() // ends with Close
	return server, address, nil
}
