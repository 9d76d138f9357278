package rudderhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"comfreyrudder.example/rudderd/rudderpoison"
	"comfreyrudder.example/rudderd/rudderstream"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	defaultMaxTokens = 1024
	// chatCopies is the number of copies of a body that a chat request holds: the body, its fields, the prompt, and the body
	// that is sent.
	chatCopies = 4
	// bytesPerToken is the ratio used to estimate the prompt's tokens before an engine has counted them.
	bytesPerToken = 4
)

// chatRequest holds the fields of a chat request that the entry host uses; all others are forwarded unchanged.
type chatRequest struct {
	Model               string                 `json:"model"`
	Messages            []ruddertarget.Message `json:"messages"`
	Stream              bool                   `json:"stream"`
	MaxTokens           int                    `json:"max_tokens"`
	MaxCompletionTokens int                    `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// chat serves POST /v1/chat/completions.
func (a *API) chat(c echo.Context) error {
	memory := a.Bodies.Reservation(chatCopies)
	body, err := a.readBody(c, memory)
	if err != nil {
		memory.Release()
		return err
	}
	request, parsed, err := a.parseChat(c, body)
	if err != nil {
		memory.Release()
		return err
	}
	answer := rudderstream.NewAnswer(request.ID, request.Workspace, request.Model, request.Arrived)
	defer answer.AddReader(a.Clock.Now)()
	a.Answers.Add(answer)
	answer.OnFinish(memory.Release)
	answer.SetMemory(a.Responses)
	a.Start(request, answer)
	source := answerSource{
		id: request.ID, model: request.Model, created: request.Arrived,
		read: answer.Read, includeUsage: parsed.StreamOptions.IncludeUsage,
	}
	if parsed.Stream {
		return a.writeStream(c, source, 0)
	}
	return a.writeCompletion(c, source)
}

// parseChat parses and validates a chat request and estimates its work.
func (a *API) parseChat(c echo.Context, body []byte) (rudderstream.Request, chatRequest, error) {
	var parsed chatRequest
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return rudderstream.Request{}, parsed, refuseBadRequest("the body is not a JSON object: " + err.Error())
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return rudderstream.Request{}, parsed, refuseBadRequest("the body is not a chat request: " + err.Error())
	}
	workspace := workspaceOf(c)
	if refusal := checkSupported(fields); refusal != nil {
		return rudderstream.Request{}, parsed, refusal
	}
	if refusal := a.checkChat(&parsed, c); refusal != nil {
		return rudderstream.Request{}, parsed, refusal
	}
	for name := range fields {
		// Callers must not set the fields that entry hosts send to engines. The comparison ignores case, as many JSON
		// decoders do.
		if lower := strings.ToLower(name); strings.HasPrefix(lower, "rudder_") || lower == "priority" {
			delete(fields, name)
		}
	}
	prompt := ruddertarget.PromptText(parsed.Messages)
	promptTokens := len(prompt)/bytesPerToken + 1
	estimated, class := a.Estimate(workspace.Name, promptTokens, parsed.MaxTokens)
	return rudderstream.Request{
		ID: requestIDOf(c), Workspace: workspace.Name, Firm: workspace.Firm, Model: parsed.Model,
		Body: fields, Prompt: prompt, PromptTokens: promptTokens,
		EstimatedTokens: estimated, MaxTokens: parsed.MaxTokens, Class: class,
		Fingerprint: uint64(rudderpoison.FingerprintOf(workspace.Name, body)), Parts: sharedParts(parsed.Model, parsed.Messages), Arrived: a.Clock.Now(),
	}, parsed, nil
}

// sharedParts names the messages of a prompt that other requests may share by hashes of their contents.
func sharedParts(model string, messages []ruddertarget.Message) []rudderpoison.Part {
	ids := make([]string, len(messages))
	for i, m := range messages {
		ids[i] = strconv.FormatUint(xxhash.Sum64String(m.Role+"\n"+string(m.Content)), 16)
	}
	return rudderpoison.SharedParts(model, ids)
}

// checkChat validates a chat request and sets its token limit.
func (a *API) checkChat(parsed *chatRequest, c echo.Context) *Refusal {
	workspace := workspaceOf(c)
	if len(parsed.Messages) == 0 {
		return refuseBadRequest("messages is empty")
	}
	served := false
	for _, name := range servedModels(a.Config(), workspace) {
		served = served || name == parsed.Model
	}
	if !served {
		return refuse(http.StatusNotFound, "model_not_found", "the workspace has no model "+quote(parsed.Model), "see GET /v1/models")
	}
	if parsed.MaxCompletionTokens > 0 {
		parsed.MaxTokens = parsed.MaxCompletionTokens
	}
	if parsed.MaxTokens < 0 {
		return refuseBadRequest("max_tokens is below 0")
	}
	if parsed.MaxTokens == 0 {
		parsed.MaxTokens = defaultMaxTokens
	}
	if limit := workspace.Limits.MaxTokens; limit > 0 && parsed.MaxTokens > limit {
		return refuseBadRequest("max_tokens is above the workspace's limit")
	}
	return nil
}

// quote quotes text of a caller for an error message, shortened if it is long.
func quote(text string) string {
	const maxBytes = 64
	if len(text) > maxBytes {
		text = text[:maxBytes] + "..."
	}
	return "\"" + text + "\""
}

// answerSource reads an answer, kept by this entry host or by another one, that is written to a caller.
type answerSource struct {
	id           string
	model        string
	created      time.Time
	includeUsage bool
	read         func(ctx context.Context, after int) (rudderstream.Page, error)
}

// resumeStream serves GET /v1/requests/{id}/stream?after=N.
func (a *API) resumeStream(c echo.Context) error {
	id := c.Param("id")
	var after int
	if err := echo.QueryParamsBinder(c).Int("after", &after).BindError(); err != nil || after < 0 {
		return refuseBadRequest("after is not a number of tokens")
	}
	member, ok := memberOf(id)
	if !ok {
		return refuseBadRequest("the request ID has the wrong form")
	}
	c.Response().Header().Set(HeaderRequestID, id)
	if answer, found := a.Answers.Find(id); found && answer.Workspace() == workspaceOf(c).Name {
		defer answer.AddReader(a.Clock.Now)()
		source := answerSource{id: id, model: answer.Model(), created: answer.Created(), read: answer.Read}
		return a.writeStream(c, source, after)
	}
	if member == a.Name {
		return answerNotFound()
	}
	return a.resumeRemoteStream(c, member, id, after)
}

// resumeRemoteStream resumes the stream of an answer that another entry host keeps.
func (a *API) resumeRemoteStream(c echo.Context, member, id string, after int) error {
	workspace := workspaceOf(c).Name
	if a.Serving != nil {
		ctx, cancel := context.WithCancel(c.Request().Context())
		defer cancel()
		defer context.AfterFunc(a.Serving, cancel)()
		c.SetRequest(c.Request().WithContext(ctx))
	}
	first, found := a.ReadRemote(c.Request().Context(), member, id, workspace, after)
	if !found {
		return answerNotFound()
	}
	pending := &first
	read := func(ctx context.Context, after int) (rudderstream.Page, error) {
		if pending != nil {
			page := pending.Page
			pending = nil
			return page, nil
		}
		for {
			page, found := a.ReadRemote(ctx, member, id, workspace, after)
			if ctx.Err() != nil {
				return rudderstream.Page{}, ctx.Err()
			}
			if !found {
				return rudderstream.Page{}, answerNotFound()
			}
			if page.Done || len(page.Tokens) > 0 {
				return page.Page, nil
			}
		}
	}
	source := answerSource{id: id, model: first.Model, created: first.Created, read: read}
	return a.writeStream(c, source, after)
}

// answerNotFound returns the refusal for an answer that no entry host keeps. The outcome is unknown, because the entry
// host may have died together with the answer.
func answerNotFound() *Refusal {
	r := refuse(http.StatusNotFound, "answer_not_found", "no answer is kept under this request ID", "send the request again; asking a model may be repeated")
	r.Outcome = rudderstream.OutcomeMayHaveRun
	return r
}
