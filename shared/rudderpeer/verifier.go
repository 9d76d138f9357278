package rudderpeer

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/twitchtv/twirp"
)

// Defaults of a Verifier.
const (
	// DefaultTimestampBound tolerates clocks that differ by some seconds.
	DefaultTimestampBound = 30 * time.Second
	DefaultMaxBodyBytes   = 4 << 20
	// DefaultMaxNonces limits the memory of the nonce cache to about 10 MB.
	DefaultMaxNonces = 1 << 16
)

// Refusals holds the numbers of refused requests by reason.
type Refusals struct {
	Signature, Timestamp, Replay, NonceCacheFull, TooLarge int64
}

// Verifier is HTTP server middleware that passes only requests with a valid signature, and each of them only once. Its
// fields must be set before the first request.
type Verifier struct {
	Keys  *Keyring
	Clock clockwork.Clock
	// Host is the peer address for which requests must be signed; empty accepts any. It prevents the replay of a
	// request to one entry host at another.
	Host string
	// TimestampBound is the maximum difference between the signed time and the local clock; 0 means
	// DefaultTimestampBound.
	TimestampBound time.Duration
	// MaxBodyBytes is the size limit of a request body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// MaxNonces is the capacity of the nonce cache; 0 means DefaultMaxNonces. Requests are refused while it is full.
	MaxNonces int

	nonces                                                 nonceCache
	signature, timestamp, replay, nonceCacheFull, tooLarge atomic.Int64
}

// Refusals returns the numbers of requests refused since the start.
func (v *Verifier) Refusals() Refusals {
	return Refusals{
		Signature: v.signature.Load(), Timestamp: v.timestamp.Load(), Replay: v.replay.Load(),
		NonceCacheFull: v.nonceCacheFull.Load(), TooLarge: v.tooLarge.Load(),
	}
}

// Wrap returns a handler that passes verified requests to next.
func (v *Verifier) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := v.verify(w, r)
		if err != nil {
			_ = twirp.WriteError(w, v.refusal(err))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func (v *Verifier) verify(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := orDefault(v.MaxBodyBytes, DefaultMaxBodyBytes)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			return nil, ErrTooLarge
		}
		return nil, fmt.Errorf("%w: %w", ErrBadSignature, err)
	}
	if v.Host != "" && r.Host != v.Host {
		return nil, ErrBadSignature
	}
	_, accepted := v.Keys.secrets()
	signedAt, nonce, err := fieldsOf(r, r.Host, body).verify(r.Header.Get(HeaderAuth), accepted)
	if err != nil {
		return nil, err
	}
	now, bound := v.Clock.Now(), orDefault(v.TimestampBound, DefaultTimestampBound)
	if now.Sub(signedAt).Abs() > bound {
		return nil, ErrTimestamp
	}
	// Nonces are kept for twice the bound, because a timestamp that is ahead of the local clock by the whole bound
	// stays valid that long.
	if err := v.nonces.use(nonce, now, 2*bound, orDefault(v.MaxNonces, DefaultMaxNonces)); err != nil {
		return nil, err
	}
	return body, nil
}

func (v *Verifier) refusal(err error) twirp.Error {
	switch {
	case errors.Is(err, ErrTooLarge):
		v.tooLarge.Add(1)
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	case errors.Is(err, ErrNonceCacheFull):
		v.nonceCacheFull.Add(1)
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	case errors.Is(err, ErrTimestamp):
		v.timestamp.Add(1)
	case errors.Is(err, ErrReplay):
		v.replay.Add(1)
	default:
		v.signature.Add(1)
	}
	return twirp.NewError(twirp.Unauthenticated, err.Error())
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
