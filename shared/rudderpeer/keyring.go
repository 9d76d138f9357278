package rudderpeer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// HeaderAuth carries the signature of a peer request: "<unix ms>.<nonce>.<HMAC-SHA256>". The time is decimal, nonce
// and HMAC are hex.
const HeaderAuth = "Rudder-Peer-Auth"

// nonceBytes is long enough that an accidental repeat within the time that nonces are cached is negligible.
const nonceBytes = 12

// Errors of peer authentication.
var (
	// ErrBadSignature reports a request without a valid signature.
	ErrBadSignature = errors.New("peer authentication: bad signature")
	// ErrTimestamp reports a signed timestamp that differs too much from the local clock.
	ErrTimestamp = errors.New("peer authentication: timestamp out of bounds")
	// ErrReplay reports a nonce that was already used.
	ErrReplay = errors.New("peer authentication: nonce replayed")
	// ErrNonceCacheFull reports that the nonce cache has no room for another request.
	ErrNonceCacheFull = errors.New("peer authentication: too many requests within the timestamp bound")
	// ErrTooLarge reports a request body above the size limit.
	ErrTooLarge = errors.New("peer authentication: body too large")
	// ErrNoSecret reports a Keyring without a secret.
	ErrNoSecret = errors.New("peer authentication: no secret set")
)

// Keyring holds the shared secrets. It is safe for concurrent use.
//
// To rotate the secret, apply each of these steps to every host before the next one: sign with the old secret and also
// accept the new one; sign with the new secret and also accept the old one; remove the old secret.
type Keyring struct {
	mu       sync.RWMutex
	signing  []byte
	accepted [][]byte
}

// NewKeyring returns a keyring that signs with the first secret and accepts all given secrets.
func NewKeyring(signing []byte, alsoAccepted ...[]byte) *Keyring {
	k := &Keyring{}
	k.Set(signing, alsoAccepted...)
	return k
}

// Set replaces the secrets.
func (k *Keyring) Set(signing []byte, alsoAccepted ...[]byte) {
	accepted := make([][]byte, 0, len(alsoAccepted)+1)
	for _, s := range append([][]byte{signing}, alsoAccepted...) {
		if len(s) > 0 {
			accepted = append(accepted, slices.Clone(s))
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.signing, k.accepted = slices.Clone(signing), accepted
}

func (k *Keyring) secrets() (signing []byte, accepted [][]byte) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.signing, k.accepted
}

// signedFields are the parts of a request that its signature covers.
type signedFields struct {
	method, host, path, timestamp, nonce string
	bodyHash                             [sha256.Size]byte
}

func fieldsOf(r *http.Request, host string, body []byte) signedFields {
	return signedFields{method: r.Method, host: host, path: r.URL.RequestURI(), bodyHash: sha256.Sum256(body)}
}

func (f signedFields) mac(secret []byte) []byte {
	h := hmac.New(sha256.New, secret)
	for _, s := range []string{f.method, f.host, f.path, f.timestamp, f.nonce} {
		h.Write([]byte(s))
		h.Write([]byte{'\n'})
	}
	h.Write(f.bodyHash[:])
	return h.Sum(nil)
}

func (f signedFields) header(secret []byte) string {
	return f.timestamp + "." + f.nonce + "." + hex.EncodeToString(f.mac(secret))
}

// verify checks the header against every accepted secret and returns the signed time and the nonce. Its error does not
// say which check failed.
func (f signedFields) verify(header string, accepted [][]byte) (time.Time, string, error) {
	parts := strings.Split(header, ".")
	if len(parts) != 3 || len(parts[1]) != 2*nonceBytes {
		return time.Time{}, "", ErrBadSignature
	}
	mac, err := hex.DecodeString(parts[2])
	if err != nil {
		return time.Time{}, "", ErrBadSignature
	}
	ms, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return time.Time{}, "", ErrBadSignature
	}
	f.timestamp, f.nonce = parts[0], parts[1]
	for _, secret := range accepted {
		if hmac.Equal(mac, f.mac(secret)) {
			return time.UnixMilli(ms), f.nonce, nil
		}
	}
	return time.Time{}, "", ErrBadSignature
}
