// Package rudderservice dispatches calls to plain services. Calls that the configuration declares idempotent
// are retried. A call with an idempotency key first claims the key and is then dispatched at most once, as are
// all other calls. Each call ends with exactly one outcome.
package rudderservice

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderclaim"
	"comfreyrudder.example/shared/rudderresponse"
	"comfreyrudder.example/shared/ruddertarget"
)

// Outcome states whether a call ran.
type Outcome string

// Outcomes of a call. OutcomeNotRun is reported only when no byte of the call can have reached a target, or
// when the target itself refused the call.
const (
	OutcomeComplete   Outcome = "complete"
	OutcomeNotRun     Outcome = "not_run"
	OutcomeMayHaveRun Outcome = "may_have_run"
)

// Code is the machine-readable reason for an outcome other than complete. It is part of the error response.
type Code string

// Codes of calls that did not complete.
const (
	CodeNoTarget         Code = "no_target"
	CodeEvacuated        Code = "evacuated"
	CodeUnreachable      Code = "target_unreachable"
	CodeRefused          Code = "target_refused"
	CodeInterrupted      Code = "target_interrupted"
	CodeSilent           Code = "target_silent"
	CodeTimeout          Code = "timeout"
	CodeCancelled        Code = "cancelled"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeAnswerTooLarge   Code = "answer_too_large"
	CodeMemoryFull       Code = "memory_full"
	CodeBadRequest       Code = "bad_request"
	CodeKeyRequired      Code = "idempotency_key_required"
	CodeBadKey           Code = "bad_idempotency_key"
	CodeKeyConflict      Code = "idempotency_key_conflict"
	CodeKeyExpired       Code = "idempotency_key_expired"
	CodeKeyInUse         Code = "idempotency_key_in_use"
	CodeNoPermit         Code = "entry_not_ready"
	CodeClaimsFull       Code = "claims_full"
	CodeClaimUnavailable Code = "claims_unavailable"
)

// Marks of errors of AcquireTarget.
var (
	// ErrNotReady marks an error that is due to this entry host.
	ErrNotReady = errors.New("service: entry host is not ready")
	// ErrEvacuated reports that all targets of the service are in evacuated data centres.
	ErrEvacuated = errors.New("service: all targets are in evacuated data centres")
)

// Headers of calls with an idempotency key.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderKeyTime = "Idempotency-Key-Time"
)

// Call is one call to a plain service.
type Call struct {
	RequestID string
	Workspace string
	Service   string
	Method    string
	Path      string // below /v1/services/{service}, starting with a slash
	RawQuery  string
	Header    http.Header
	Body      []byte
	// RequireKey refuses a call that is neither declared idempotent nor carries an idempotency key.
	RequireKey bool
	// Memory is reserved for the response's body; nil sets no bound. The caller releases it after it has used the response.
	Memory *rudderbody.Reservation
}

// Result is the result of a call. When the outcome is complete, Status, Header and Body are the target's
// response; otherwise Status is the status to respond with, and Code and Reason explain it.
type Result struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Code    Code
	Reason  string
	// Replayed is set when the response is the stored one of an earlier call with the same key.
	Replayed bool
	// Target is the address of the last target that was tried.
	Target string
}

// Dispatcher dispatches calls to plain services. The exported fields are set before the first call.
type Dispatcher struct {
	// AcquireTarget selects a target for the call, other than the excluded addresses, and reserves a slot on it.
	// release frees the slot.
	AcquireTarget func(ctx context.Context, call *Call, exclude []string) (address string, release func(), err error)
	// IsIdempotent reports whether the configuration declares the call idempotent.
	IsIdempotent func(service, method, path string) bool
	// Claim, Settle and Release are the methods of rudderclaim.Claims.
	Claim   func(ctx context.Context, request rudderclaim.Request) (rudderclaim.Decision, error)
	Settle  func(request rudderclaim.Request, answer *rudderclaim.Answer)
	Release func(request rudderclaim.Request)
	// Probe reads the target's status over a new connection. Nil disables probing.
	Probe func(ctx context.Context, address string) (ruddertarget.Status, error)
	// CheckPermit returns an error while this entry host must not dispatch; a nil function means no check. It is
	// called right before each attempt, because the permit may expire during the wait for a claim or a slot.
	CheckPermit func() error
	// TakeRetry takes one retry from the retry budget and reports whether there was one.
	TakeRetry func() bool
	// OnResponse receives the header of each response of a target and the time at which the call was sent; optional.
	OnResponse func(address string, header http.Header, sentAt time.Time)
	// Transport sends the calls, so that tests can inject network faults; nil uses the network directly. It must
	// open a new connection for each call that is not declared idempotent.
	Transport http.RoundTripper
	// Dial opens the connections if Transport is nil; nil uses the network. Wrap, if not nil, wraps the transports then.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Wrap func(http.RoundTripper) http.RoundTripper
	// Responses bounds the memory of responses, but for that of their heads with Transport; nil sets no bound.
	Responses *rudderbody.Budget

	Clock  clockwork.Clock
	Logger zerolog.Logger

	Timeout          time.Duration // of the whole call, retries included; 0 means 60 s
	ConnectTimeout   time.Duration // also bounds a probe; 0 means 1 s
	ProbeInterval    time.Duration // wait before each probe; 0 means 3 s
	MaxBodyBytes     int64         // 0 means 4 MiB
	MaxResponseBytes int64         // 0 means 16 MiB

	once       sync.Once
	fresh      http.RoundTripper // opens a new connection for each call
	persistent http.RoundTripper
	naming     sync.Map // addresses of the targets whose last response named its request
}

