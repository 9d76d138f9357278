package rudderpeer

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Verifies that no authentication header makes the verifier panic or is accepted without the secret.
func FuzzAuthenticationHeader(f *testing.F) {
	clock := clockwork.NewFakeClockAt(time.UnixMilli(1_800_000_000_000))
	otherKeys := NewKeyring([]byte("another secret of some length"))
	request := httptest.NewRequest(http.MethodPost, "http://10.0.0.1:7000/twirp/x", bytes.NewReader([]byte("body")))
	fields := fieldsOf(request, request.Host, []byte("body"))
	fields.timestamp, fields.nonce = "1800000000000", "000102030405060708090a0b0c0d0e0f"
	secret, _ := otherKeys.secrets()
	f.Add(fields.header(secret), []byte("body"))
	f.Add("1800000000000.000102030405060708090a0b0c0d0e0f.", []byte("body"))
	f.Add("9223372036854775807.000102030405060708090a0b0c0d0e0f.00", []byte(nil))
	f.Add("-1...", []byte("body"))
	f.Add("", []byte("body"))
	f.Fuzz(func(t *testing.T, header string, body []byte) {
		v := &Verifier{Keys: NewKeyring([]byte("the secret of the entry hosts")), Clock: clock, Host: "10.0.0.1:7000"}
		r := httptest.NewRequest(http.MethodPost, "http://10.0.0.1:7000/twirp/x", bytes.NewReader(body))
		r.Header.Set(HeaderAuth, header)
		w := httptest.NewRecorder()
		v.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			t.Error("request signed without the secret was accepted")
		})).ServeHTTP(w, r)
		require.Equal(t, http.StatusUnauthorized, w.Code)
		require.Equal(t, Refusals{Signature: 1}, v.Refusals())
	})
}
