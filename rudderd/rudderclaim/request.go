package rudderclaim

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrBadKey reports an Idempotency-Key or Idempotency-Key-Time that cannot be used. The call did not run.
var ErrBadKey = errors.New("claim: bad idempotency key")

// MaxKeyBytes is the longest accepted Idempotency-Key.
const MaxKeyBytes = 256

// Call is a plain call that carries an idempotency key.
type Call struct {
	Workspace string
	Service   string
	Key       string // header Idempotency-Key
	KeyTime   string // header Idempotency-Key-Time, RFC 3339 or milliseconds since the Unix epoch; may be empty
	Method    string
	Path      string // with the query
	Body      []byte
}

// NewRequest makes the claim request of a call with a new token. It returns ErrBadKey.
func NewRequest(call Call) (Request, error) {
	if call.Key == "" || len(call.Key) > MaxKeyBytes {
		return Request{}, errors.Wrapf(ErrBadKey, "length %d is not within 1 to %d", len(call.Key), MaxKeyBytes)
	}
	keyTime, err := parseKeyTime(call.Key, call.KeyTime)
	if err != nil {
		return Request{}, err
	}
	return Request{
		key: digest(call.Workspace, call.Service, call.Key),
		// The time is part of the body digest: a key that comes back with another time is a conflict.
		body:      digest(call.Method, call.Path, strconv.FormatInt(keyTime, 10), string(call.Body)),
		token:     newToken(),
		keyTimeMS: keyTime,
	}, nil
}

func newToken() string {
	return rand.Text()
}

// digest hashes the parts with their lengths, so that no two lists of parts hash alike.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		writePart(h, p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func writePart(h hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:])
	h.Write([]byte(part))
}

// parseKeyTime returns the time of a key in milliseconds since the Unix epoch, or 0 for an opaque key.
func parseKeyTime(key, header string) (int64, error) {
	if header != "" {
		if ms, err := strconv.ParseInt(header, 10, 64); err == nil && ms > 0 {
			return ms, nil
		}
		t, err := time.Parse(time.RFC3339, header)
		if err != nil || t.UnixMilli() <= 0 {
			return 0, errors.Wrapf(ErrBadKey, "Idempotency-Key-Time %q is neither RFC 3339 nor milliseconds", header)
		}
		return t.UnixMilli(), nil
	}
	return uuidTime(key), nil
}

// uuidTime returns the time of a UUIDv7 in milliseconds, or 0 for any other key.
func uuidTime(key string) int64 {
	if len(key) != 36 || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' || key[14] != '7' {
		return 0
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 || raw[8]&0xc0 != 0x80 {
		return 0
	}
	return int64(binary.BigEndian.Uint64(raw[:8]) >> 16)
}

// Shard returns the index of the shard that remembers the key.
func (r Request) Shard() int {
	raw, err := hex.DecodeString(r.key[:min(len(r.key), 2)])
	if err != nil || len(raw) == 0 {
		return 0
	}
	return int(raw[0]) % ShardCount
}
