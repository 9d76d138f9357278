package rudderforward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderbalance"
	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderpoison"
	"comfreyrudder.example/rudderd/rudderroute"
	"comfreyrudder.example/rudderd/rudderview"
)

const (
	// defaultTimeout bounds a request for which neither the caller nor the route sets a limit.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes bounds a request body if the routing document sets no limit.
	defaultBodyBytes = 4 << 20
	// shortRetryAfter and longRetryAfter are the Retry-After times of refusals: short where another entry
	// host, or this one a moment later, may serve the request; long where groups have to form first.
	shortRetryAfter = 300 * time.Millisecond
	longRetryAfter  = time.Second
	// maxRetryAfter bounds the Retry-After time when all groups are full, and maxRetryShare is the share of the time left for a
	// request that callers wait for at most.
	maxRetryAfter = rudderbalance.MaxRetryAfter
	maxRetryShare = rudderbalance.MaxRetryShare
	// minRetryAfter keeps callers with hardly any time left from coming back at once.
	minRetryAfter = 50 * time.Millisecond
	// codeMemoryFull is the code of refusals of bodies that do not fit into the memory for them.
	codeMemoryFull = "memory_full"
	// extraSends is the number of additional targets, beyond the route's attempts, that a request may be sent
	// to when targets refuse it without running it.
	extraSends = 2
)

// job is the state of one request.
type job struct {
	request           Request
	method            string
	target            string // request target of the request line, unchanged
	host              string
	body              []byte
	memory            *rudderbody.Reservation // for body
	begin             time.Duration
	limit             time.Duration // time allowed, counted from begin
	route             *rudderroute.Route
	service           string
	workspace         *rudderroute.Workspace
	public            bool
	version           int64
	writer            http.ResponseWriter
	cachedFingerprint uint64
	parts             []rudderpoison.Part // parts of the prompt that other requests may share
	blockedPart       rudderpoison.Part
	trial             bool // passes although a part is blocked

	expectedTime time.Duration     // expected duration at the admission during a shutdown; 0 without one
	events       int               // events delivered to the caller
	running      *runningRequest   // nil for a request that is relayed for another entry host
	sendEvents   int               // new events of the current send
	survived     bool              // the current send has been recorded as survived
	suspectedIn  *crashCheck       // check of the last send's target, if this request may have crashed it
	answeredAt   time.Duration     // uptime of the response headers of the current send; 0 before them
	relayed      bool              // the current send goes through another entry host
	sends        int               // sends that reached a target
	runs         int               // sends that the target may have run
	unsent       int               // sends of which no byte reached a target
	moveTo       *rudderview.Group // group of the next send, chosen in advance
	moveAfter    time.Duration     // uptime from which on a move may be tried again
	hang         *hangGuard        // guard of the current send
	unanswered   bool              // the caller of a stream that has not begun is about to leave
	retryTaken   bool              // the next send has been taken from the retry budget
	deliveredAt  time.Duration     // uptime of the last event for the caller; 0 before the first one
	exclude      map[string]bool   // groups on which this request failed
	lastErr      error
	expectedWait time.Duration // expected wait for the group, from the model's owner
	pickedAt     time.Duration // uptime of the owner's answer; 0 without one
	// pickedModel is the model that the owner answered for.
	pickedModel string
	releasePick func() // notifies the model's owner that the send has ended; may be nil

	// Outcome, for the log line.
	status    int
	code      string
	group     string
	started   bool // the response headers have been sent
	abort     bool
	unread    bool // the body may not have been read to its end
	resumed   int
	firstByte time.Duration
	lastEvent string
	mediaType string // of the stream's first response
}

func (j *job) remaining(now time.Duration) time.Duration { return j.begin + j.limit - now }

func (j *job) workspaceName() string {
	if j.workspace == nil {
		return ""
	}
	return j.workspace.Name
}

