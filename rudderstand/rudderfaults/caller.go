package rudderfaults

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderhttp"
	"comfreyrudder.example/rudderstand/rudderbackend"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
)

// callerTimeout bounds a request. It covers the queue deadline and the time to generate an answer.
const callerTimeout = 12 * time.Second

// methodToken is the method of the pseudo call that a caller passes to the interceptors for each streamed
// token.
const methodToken = "TOKEN"

var workspaceKey = rudderfleetstand.WorkspaceKey(rudderfleetstand.WorkspaceName(rudderfleetstand.FirmUmuvumu, 1))

func (w *World) send(ctx context.Context, method, address, path string, body []byte, header ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+workspaceKey)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return w.client.Do(request)
}

// prompt returns a unique prompt to which the engines give an answer of the given number of tokens.
func (w *World) prompt(tokens int) string {
	return fmt.Sprintf("season %d %s", w.serial.Add(1), rudderengine.LengthMark(tokens))
}

// chat sends a model request to an entry host and records the answer.
func (w *World) chat(e *rudderscene.Entry, model, prompt string, tokens int, stream bool) rudderoracle.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	a := rudderoracle.Answer{Entry: e.Name, Prompt: prompt, MaxTokens: tokens, SentAt: time.Now()}
	body, err := json.Marshal(map[string]any{
		"model": model, "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err == nil {
		w.sendChat(ctx, &a, e.App.CallerAddress(), body, stream)
	}
	if a.Outcome == rudderoracle.OutcomeUnknown && a.RequestID != "" {
		w.resumeStream(ctx, &a, e)
	}
	w.record(a)
	return a
}

func (w *World) sendChat(ctx context.Context, a *rudderoracle.Answer, address string, body []byte, stream bool) {
	response, err := w.send(ctx, http.MethodPost, address, pathChat, body)
	if err != nil {
		a.Code = failureCode(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.RequestID, a.Status = response.Header.Get(rudderhttp.HeaderRequestID), response.StatusCode
	if stream && response.StatusCode == http.StatusOK {
		w.readEvents(a, response.Body)
		return
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	if response.StatusCode != http.StatusOK {
		readError(a, text)
		return
	}
	var whole struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(text, &whole) == nil && len(whole.Choices) > 0 {
		a.Outcome, a.Text = response.Header.Get(rudderhttp.HeaderOutcome), whole.Choices[0].Message.Content
	}
}

func readError(a *rudderoracle.Answer, text []byte) {
	var failure struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &failure) == nil {
		a.Outcome, a.Code = failure.Error.Outcome, failure.Error.Code+": "+failure.Error.Message
	}
}

// readEvents reads server-sent events until the last one or until the connection is lost.
func (w *World) readEvents(a *rudderoracle.Answer, body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Outcome string          `json:"rudder_outcome"`
			Error   json.RawMessage `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			w.addViolation(rudderoracle.OwnAnswer, "request %s: the caller got a malformed event", a.RequestID)
			return
		}
		if chunk.Error != nil {
			readError(a, []byte(data))
			return
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
			a.Text += chunk.Choices[0].Delta.Content
			w.interceptors.observe(Call{From: a.Entry, To: partyCaller, Method: methodToken, Path: a.RequestID})
		}
		if chunk.Outcome != "" {
			a.Outcome = chunk.Outcome
		}
	}
}

// codeNotSent marks a request whose connection could not be opened, so that it was never sent.
const codeNotSent = "not_sent"

// failureCode returns the code recorded for a request that got no answer.
func failureCode(err error) string {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return codeNotSent
	}
	return err.Error()
}

// resumeStream reads the rest of an answer from another entry host after the connection was lost.
func (w *World) resumeStream(ctx context.Context, a *rudderoracle.Answer, lost *rudderscene.Entry) {
	for _, e := range w.live() {
		if e == lost {
			continue
		}
		path := fmt.Sprintf("/v1/requests/%s/stream?after=%d", a.RequestID, countTokens(a))
		response, err := w.send(ctx, http.MethodGet, e.App.CallerAddress(), path, nil)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode == http.StatusOK {
			w.readEvents(a, response.Body)
		}
		return
	}
}

// countTokens returns how many tokens of the expected answer were received. It assumes that the received text
// is a prefix of that answer.
func countTokens(a *rudderoracle.Answer) int {
	tokens := rudderengine.ExpectedTokens(rudderoracle.PromptOf(a.Prompt), a.MaxTokens)
	length := 0
	for i, token := range tokens {
		if length >= len(a.Text) {
			return i
		}
		length += len(token)
	}
	return len(tokens)
}

// call sends a payment to the plain service through an entry host and records the answer. With an empty key it
// sends no idempotency key.
func (w *World) call(e *rudderscene.Entry, key, body string) rudderoracle.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	a := rudderoracle.Answer{Entry: e.Name, Service: rudderfleetstand.ServiceLedger, Key: key, SentAt: time.Now()}
	var header []string
	if key != "" {
		header = []string{rudderhttp.HeaderIdempotencyKey, key}
	}
	path := "/v1/services/" + rudderfleetstand.ServiceLedger + "/payments"
	response, err := w.send(ctx, http.MethodPost, e.App.CallerAddress(), path, []byte(body), header...)
	if err != nil {
		a.Code = failureCode(err)
	} else {
		defer func() { _ = response.Body.Close() }()
		w.readCall(&a, response, body)
	}
	w.record(a)
	return a
}

func (w *World) readCall(a *rudderoracle.Answer, response *http.Response, body string) {
	a.RequestID, a.Status = response.Header.Get(rudderhttp.HeaderRequestID), response.StatusCode
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	a.Outcome = response.Header.Get(rudderhttp.HeaderOutcome)
	var reply rudderbackend.Reply
	switch {
	case response.StatusCode != http.StatusOK:
		readError(a, text)
	case json.Unmarshal(text, &reply) != nil || reply.Echo != body:
		w.addViolation(rudderoracle.OwnAnswer, "call %s got another call's answer: %s", a.RequestID, text)
	}
}
