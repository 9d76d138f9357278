package ruddercaller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"comfreyrudder.example/rudderstand/rudderoracle"
)

// Chat is one model request with one user message.
type Chat struct {
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	// Started, if not nil, is called at the first token of each attempt.
	Started func()
}

// Call is one call of a plain service.
type Call struct {
	Service string
	Method  string
	Path    string // relative to the service, with a leading slash
	Body    string
	Key     string
	// Idempotent tells whether the configuration declares the call idempotent.
	Idempotent bool
}

// Chat sends a model request, which is always safe to repeat.
func (c *Caller) Chat(ctx context.Context, q Chat) Result {
	started := time.Now()
	body, _ := json.Marshal(map[string]any{
		"model": q.Model, "max_tokens": q.MaxTokens, "stream": q.Stream,
		"messages": []map[string]string{{"role": "user", "content": q.Prompt}},
	})
	return c.sendWithRetry(ctx, func(e entry, result *Result) verdict {
		result.Answer = rudderoracle.Answer{SentAt: time.Now(), Prompt: q.Prompt, MaxTokens: q.MaxTokens}
		result.Gaps = nil
		response, err := c.post(ctx, e, http.MethodPost, "/v1/chat/completions", body, "")
		if err != nil {
			return c.lost(e, err, &result.Answer, true)
		}
		defer func() { _ = response.Body.Close() }()
		result.Answer.RequestID, result.Answer.Status = response.Header.Get("Rudder-Request-Id"), response.StatusCode
		if q.Stream && response.StatusCode == http.StatusOK {
			v := c.readStream(e, response, q, result)
			result.Waiting = result.Answer.SentAt.Add(result.FirstToken).Sub(started)
			return v
		}
		return c.readWhole(e, response, result)
	})
}

func (c *Caller) post(ctx context.Context, e entry, method, path string, body []byte, key string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return c.HTTP.Do(request)
}

func (c *Caller) readWhole(e entry, response *http.Response, result *Result) verdict {
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return c.lost(e, err, &result.Answer, true)
	}
	if response.StatusCode != http.StatusOK {
		return refused(response, text, &result.Answer, true)
	}
	var whole struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(text, &whole) == nil && len(whole.Choices) > 0 {
		result.Answer.Text = whole.Choices[0].Message.Content
	}
	result.Answer.Outcome = response.Header.Get("Rudder-Outcome")
	return verdict{}
}

// chunk is one event of a stream: a part of the text or an error.
type chunk struct {
	refusal
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Outcome string `json:"rudder_outcome"`
}

// readStream reads a streamed response. A stream that ends without an outcome counts as a lost connection.
func (c *Caller) readStream(e entry, response *http.Response, q Chat, result *Result) verdict {
	lines := bufio.NewScanner(response.Body)
	var text strings.Builder
	var last time.Time
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found || data == "[DONE]" {
			continue
		}
		var event chunk
		if json.Unmarshal([]byte(data), &event) != nil {
			break
		}
		if event.Error.Code != "" {
			result.Answer.Text = text.String()
			return refused(response, []byte(data), &result.Answer, true)
		}
		if event.Outcome != "" {
			result.Answer.Outcome = event.Outcome
		}
		if len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
			continue
		}
		text.WriteString(event.Choices[0].Delta.Content)
		now := time.Now()
		if last.IsZero() {
			result.FirstToken = now.Sub(result.Answer.SentAt)
			if q.Started != nil {
				q.Started()
			}
		} else {
			result.Gaps = append(result.Gaps, now.Sub(last))
		}
		last = now
	}
	result.Answer.Text = text.String()
	if err := lines.Err(); err != nil || result.Answer.Outcome == "" {
		return c.lost(e, err, &result.Answer, true)
	}
	return verdict{}
}

// Call sends a call of a plain service. It retries only a call that did not run or that is safe to repeat.
func (c *Caller) Call(ctx context.Context, q Call) Result {
	return c.sendWithRetry(ctx, func(e entry, result *Result) verdict {
		return c.callAt(ctx, e, q, result)
	})
}

// CallAt sends a call to one entry host, without retries.
func (c *Caller) CallAt(ctx context.Context, address string, q Call) Result {
	one := &Caller{Seeds: c.Seeds, Key: c.Key, Workspace: c.Workspace, HTTP: c.HTTP, Record: c.Record, MaxAttempts: 1}
	return one.UseEntry(address).Call(ctx, q)
}

func (c *Caller) callAt(ctx context.Context, e entry, q Call, result *Result) verdict {
	repeatable := q.Idempotent || q.Key != ""
	result.Answer = rudderoracle.Answer{SentAt: time.Now(), Service: q.Service, Key: q.Key, Idempotent: q.Idempotent}
	response, err := c.post(ctx, e, q.Method, "/v1/services/"+q.Service+q.Path, []byte(q.Body), q.Key)
	if err != nil {
		return c.lost(e, err, &result.Answer, repeatable)
	}
	defer func() { _ = response.Body.Close() }()
	result.Answer.RequestID, result.Answer.Status = response.Header.Get("Rudder-Request-Id"), response.StatusCode
	result.Body, err = io.ReadAll(response.Body)
	if err != nil {
		return c.lost(e, err, &result.Answer, repeatable)
	}
	result.Answer.Outcome = response.Header.Get("Rudder-Outcome")
	result.Replayed = response.Header.Get("Idempotent-Replayed") == "true"
	if result.Answer.Outcome != rudderoracle.OutcomeComplete {
		return refused(response, result.Body, &result.Answer, repeatable)
	}
	return verdict{}
}
