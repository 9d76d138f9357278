package rudderengine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"comfreyrudder.example/rudderstand/rudderrole"
	"comfreyrudder.example/shared/ruddertarget"
)

// responder writes the response of one run to its connection.
type responder struct {
	engine  *Engine
	run     *run
	request completionRequest
	w       http.ResponseWriter
	r       *http.Request
}

func (r *responder) serve() {
	p, ok := r.await(func(p progress) bool { return p.started })
	if !ok {
		return
	}
	if !p.started {
		r.end(p)
		return
	}
	if !r.request.Stream {
		r.complete()
		return
	}
	r.stream()
}

// await waits until a condition holds or the run has ended. It reports false if the caller disconnected.
func (r *responder) await(done func(progress) bool) (progress, bool) {
	for {
		p := r.run.snapshot()
		if done(p) || p.outcome != "" {
			return p, true
		}
		select {
		case <-r.r.Context().Done():
			return p, false
		case <-p.change:
		}
	}
}

// end responds to a run that did not complete: with a refusal if it was cancelled in the queue, or else by
// closing the connection.
func (r *responder) end(p progress) {
	if p.outcome == OutcomeCancelled && !p.started {
		rudderrole.WriteNotRun(r.w, http.StatusConflict, "cancelled", "cancelled while it waited")
		return
	}
	panic(http.ErrAbortHandler)
}

func (r *responder) complete() {
	p, ok := r.await(func(progress) bool { return false })
	if !ok {
		return
	}
	if p.outcome != OutcomeComplete {
		r.end(p)
	}
	text := joined(p.tokens)
	reason := r.finishReason()
	rudderrole.WriteJSON(r.w, http.StatusOK, completion{
		ChunkExtension: r.extension(r.run.length),
		head:           r.header("chat.completion"),
		Choices: []choice{{
			Message: &delta{Role: "assistant", Content: text}, FinishReason: &reason,
		}},
		Usage: r.usage(),
	})
}

func (r *responder) stream() {
	r.w.Header().Set("Content-Type", "text/event-stream")
	r.w.WriteHeader(http.StatusOK)
	r.flush()
	sent := 0
	for {
		p, ok := r.await(func(p progress) bool { return len(p.tokens) > sent })
		if !ok {
			return
		}
		for ; sent < len(p.tokens); sent++ {
			r.token(p.tokens, sent)
		}
		r.flush()
		if p.outcome == "" {
			continue
		}
		if p.outcome != OutcomeComplete {
			r.end(p)
		}
		r.finish(sent)
		return
	}
}

// token writes the chunk of one token. The last chunk carries the finish reason.
func (r *responder) token(tokens []string, index int) {
	seq := r.run.ResumeAfter + index + 1
	var reason *string
	if seq == r.run.length {
		text := r.finishReason()
		reason = &text
	}
	r.injectFaults(seq)
	r.chunk(r.extension(seq), tokens[index], reason)
}

func (r *responder) finish(sent int) {
	if sent == 0 {
		// A resume after the last token has no token left to send: an empty chunk repeats the last sequence
		// number and carries the finish reason.
		reason := r.finishReason()
		r.chunk(r.extension(r.run.length), "", &reason)
	}
	if r.request.StreamOptions.IncludeUsage {
		r.event(completion{
			ChunkExtension: r.extension(r.run.length), head: r.header("chat.completion.chunk"),
			Choices: []choice{}, Usage: r.usage(),
		})
	}
	r.raw("[DONE]")
	r.flush()
}

func (r *responder) chunk(extension ruddertarget.ChunkExtension, text string, reason *string) {
	d := &delta{Content: text}
	if extension.Seq == 1 {
		d.Role = "assistant"
	}
	r.event(completion{
		ChunkExtension: extension, head: r.header("chat.completion.chunk"),
		Choices: []choice{{Delta: d, FinishReason: reason}},
	})
}

func (r *responder) event(body completion) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: all fields of the type can be encoded as JSON
	}
	r.raw(string(encoded))
}

// raw writes one server-sent event. A failed write means that the caller has disconnected, which the
// request's context reports.
func (r *responder) raw(data string) { _, _ = fmt.Fprintf(r.w, "data: %s\n\n", data) }

func (r *responder) flush() {
	if f, ok := r.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (r *responder) finishReason() string {
	if r.run.length < NaturalLength(r.run.prompt) {
		return "length"
	}
	return "stop"
}

func (r *responder) extension(seq int) ruddertarget.ChunkExtension {
	return ruddertarget.ChunkExtension{RequestID: r.run.RequestID, Attempt: r.run.Attempt, Seq: seq}
}

func (r *responder) header(object string) head {
	return head{
		ID: "chatcmpl-" + r.run.RequestID, Object: object,
		Created: r.engine.Clock.Now().Unix(), Model: r.request.Model,
	}
}

func (r *responder) usage() *usage {
	// The prompt is counted as one token for each 4 bytes.
	prompt := len(r.run.prompt) / 4
	return &usage{PromptTokens: prompt, CompletionTokens: r.run.length, TotalTokens: prompt + r.run.length}
}

// head holds the fields that all OpenAI responses and chunks have.
type head struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

type completion struct {
	head
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	ruddertarget.ChunkExtension
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}
