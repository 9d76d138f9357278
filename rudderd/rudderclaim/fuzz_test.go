package rudderclaim

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a head that crashes the decoder, or that changes when it is decoded and encoded again.
func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"seq":3,"batch":"b","records":[{"key":"00112233445566778899aabbccddeeff","body":"00","token":"t","state":"claimed","expires_ms":5}],"segments":[{"name":"2-x","bytes":10,"records":1}]}`))
	f.Add([]byte(`{"seq":-1}`))
	f.Add([]byte(`{"records":[{"key":"","state":"claimed"}]}`))
	f.Add([]byte(`{"segments":[{"name":"../head"}]}`))
	f.Add([]byte(``))
	f.Fuzz(func(t *testing.T, value []byte) {
		head, err := DecodeHead(value)
		if err != nil {
			require.True(t, errors.Is(err, ErrCorrupt))
			return
		}
		again, err := DecodeHead(encodeStored(head, nil))
		require.NoError(t, err)
		first, err := json.Marshal(head)
		require.NoError(t, err)
		second, err := json.Marshal(again)
		require.NoError(t, err)
		require.JSONEq(t, string(first), string(second))
		d := newDriver(newFakeStore(), DefaultLimits())
		_, _ = d.store.put(putRequest(headKey(0), value))
		require.NotEmpty(t, d.claim(opaqueRequest("k", "1")), "every claim gets a verdict")
	})
}

// Guards against a segment that crashes the decoder, or loses digests when it is encoded again.
func FuzzDecodeSegment(f *testing.F) {
	f.Add([]byte(`{"records":[{"key":"00112233445566778899aabbccddeeff","state":"settled","answer":{"status":200,"body":"cGFpZA=="}}]}`))
	f.Add([]byte(`{"digests":"AAECAwQFBgc="}`))
	f.Add([]byte(`{"digests":"AAEC"}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		segment, err := DecodeSegment(value)
		if err != nil {
			require.True(t, errors.Is(err, ErrCorrupt))
			return
		}
		packed, ref := newSegment("1-x", segment.expand())
		again, err := DecodeSegment(packed)
		require.NoError(t, err)
		require.Len(t, again.expand(), len(segment.expand()))
		require.Equal(t, len(segment.expand()), ref.Records+ref.Digests)
	})
}
