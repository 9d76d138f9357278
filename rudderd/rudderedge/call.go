package rudderedge

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderview"
)

// maxCallBytes bounds the body and the response of a call.
const maxCallBytes = 64 << 10

// errNotServed reports a call that the other entry host does not serve, because it is an earlier build or rejects the call.
var errNotServed = errors.New("edge: call is not served")

// callPeer calls another entry host with a body in JSON and decodes the response.
func (e *Edge) callPeer(ctx context.Context, x rudderview.EntryHost, path string, body, answer any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.Peer+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	response, err := e.peers.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err = io.ReadAll(io.LimitReader(response.Body, maxCallBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		err := errors.Newf("call of entry host %s: status %d", x.Name, response.StatusCode)
		if response.StatusCode < http.StatusInternalServerError {
			err = errors.Mark(err, errNotServed)
		}
		return err
	}
	return json.Unmarshal(text, answer)
}

// readCall decodes the body of a call of another entry host. If that fails, it answers the call and returns false.
func readCall(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxCallBytes)).Decode(body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeAnswer answers a call of another entry host.
func writeAnswer(w http.ResponseWriter, answer any) {
	text, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
