package rudderengine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"comfreyrudder.example/rudderstand/rudderrole"
	"comfreyrudder.example/shared/ruddertarget"
)

// KVState is the exported KV cache of a request, with which another engine can continue without a prefill of
// the prompt.
type KVState struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	// Text is the prompt and the answer so far, which are what the cache covers.
	Text string `json:"text"`
	// Generated counts the tokens of the answer so far.
	Generated int `json:"generated"`
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletions)
	mux.HandleFunc("GET /control/status", func(w http.ResponseWriter, _ *http.Request) {
		rudderrole.WriteJSON(w, http.StatusOK, e.Status())
	})
	mux.HandleFunc("POST /control/orders", rudderrole.ServeOrders(e.applyOrder, e.Status))
	mux.HandleFunc("GET /control/requests/{id}", e.serveRequest)
	mux.HandleFunc("POST /control/requests/{id}/cancel", e.serveCancel)
	mux.HandleFunc("GET /control/cache_events", e.serveCacheEvents)
	mux.HandleFunc("GET /control/kv/{id}", e.serveExport)
	mux.HandleFunc("POST /control/kv", e.serveImport)
	return mux
}

func (e *Engine) newest(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs.newest(id)
}

func writeNotFound(w http.ResponseWriter) {
	rudderrole.WriteJSON(w, http.StatusNotFound, ruddertarget.ErrorBody{Code: ruddertarget.CodeNotFound})
}

func writeBadRequest(w http.ResponseWriter, err error) {
	body := ruddertarget.ErrorBody{Code: ruddertarget.CodeRefused, Message: err.Error()}
	rudderrole.WriteJSON(w, http.StatusBadRequest, body)
}

func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	found := e.newest(r.PathValue("id"))
	if found == nil {
		writeNotFound(w)
		return
	}
	rudderrole.WriteJSON(w, http.StatusOK, found.status())
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body ruddertarget.CancelRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeBadRequest(w, err)
		return
	}
	e.mu.Lock()
	attempts := append([]*run(nil), e.runs.byID[r.PathValue("id")]...)
	e.mu.Unlock()
	found := false
	for _, attempt := range attempts {
		if body.Attempt == 0 || attempt.Attempt == body.Attempt {
			found = true
			e.cancel(attempt)
		}
	}
	if !found {
		writeNotFound(w)
		return
	}
	rudderrole.WriteJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(after, e.Clock.Now())
	e.mu.Unlock()
	rudderrole.WriteJSON(w, http.StatusOK, events)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	found := e.newest(r.PathValue("id"))
	if found == nil || !found.snapshot().started {
		writeNotFound(w)
		return
	}
	tokens := found.snapshot().tokens
	generated := found.ResumeAfter + len(tokens)
	rudderrole.WriteJSON(w, http.StatusOK, KVState{
		RequestID: found.RequestID, Attempt: found.Attempt, Generated: generated,
		Text: found.prompt + joined(tokensOf(found.seed, found.ResumeAfter)) + joined(tokens),
	})
}

// serveImport adds the state to the prefix cache, where a resume of the request finds its blocks.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var state KVState
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&state); err != nil {
		writeBadRequest(w, err)
		return
	}
	e.mu.Lock()
	e.cache.use(ruddertarget.PrefixBlocks(state.Text), e.Clock.Now())
	e.mu.Unlock()
	rudderrole.WriteJSON(w, http.StatusOK, struct{}{})
}
