package rudderconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// HashSecret returns the hex SHA-256 hash of a key or token, which is the form in which the configuration stores it.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// SameHash compares a stored hash with the result of HashSecret in constant time. The stored hash may be in upper or
// lower case.
func SameHash(stored, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(strings.ToLower(stored)), []byte(hash)) == 1
}
