package rudderforward

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderpoison"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// defaultTimeout bounds a request for which neither the caller nor the route sets a limit.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes bounds a body while the routing document sets no limit.
	defaultBodyBytes = 4 << 20
	// shortPause and longPause are told to refused callers: a short one where another entry host or the
	// next moment may serve, a long one where groups have to form first.
	shortPause = 300 * time.Millisecond
	longPause  = time.Second
	// longestPause is told at most where all groups are full.
	longestPause = 3 * time.Second
	// extraSends is how many more targets than the route's attempts a request may be sent to when
	// targets refuse it unrun.
	extraSends = 2
)

// job is one request on its way.
type job struct {
	request   Request
	method    string
	target    string // request line's target, as it came
	host      string
	body      []byte
	begin     time.Duration
	limit     time.Duration // from begin
	route     *rudderroute.Route
	service   string
	workspace *rudderroute.Workspace
	public    bool
	version   int64
	writer    http.ResponseWriter
	print     uint64

	sends   int // requests that reached a target
	runs    int // sends that may have run
	unsent  int
	exclude map[string]bool
	last    error
	wait    time.Duration // expected wait for the group, by its owner's word
	picked  time.Duration // uptime of the owner's word; 0 without one
	// pickedModel is the model that the owner answered for.
	pickedModel string
	ticket      func() // tells the owner of the model that the send has ended; nil for none

	// Outcome, for the log line.
	status    int
	code      string
	group     string
	started   bool // the answer's head is out
	abort     bool
	resumed   int
	firstByte time.Duration
	lastEvent string
}

func (j *job) remaining(now time.Duration) time.Duration { return j.begin + j.limit - now }

func (j *job) workspaceName() string {
	if j.workspace == nil {
		return ""
	}
	return j.workspace.Name
}

// urgency is the priority for the target's own queue, 0 to 9.
func (j *job) urgency() int {
	priority := j.route.Priority
	if j.workspace != nil && j.workspace.HasPriority {
		priority = j.workspace.Priority
	}
	return min(max(priority, 0), 9)
}

// fingerprint identifies the request however often it is sent.
func (j *job) fingerprint() uint64 {
	if j.print == 0 {
		j.print = uint64(rudderpoison.FingerprintOf(j.workspaceName()+" "+j.method+" "+j.target, j.body))
	}
	return j.print
}

// release tells the owner of the model that the last send has ended.
func (j *job) release() {
	if j.ticket != nil {
		j.ticket()
		j.ticket = nil
	}
}

func (j *job) excludeGroup(g *rudderview.Group) {
	if j.exclude == nil {
		j.exclude = map[string]bool{}
	}
	j.exclude[g.ID] = true
}

// refusal ends a request without a target's answer.
type refusal struct {
	status     int
	code       string
	message    string
	retryAfter time.Duration
	// known is the time for which no group will take the request, where that is known.
	known time.Duration
}

// refuse answers with an error of this entry host.
func (f *Forwarder) refuse(j *job, r refusal) {
	j.status, j.code = r.status, r.code
	f.Metrics.Count("refusals." + r.code + "." + lateness(f.Uptime()-j.begin, j.limit))
	if j.started {
		j.abort = true
		return
	}
	header := j.writer.Header()
	header.Set("Content-Type", "application/json")
	if r.retryAfter > 0 {
		f.Protocol.SetRetryAfter(header, r.retryAfter)
	}
	body, err := json.Marshal(struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}{struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}{r.code, r.message}})
	if err != nil {
		f.Logger.Error().Err(err).Msg("error body cannot be encoded")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	j.writer.WriteHeader(r.status)
	_, _ = j.writer.Write(body) // the caller may have left; its answer is lost with it
}

// readBody reads the whole body, so that the request can be sent again.
func (f *Forwarder) readBody(r *http.Request, j *job) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	limit := int64(defaultBodyBytes)
	if table := f.View.Snapshot().Table; table != nil && table.Limits().BodyBytes > 0 {
		limit = table.Limits().BodyBytes
	}
	control := http.NewResponseController(j.writer)
	// A body that comes later than this cannot be served in time.
	left := max(j.remaining(f.Uptime())-f.leastTime(j, f.modelOf(j)), time.Millisecond)
	_ = control.SetReadDeadline(time.Now().Add(left)) // not supported by test recorders
	body, err := io.ReadAll(http.MaxBytesReader(j.writer, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, code: "body_too_large", message: "request body is too large"}
	case err != nil:
		// The request was proper as far as it came, and has not run.
		return &refusal{status: http.StatusRequestTimeout, code: "body_incomplete", message: "request body did not arrive in time"}
	}
	j.body = body
	return nil
}

// finish logs and counts one request.
func (f *Forwarder) finish(j *job) {
	now := f.Uptime()
	took := now - j.begin
	outcome := "complete"
	switch {
	case j.code == "":
	case j.runs > 0:
		outcome = "may_have_run"
	default:
		outcome = "not_run"
	}
	f.Metrics.Count("requests." + outcome)
	if j.code != "" {
		f.Metrics.Count("requests.code." + j.code)
	}
	f.Metrics.Observe("requests.total_ms", took)
	if j.firstByte > 0 {
		f.Metrics.Observe("requests.first_byte_ms", j.firstByte)
	}
	age, _ := f.View.Staleness()
	line := f.Logger.Info().Str("request_id", j.request.ID).Str("outcome", outcome).Int("status", j.status)
	if j.code != "" {
		line = line.Str("code", j.code).AnErr("error", j.last)
	}
	if j.route != nil {
		line = line.Str("route", j.route.Name).Str("service", j.service).Str("workspace", j.workspaceName())
	}
	line.Str("group", j.group).Int("sends", j.sends).Int("runs", j.runs).Int("unsent", j.unsent).Int("resumed", j.resumed).
		Int64("version", j.version).Dur("look_age_ms", age).Dur("first_byte_ms", j.firstByte).Dur("took_ms", took).Dur("expected_wait_ms", j.wait).
		Str("model", j.request.Model).Int("prompt_tokens", j.request.PromptTokens).Int("answer_tokens", j.request.AnswerTokens).
		Msg("request ended")
}
