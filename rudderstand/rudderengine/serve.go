package rudderengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"comfreyrudder.example/rudderstand/rudderrole"
	"comfreyrudder.example/shared/ruddertarget"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 8 << 20

// completionRequest is the part of an OpenAI chat completion request that the engine reads.
type completionRequest struct {
	ruddertarget.WorkExtension
	Model               string                 `json:"model"`
	Messages            []ruddertarget.Message `json:"messages"`
	MaxTokens           int                    `json:"max_tokens"`
	MaxCompletionTokens int                    `json:"max_completion_tokens"`
	Stream              bool                   `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (c completionRequest) limit() int {
	if c.MaxCompletionTokens > 0 {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

func (e *Engine) serveCompletions(w http.ResponseWriter, r *http.Request) {
	e.nameLimit(w.Header())
	var request completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		rudderrole.WriteNotRun(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if e.hangs() {
		<-r.Context().Done()
		return
	}
	w.Header().Set(ruddertarget.HeaderRequestID, request.RequestID)
	w.Header().Set(ruddertarget.HeaderAttempt, strconv.Itoa(request.Attempt))
	work := newRun(request.WorkExtension, ruddertarget.PromptText(request.Messages), request.limit())
	if refusal := e.enqueue(work, request.Model); refusal != nil {
		rudderrole.WriteNotRun(w, refusal.status, refusal.code, refusal.message)
		return
	}
	// A request is cancelled when its caller disconnects.
	defer e.cancel(work)
	response := &responder{engine: e, run: work, request: request, w: w, r: r}
	response.serve()
}

// refusal is the response to a request that is not admitted.
type refusal struct {
	status  int
	code    string
	message string
}

// enqueue adds a request to the queue or returns why it is refused.
func (e *Engine) enqueue(r *run, model string) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	role := e.holder.Role()
	switch {
	case role.Group == "" || (r.Group != "" && r.Group != role.Group):
		return &refusal{http.StatusConflict, "wrong_group", "this host is in group " + role.Group}
	case role.Rank != 0:
		return &refusal{http.StatusConflict, "not_leader", "this host has another rank"}
	case e.phase != ruddertarget.PhaseReady:
		return &refusal{http.StatusServiceUnavailable, "loading", "weights are loading"}
	case model != "" && model != role.Model:
		return &refusal{http.StatusNotFound, "model_not_found", "this group serves " + role.Model}
	case len(e.queue) >= e.Queue:
		return &refusal{http.StatusServiceUnavailable, "queue_full", "the engine's queue is full"}
	}
	e.runs.add(r)
	e.queue = append(e.queue, r)
	e.sample()
	e.notify()
	return nil
}

func joined(tokens []string) string { return strings.Join(tokens, "") }
