package rudderhttp

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"comfreyrudder.example/rudderd/rudderstream"
)

// completion is a whole completion or a chunk of a stream, in OpenAI's format. The fields rudder_outcome and rudder_seq
// are extensions.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Seq is the number of tokens up to and including this chunk. A caller passes it as "after" to resume the stream.
	Seq     int                  `json:"rudder_seq,omitempty"`
	Outcome rudderstream.Outcome `json:"rudder_outcome,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// newCompletion returns a completion with the fields that all objects of this answer have in common.
func (s answerSource) newCompletion(object string) completion {
	return completion{ID: s.id, Object: object, Created: s.created.Unix(), Model: s.model}
}

func usageOf(result rudderstream.Result, tokens int) *usage {
	return &usage{PromptTokens: result.PromptTokens, CompletionTokens: tokens, TotalTokens: result.PromptTokens + tokens}
}

// writeCompletion waits for the whole answer and writes it as one JSON object.
func (a *API) writeCompletion(c echo.Context, source answerSource) error {
	var tokens []string
	for {
		page, err := source.read(c.Request().Context(), len(tokens))
		if err != nil {
			return refusalOfReadError(err)
		}
		tokens = append(tokens, page.Tokens...)
		if !page.Done {
			continue
		}
		if page.Result.Outcome != rudderstream.OutcomeComplete {
			return a.refusalOf(page.Result)
		}
		whole := source.newCompletion("chat.completion")
		whole.Outcome = rudderstream.OutcomeComplete
		whole.Choices = []choice{{
			Message:      &message{Role: "assistant", Content: strings.Join(tokens, "")},
			FinishReason: &page.Result.FinishReason,
		}}
		whole.Usage = usageOf(page.Result, len(tokens))
		c.Response().Header().Set(HeaderOutcome, string(rudderstream.OutcomeComplete))
		return c.JSON(http.StatusOK, whole)
	}
}

// refusalOfReadError converts the error of reading an answer. Such errors mostly mean that the caller has disconnected, so
// that the refusal reaches only the log.
func refusalOfReadError(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	r := refuse(http.StatusServiceUnavailable, rudderstream.CodeAbandoned, err.Error(), "pick the answer up at GET /v1/requests/{id}/stream")
	r.Outcome = rudderstream.OutcomeMayHaveRun
	return r
}

// writeStream writes the answer as server-sent events. The status line is written with the first token, so
// that a request which fails earlier gets an error status.
func (a *API) writeStream(c echo.Context, source answerSource, after int) error {
	writer := &eventWriter{response: c.Response(), controller: http.NewResponseController(c.Response())}
	for {
		page, err := source.read(c.Request().Context(), after)
		if err != nil {
			return a.endStream(c, writer, refusalOfReadError(err))
		}
		for _, token := range page.Tokens {
			after++
			chunk := source.newCompletion("chat.completion.chunk")
			chunk.Seq = after
			chunk.Choices = []choice{{Delta: &message{Role: "assistant", Content: token}}}
			writer.send(chunk)
		}
		writer.flush()
		if page.Done {
			if page.Result.Outcome != rudderstream.OutcomeComplete {
				return a.endStream(c, writer, a.refusalOf(page.Result))
			}
			writer.finish(source, page.Result, after)
			return nil
		}
		if writer.err != nil {
			a.Logger.Debug().Err(writer.err).Str("request_id", source.id).Msg("caller's connection lost")
			return nil
		}
	}
}

// endStream ends a stream that failed: with an error status if nothing has been written, else with an
// error event.
func (a *API) endStream(c echo.Context, writer *eventWriter, refusal *Refusal) error {
	if !writer.started {
		return refusal
	}
	writer.send(refusal.body(c.Response().Header().Get(HeaderRequestID)))
	writer.end(refusal.Outcome)
	return nil
}

// eventWriter writes server-sent events.
type eventWriter struct {
	response   *echo.Response
	controller *http.ResponseController
	started    bool
	err        error
}

// streamWriteTimeout bounds how long a write may block because the caller does not read from its connection.
const streamWriteTimeout = 30 * time.Second

func (w *eventWriter) start() {
	if w.started {
		return
	}
	w.started = true
	header := w.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("Trailer", HeaderOutcome)
	w.response.WriteHeader(http.StatusOK)
}

func (w *eventWriter) send(event any) {
	w.start()
	data, err := json.Marshal(event)
	if err != nil {
		w.err = err
		return
	}
	w.write("data: " + string(data) + "\n\n")
}

func (w *eventWriter) write(text string) {
	if w.err != nil {
		return
	}
	_ = w.controller.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	_, w.err = w.response.Write([]byte(text))
}

func (w *eventWriter) flush() {
	if w.started && w.err == nil {
		w.err = w.controller.Flush()
	}
}

// finish writes the last events of a complete answer.
func (w *eventWriter) finish(source answerSource, result rudderstream.Result, tokens int) {
	last := source.newCompletion("chat.completion.chunk")
	last.Outcome = rudderstream.OutcomeComplete
	last.Seq = tokens
	last.Choices = []choice{{Delta: &message{}, FinishReason: &result.FinishReason}}
	w.send(last)
	if source.includeUsage {
		total := source.newCompletion("chat.completion.chunk")
		total.Choices = []choice{}
		total.Usage = usageOf(result, tokens)
		w.send(total)
	}
	w.write("data: [DONE]\n\n")
	w.end(rudderstream.OutcomeComplete)
}

// end sets the outcome trailer and clears the write deadline, so that the connection can be reused.
func (w *eventWriter) end(outcome rudderstream.Outcome) {
	w.response.Header().Set(HeaderOutcome, string(outcome))
	w.flush()
	_ = w.controller.SetWriteDeadline(time.Time{})
}
