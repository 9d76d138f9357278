package rudderpath

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// copyChunk is the size of the buffer for a relayed response.
const copyChunk = 8 << 10

// Refuse tells the entry host that asked for a relayed request why there is no response.
func Refuse(w http.ResponseWriter, outcome string) {
	w.Header().Set(HeaderOutcome, outcome)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// CopyResponse passes a target's response on as it arrives. It must have come on a new connection, or on one that was claimed for its
// request. onRead is called after each read. After an error the handler must abort the call, so that the response does not look
// complete.
func CopyResponse(w http.ResponseWriter, response *http.Response, onRead func()) error {
	head := ResponseHead{
		Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength, Chunked: len(response.TransferEncoding) > 0,
		Claimed: true,
	}
	text, err := head.Encode()
	if err != nil {
		return err
	}
	w.Header().Set(HeaderOutcome, OutcomeAnswered)
	if _, err := w.Write(text); err != nil {
		return err
	}
	control := http.NewResponseController(w)
	buffer := make([]byte, copyChunk)
	for {
		if err := control.Flush(); err != nil {
			return err
		}
		n, err := response.Body.Read(buffer)
		onRead()
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return writeErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
