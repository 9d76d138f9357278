package rudderconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// HashSecret returns the form in which keys and tokens are stored: hex SHA-256.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// SameHash compares a stored hash with that of a secret in constant time. Stored hashes may be in
// either case.
func SameHash(stored, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(strings.ToLower(stored)), []byte(hash)) == 1
}
