package rudderstream

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against an event that crashes the parser.
func FuzzParseEvent(f *testing.F) {
	f.Add([]byte(`{"rudder_request_id":"r","rudder_attempt":1,"rudder_seq":2,"choices":[{"delta":{"content":" a"},"finish_reason":"stop"}],"usage":{"prompt_tokens":3}}`))
	f.Add([]byte(`{"choices":[{"delta":{"content":" br`))
	f.Add([]byte(`{"choices":[null],"usage":null,"error":{"message":"x"}}`))
	f.Add([]byte(`{"rudder_seq":-1,"choices":[]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		event, err := parseEvent(data)
		if err != nil {
			require.True(t, errors.Is(err, ErrMalformed) || errors.Is(err, ErrBroken))
			require.Equal(t, Event{}, event)
		}
	})
}

// Guards against a stream that crashes or blocks its reader, or ends without one of the known errors.
func FuzzNextEvent(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": comment\r\ndata:{}\r\n"))
	f.Add([]byte("data: {\"a\":"))
	f.Add([]byte("event: x\ndata:[DONE]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(data), 16)
		for range len(data) + 1 {
			if _, err := nextEvent(reader, nil); err != nil {
				require.True(t, errors.Is(err, io.EOF) || errors.Is(err, ErrBroken) || errors.Is(err, ErrMalformed), err)
				return
			}
		}
		t.Fatal("more events than bytes")
	})
}
