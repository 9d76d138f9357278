package rudderstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderpath"
	"comfreyrudder.example/shared/ruddertarget"
)

// Errors of an engine stream. Callers test them with errors.Is.
var (
	// ErrNotSent reports that no connection to the engine could be opened, so that nothing was sent.
	ErrNotSent = errors.New("stream: not sent to the engine")
	// ErrRefused reports that the engine refused the request without running it.
	ErrRefused = errors.New("stream: refused by the engine")
	// ErrBadRequest reports that the engine rejected the request as invalid.
	ErrBadRequest = errors.New("stream: request rejected by the engine")
	// ErrBroken reports a stream that ended before its answer was complete.
	ErrBroken = errors.New("stream: broken")
	// ErrMalformed reports a stream that does not follow the protocol.
	ErrMalformed = errors.New("stream: malformed")
)

const (
	// maxEventBytes bounds one server-sent event, so that a faulty engine cannot exhaust the memory.
	maxEventBytes = 1 << 20
	// lineCopies is the number of copies of a long line that are held while it is read and decoded.
	lineCopies = 4
	// freeLineBytes is what a line takes without memory of the budget, so that usual ones never lack it.
	freeLineBytes = 32 << 10
)

// Event is one token of a stream, or its end.
type Event struct {
	RequestID    string
	Attempt      int
	Seq          int
	Text         string
	FinishReason string // set on the last event
	PromptTokens int    // set on the last event if the engine reports it
}

// Stream yields the events of one attempt.
type Stream struct {
	// Next returns the next event, io.EOF after the last one, or an error marked as ErrBroken or
	// ErrMalformed.
	Next func() (Event, error)
	// Close closes the connection. It may be called at any time, even while Next is waiting.
	Close func()
}

// Engine opens streams on model engines.
type Engine struct {
	Client *http.Client
	// Responses bounds the memory of lines of streams; nil sets no bound.
	Responses *rudderbody.Budget
	// OnResponse receives the header of each response that belongs to its attempt and the time at which the request was sent; optional.
	OnResponse func(address string, header http.Header, sentAt time.Time)
	// Clock is needed with OnResponse.
	Clock clockwork.Clock
}

// Open sends a request body, with the extension fields of this attempt, to a group's leader.
func (e *Engine) Open(ctx context.Context, address string, body map[string]json.RawMessage, extension ruddertarget.WorkExtension) (*Stream, error) {
	payload, err := extend(body, extension)
	if err != nil {
		return nil, errors.Mark(err, ErrBadRequest)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(payload))
	if err != nil {
		return nil, errors.Mark(err, ErrBadRequest)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	var used httptrace.GotConnInfo
	claimed, id := true, fmt.Sprintf("%s/%d", extension.RequestID, extension.Attempt)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used, claimed = info, rudderpath.Claim(info.Conn, id)
		if !claimed {
			_ = info.Conn.Close() // the HTTP client takes another one
		}
	}}
	var sentAt time.Time
	if e.OnResponse != nil {
		sentAt = e.Clock.Now()
	}
	response, err := e.Client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, sendError(err)
	}
	if !claimed { // what had arrived before the connection was closed
		_ = response.Body.Close()
		return nil, errors.Mark(errors.WithStack(net.ErrClosed), ErrNotSent)
	}
	own := isOwn(response.Header, extension, used.Reused)
	if own && e.OnResponse != nil {
		e.OnResponse(address, response.Header, sentAt)
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		if !own {
			if used.Conn != nil {
				_ = used.Conn.Close()
			}
			return nil, errors.Mark(errors.Newf("got the response for request %q", response.Header.Get(ruddertarget.HeaderRequestID)), ErrMalformed)
		}
		defer rudderpath.Retire(used.Conn, id) // most of these responses say that the engine has not run the request
		return nil, statusError(response)
	}
	reader := bufio.NewReaderSize(response.Body, 4096)
	memory := e.Responses.ReservationAbove(freeLineBytes, lineCopies)
	return &Stream{
		Next: func() (Event, error) {
			defer memory.Release()
			return nextEvent(reader, memory)
		},
		Close: func() { _ = response.Body.Close() },
	}, nil
}