// Do dispatches a call and returns its final result.
func (d *Dispatcher) Do(ctx context.Context, call Call) Result {
	d.init()
	if int64(len(call.Body)) > d.MaxBodyBytes {
		return notRun(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is larger than the limit")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, d.Clock, d.Timeout)
	defer cancel()
	switch {
	case d.IsIdempotent(call.Service, call.Method, call.Path):
		return d.doIdempotent(ctx, &call)
	case call.Header.Get(HeaderKey) != "":
		return d.doKeyed(ctx, &call)
	case call.RequireKey:
		return notRun(http.StatusBadRequest, CodeKeyRequired, "the workspace requires an Idempotency-Key for this call")
	}
	return d.attemptOnce(ctx, &call)
}

func (d *Dispatcher) init() {
	d.once.Do(func() {
		setDefault(&d.Timeout, time.Minute)
		setDefault(&d.ConnectTimeout, time.Second)
		setDefault(&d.ProbeInterval, 3*time.Second)
		setDefault(&d.MaxBodyBytes, 4<<20)
		setDefault(&d.MaxResponseBytes, 16<<20)
		if d.Transport != nil {
			d.fresh, d.persistent = d.Transport, d.Transport
			return
		}
		fresh := d.newTransport()
		// net/http resends a request on its own when a reused connection breaks and the request looks
		// repeatable, that is, it has no body and its method is GET or it carries an Idempotency-Key. A new
		// connection for each call prevents that, and also that an unresponsive connection is reused.
		fresh.DisableKeepAlives = true
		d.fresh, d.persistent = &rudderresponse.Transport{Base: fresh}, &rudderresponse.Transport{Base: d.newTransport()}
		if d.Wrap != nil {
			d.fresh, d.persistent = d.Wrap(d.fresh), d.Wrap(d.persistent)
		}
		d.fresh = &rudderbody.Transport{Base: d.fresh, Budget: d.Responses, Streamed: true}
		d.persistent = &rudderbody.Transport{Base: d.persistent, Budget: d.Responses, Streamed: true}
	})
}

func setDefault[T time.Duration | int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func notRun(status int, code Code, reason string) Result {
	return Result{Outcome: OutcomeNotRun, Status: status, Code: code, Reason: reason}
}

func mayHaveRun(status int, code Code, reason string) Result {
	return Result{Outcome: OutcomeMayHaveRun, Status: status, Code: code, Reason: reason}
}

// attemptOnce dispatches a call that must not be retried.
func (d *Dispatcher) attemptOnce(ctx context.Context, call *Call) Result {
	address, release, err := d.AcquireTarget(ctx, call, nil)
	if err != nil {
		return noTarget(err)
	}
	defer release()
	return d.attempt(ctx, d.fresh, address, call, nil)
}

func noTarget(err error) Result {
	if errors.Is(err, ErrNotReady) {
		return notRun(http.StatusServiceUnavailable, CodeNoPermit, err.Error())
	}
	if errors.Is(err, ErrEvacuated) {
		return notRun(http.StatusServiceUnavailable, CodeEvacuated, err.Error())
	}
	return notRun(http.StatusServiceUnavailable, CodeNoTarget, err.Error())
}

// doIdempotent retries on other targets until a response arrives, the deadline passes, no target is left or the
// retry budget is empty.
func (d *Dispatcher) doIdempotent(ctx context.Context, call *Call) Result {
	var tried []string
	var last Result
	address, release, err := d.AcquireTarget(ctx, call, nil)
	if err != nil {
		return noTarget(err)
	}
	for {
		tried = append(slices.Clone(tried), address)
		var next string
		var releaseNext func()
		result := d.attempt(ctx, d.idempotentTransport(address), address, call, func(ctx context.Context) bool {
			if !d.TakeRetry() {
				return false
			}
			other, releaseOther, err := d.AcquireTarget(ctx, call, tried)
			next, releaseNext = other, releaseOther
			return err == nil
		})
		release()
		last = mergeOutcome(last, result)
		moved := releaseNext != nil
		final := result.Outcome == OutcomeComplete || result.Code == CodeAnswerTooLarge || result.Code == CodeBadRequest
		if final || ctx.Err() != nil || !moved && !d.TakeRetry() {
			if moved {
				releaseNext()
			}
			return last
		}
		if !moved {
			if next, releaseNext, err = d.AcquireTarget(ctx, call, tried); err != nil {
				return last
			}
		}
		address, release = next, releaseNext
	}
}

// mergeOutcome returns the latest result, with the outcome may_have_run if the latest attempt did not run but an
// earlier one may have.
func mergeOutcome(earlier, latest Result) Result {
	if latest.Outcome == OutcomeNotRun && earlier.Outcome == OutcomeMayHaveRun {
		latest.Outcome = OutcomeMayHaveRun
	}
	return latest
}

// doKeyed claims the key and dispatches the call once. It then settles the claim of a complete call and
// releases that of a call that did not run; a call that may have run keeps its claim.
func (d *Dispatcher) doKeyed(ctx context.Context, call *Call) Result {
	request, err := rudderclaim.NewRequest(rudderclaim.Call{
		Workspace: call.Workspace, Service: call.Service,
		Key: call.Header.Get(HeaderKey), KeyTime: call.Header.Get(HeaderKeyTime),
		Method: call.Method, Path: call.Path + "?" + call.RawQuery, Body: call.Body,
	})
	if err != nil {
		return notRun(http.StatusBadRequest, CodeBadKey, err.Error())
	}
	decision, err := d.Claim(ctx, request)
	if err != nil {
		if !errors.Is(err, rudderclaim.ErrUnavailable) {
			d.Logger.Error().Err(err).Str("request_id", call.RequestID).Msg("cannot claim idempotency key")
		}
		return notRun(http.StatusServiceUnavailable, CodeClaimUnavailable, "the idempotency key could not be recorded")
	}
	if decision.Verdict != rudderclaim.VerdictGranted {
		return resultOfClaim(decision)
	}
	result := d.attemptOnce(ctx, call)
	switch result.Outcome {
	case OutcomeNotRun:
		d.Release(request)
	case OutcomeComplete:
		d.Settle(request, storedAnswer(result))
	}
	return result
}

// resultOfClaim returns the result of a call whose claim was not granted: the stored answer of the earlier
// call with the same key, or a refusal.
func resultOfClaim(decision rudderclaim.Decision) Result {
	switch decision.Verdict {
	case rudderclaim.VerdictStored:
		a := decision.Answer
		return Result{Outcome: OutcomeComplete, Status: a.Status, Header: a.Header, Body: a.Body, Replayed: true}
	case rudderclaim.VerdictMayHaveRun:
		return mayHaveRun(http.StatusConflict, CodeKeyInUse, "the key was used before and its answer is not known")
	case rudderclaim.VerdictConflict:
		return notRun(http.StatusConflict, CodeKeyConflict, "the key was used with another request")
	case rudderclaim.VerdictExpired:
		return notRun(http.StatusUnprocessableEntity, CodeKeyExpired, "the key is older than the retention")
	case rudderclaim.VerdictFuture:
		return notRun(http.StatusUnprocessableEntity, CodeBadKey, "the key's time is in the future")
	case rudderclaim.VerdictFull:
		return notRun(http.StatusServiceUnavailable, CodeClaimsFull, "no space for opaque keys; use UUIDv7 keys or Idempotency-Key-Time")
	}
	return notRun(http.StatusServiceUnavailable, CodeClaimUnavailable, "the idempotency key could not be recorded")
}

// storedAnswer returns the response for the settlement to store, or nil when it is too large.
func storedAnswer(r Result) *rudderclaim.Answer {
	if len(r.Body) > rudderclaim.MaxAnswerBytes {
		return nil
	}
	return &rudderclaim.Answer{Status: r.Status, Header: r.Header, Body: r.Body}
}
