package rudderengine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"comfreyrudder.example/rudderstand/rudderrole"
	"comfreyrudder.example/shared/ruddertarget"
)

// answer writes one run's answer to its connection.
type answer struct {
	engine  *Engine
	run     *run
	request completionRequest
	w       http.ResponseWriter
	r       *http.Request
}

func (a *answer) serve() {
	p, ok := a.await(func(p progress) bool { return p.started })
	if !ok {
		return
	}
	if !p.started {
		a.end(p)
		return
	}
	if !a.request.Stream {
		a.whole()
		return
	}
	a.stream()
}

// await waits until a condition holds or the run has ended. It reports false when the caller left.
func (a *answer) await(done func(progress) bool) (progress, bool) {
	for {
		p := a.run.look()
		if done(p) || p.outcome != "" {
			return p, true
		}
		select {
		case <-a.r.Context().Done():
			return p, false
		case <-p.change:
		}
	}
}

// end answers a request that ended before it started, or cuts the connection.
func (a *answer) end(p progress) {
	if p.outcome == OutcomeCancelled && !p.started {
		rudderrole.WriteNotRun(a.w, http.StatusConflict, "cancelled", "cancelled while it waited")
		return
	}
	panic(http.ErrAbortHandler)
}

func (a *answer) whole() {
	p, ok := a.await(func(progress) bool { return false })
	if !ok {
		return
	}
	if p.outcome != OutcomeComplete {
		a.end(p)
	}
	text := joined(p.tokens)
	reason := a.finishReason()
	rudderrole.WriteJSON(a.w, http.StatusOK, completion{
		ChunkExtension: a.extension(a.run.length),
		head:           a.header("chat.completion"),
		Choices: []choice{{
			Message: &delta{Role: "assistant", Content: text}, FinishReason: &reason,
		}},
		Usage: a.usage(),
	})
}

func (a *answer) stream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
	sent := 0
	for {
		p, ok := a.await(func(p progress) bool { return len(p.tokens) > sent })
		if !ok {
			return
		}
		for ; sent < len(p.tokens); sent++ {
			a.token(p.tokens, sent)
		}
		a.flush()
		if p.outcome == "" {
			continue
		}
		if p.outcome != OutcomeComplete {
			a.end(p)
		}
		a.finish(sent)
		return
	}
}

// token writes the chunk of one token. The last one carries the finish reason.
func (a *answer) token(tokens []string, index int) {
	seq := a.run.ResumeAfter + index + 1
	var reason *string
	if seq == a.run.length {
		text := a.finishReason()
		reason = &text
	}
	a.disturb(seq)
	a.chunk(a.extension(seq), tokens[index], reason)
}

func (a *answer) finish(sent int) {
	if sent == 0 {
		// A resume after the last token has none left: an empty chunk repeats the last number and
		// carries the finish reason.
		reason := a.finishReason()
		a.chunk(a.extension(a.run.length), "", &reason)
	}
	if a.request.StreamOptions.IncludeUsage {
		a.event(completion{
			ChunkExtension: a.extension(a.run.length), head: a.header("chat.completion.chunk"),
			Choices: []choice{}, Usage: a.usage(),
		})
	}
	a.raw("[DONE]")
	a.flush()
}

func (a *answer) chunk(extension ruddertarget.ChunkExtension, text string, reason *string) {
	d := &delta{Content: text}
	if extension.Seq == 1 {
		d.Role = "assistant"
	}
	a.event(completion{
		ChunkExtension: extension, head: a.header("chat.completion.chunk"),
		Choices: []choice{{Delta: d, FinishReason: reason}},
	})
}

func (a *answer) event(body completion) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // the type has no values that JSON cannot hold
	}
	a.raw(string(encoded))
}

// raw writes one server-sent event. A failed write means that the caller has gone, which the
// request's context reports.
func (a *answer) raw(data string) { _, _ = fmt.Fprintf(a.w, "data: %s\n\n", data) }

func (a *answer) flush() {
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (a *answer) finishReason() string {
	if a.run.length < NaturalLength(a.run.prompt) {
		return "length"
	}
	return "stop"
}

func (a *answer) extension(seq int) ruddertarget.ChunkExtension {
	return ruddertarget.ChunkExtension{RequestID: a.run.RequestID, Attempt: a.run.Attempt, Seq: seq}
}

func (a *answer) header(object string) head {
	return head{
		ID: "chatcmpl-" + a.run.RequestID, Object: object,
		Created: a.engine.Clock.Now().Unix(), Model: a.request.Model,
	}
}

func (a *answer) usage() *usage {
	// Four bytes of prompt count as one token.
	prompt := len(a.run.prompt) / 4
	return &usage{PromptTokens: prompt, CompletionTokens: a.run.length, TotalTokens: prompt + a.run.length}
}

// head holds the fields that each OpenAI answer begins with.
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