// isOwn reports whether a response belongs to an attempt. One that does not say so may be a late response to an earlier
// request if the connection is reused. The chunks of a stream name their attempt themselves.
func isOwn(h http.Header, extension ruddertarget.WorkExtension, reused bool) bool {
	id := h.Get(ruddertarget.HeaderRequestID)
	if id == "" {
		return !reused
	}
	return id == extension.RequestID && h.Get(ruddertarget.HeaderAttempt) == strconv.Itoa(extension.Attempt)
}

// extend merges the extension fields into the caller's body and requests a stream.
func extend(body map[string]json.RawMessage, extension ruddertarget.WorkExtension) ([]byte, error) {
	fields, err := json.Marshal(extension)
	if err != nil {
		return nil, err
	}
	merged := make(map[string]json.RawMessage, len(body)+8)
	for name, value := range body {
		merged[name] = value
	}
	if err := json.Unmarshal(fields, &merged); err != nil {
		return nil, err
	}
	merged["stream"] = json.RawMessage("true")
	merged["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(merged)
}

// sendError marks a failure to connect as ErrNotSent, and any other one as ErrBroken, because the request may
// have arrived.
func sendError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Mark(err, ErrNotSent)
	}
	return errors.Mark(err, ErrBroken)
}

func statusError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
	err := errors.Newf("engine answered %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	switch {
	case response.Header.Get(ruddertarget.HeaderNotRun) == "true":
		return errors.Mark(err, ErrRefused)
	case response.StatusCode == http.StatusBadRequest:
		return errors.Mark(err, ErrBadRequest)
	default:
		return errors.Mark(err, ErrBroken)
	}
}

// nextEvent reads one server-sent event.
func nextEvent(reader *bufio.Reader, memory *rudderbody.Reservation) (Event, error) {
	for {
		line, err := readLine(reader, memory)
		if err != nil {
			return Event{}, err
		}
		data, found := strings.CutPrefix(line, "data:")
		if !found {
			continue // blank lines and comments
		}
		if data = strings.TrimSpace(data); data == "[DONE]" {
			return Event{}, io.EOF
		}
		return parseEvent([]byte(data))
	}
}

func readLine(reader *bufio.Reader, memory *rudderbody.Reservation) (string, error) {
	var line []byte
	for {
		part, isPrefix, err := reader.ReadLine()
		if err != nil {
			return "", errors.Mark(errors.Wrap(err, "reading the stream"), ErrBroken)
		}
		if err := memory.Resize(int64(len(line) + len(part))); err != nil {
			return "", errors.Mark(errors.Wrap(err, "reading the stream"), ErrBroken)
		}
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return "", errors.Mark(errors.New("event too long"), ErrMalformed)
		}
		if !isPrefix {
			return string(line), nil
		}
	}
}

// parseEvent decodes one chunk in OpenAI's format with the extension fields.
func parseEvent(data []byte) (Event, error) {
	var chunk struct {
		ruddertarget.ChunkExtension
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
		Usage *struct {
			PromptTokens int `json:"prompt_tokens"`
		} `json:"usage"`
		Error *struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Event{}, errors.Mark(errors.Wrap(err, "chunk is not JSON"), ErrMalformed)
	}
	if chunk.Error != nil {
		return Event{}, errors.Mark(errors.New(chunk.Error.Message), ErrBroken)
	}
	event := Event{RequestID: chunk.RequestID, Attempt: chunk.Attempt, Seq: chunk.Seq}
	if len(chunk.Choices) > 0 {
		event.Text = chunk.Choices[0].Delta.Content
		if reason := chunk.Choices[0].FinishReason; reason != nil {
			event.FinishReason = *reason
		}
	}
	if chunk.Usage != nil {
		event.PromptTokens = chunk.Usage.PromptTokens
	}
	return event, nil
}