// urgency returns the priority for the target's queue, 0 to 9.
func (j *job) urgency() int {
	priority := j.route.Priority
	if j.workspace != nil && j.workspace.HasPriority {
		priority = j.workspace.Priority
	}
	return min(max(priority, 0), 9)
}

// fingerprint identifies the request across retries and callers' repeated attempts.
func (j *job) fingerprint() uint64 {
	if j.cachedFingerprint == 0 {
		j.cachedFingerprint = uint64(rudderpoison.FingerprintOf(j.workspaceName()+" "+j.method+" "+j.target, j.body))
	}
	return j.cachedFingerprint
}

// release notifies the model's owner that the last send has ended.
func (j *job) release() {
	if j.releasePick != nil {
		j.releasePick()
		j.releasePick = nil
	}
}

func (j *job) excludeGroup(g *rudderview.Group) {
	if j.exclude == nil {
		j.exclude = map[string]bool{}
	}
	j.exclude[g.ID] = true
}

// refusal is an error response of this entry host.
type refusal struct {
	status     int
	code       string
	message    string
	retryAfter time.Duration
	// pausedFor is how long no group will take the request, if that is known.
	pausedFor time.Duration
}

// refuse answers the request with an error, or aborts the response if its headers have been sent.
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
		f.Logger.Error().Err(err).Msg("cannot encode error response")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	j.writer.WriteHeader(r.status)
	_, _ = j.writer.Write(body) // a failed write means that the caller has left
}

// readBody reads the whole body, so that the request can be sent again.
func (f *Forwarder) readBody(r *http.Request, j *job) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(j.writer)
	// A body that arrives later leaves too little time to serve the request.
	left := max(j.remaining(f.Uptime())-f.minServiceTime(j, f.modelOf(j)), time.Millisecond)
	_ = control.SetReadDeadline(time.Now().Add(left)) // not supported by test recorders
	read := f.trackBody(func() { _ = control.SetReadDeadline(time.Now()) })
	body, err := j.memory.Read(http.MaxBytesReader(j.writer, r.Body, f.bodyLimit()), r.ContentLength, f.bodyLimit())
	stopped := read()
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, rudderbody.ErrNoMemory):
		return memoryRefusal()
	case err != nil && stopped:
		return shutdownRefusal()
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, code: "body_too_large", message: "request body is too large"}
	case err != nil:
		// The request was valid as far as it was read, and has not run.
		return &refusal{status: http.StatusRequestTimeout, code: "body_incomplete", message: "request body did not arrive in time"}
	}
	j.body = body
	return nil
}

func memoryRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: codeMemoryFull, message: "the bodies of other requests leave no memory for this one", retryAfter: shortRetryAfter}
}

// finish logs the request and updates its metrics.
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
		line = line.Str("code", j.code).AnErr("error", j.lastErr)
	}
	if j.blockedPart != "" {
		line = line.Str("blocked_part", string(j.blockedPart))
	}
	if j.route != nil {
		line = line.Str("route", j.route.Name).Str("service", j.service).Str("workspace", j.workspaceName())
	}
	if began := time.Duration(f.shutdown.began.Load()); began > 0 {
		line = line.Dur("after_stop_ms", j.begin-began)
	}
	line.Str("group", j.group).Int("sends", j.sends).Int("runs", j.runs).Int("unsent", j.unsent).Int("resumed", j.resumed).
		Int64("version", j.version).Dur("look_age_ms", age).Dur("first_byte_ms", j.firstByte).Dur("took_ms", took).Dur("expected_wait_ms", j.expectedWait).
		Str("model", j.request.Model).Int("prompt_tokens", j.request.PromptTokens).Int("answer_tokens", j.request.AnswerTokens).
		Int("expected_tokens", j.request.ExpectedTokens).Int("events", j.events).Dur("expected_ms", j.expectedTime).
		Strs("prompt_parts", j.request.PromptParts).Msg("request ended")
}
