package rudderpeer

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// Transport is an http.RoundTripper that signs each request and sends it through Base.
type Transport struct {
	Keys  *Keyring
	Clock clockwork.Clock
	// Base sends the signed request, for example a Pool.
	Base http.RoundTripper
}

// NewServer returns a server for HTTP/1 and HTTP/2 cleartext.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: 5 * time.Second}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	secret, _ := t.Keys.secrets()
	if len(secret) == 0 {
		return nil, errors.CombineErrors(ErrNoSecret, closeBody(r))
	}
	var body []byte
	if r.Body != nil {
		var err error
		body, err = io.ReadAll(r.Body)
		if err = errors.CombineErrors(err, r.Body.Close()); err != nil {
			return nil, errors.Wrap(err, "read request body for signing")
		}
	}
	host := r.Host
	if host == "" {
		host = r.URL.Host
	}
	fields := fieldsOf(r, host, body)
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:]) // crypto/rand never returns an error
	fields.nonce = hex.EncodeToString(nonce[:])
	fields.timestamp = strconv.FormatInt(t.Clock.Now().UnixMilli(), 10)

	signed := r.Clone(r.Context())
	signed.Header.Set(HeaderAuth, fields.header(secret))
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	// With GetBody, the base transport could retry the request with the same nonce, which the server would refuse.
	signed.GetBody = nil
	return t.Base.RoundTrip(signed)
}

func closeBody(r *http.Request) error {
	if r.Body == nil {
		return nil
	}
	return r.Body.Close()
}
