package rudderhttp

import (
	"context"
	"errors"
	"math"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/shared/rudderconfig"
)

// Limits of a workspace whose configuration sets none.
const (
	defaultRequestsPerSecond = 200.0
	defaultConcurrent        = 400
)

// limits enforces the rate and concurrency limits of each workspace at this entry host.
type limits struct {
	mu         sync.Mutex
	workspaces map[string]*workspaceLimit
	running    int
}

type workspaceLimit struct {
	limiter *rate.Limiter
	running int
}

// admit refuses requests while this entry host may not serve, and those of workspaces above their limits.
func (a *API) admit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		workspace := workspaceOf(c)
		if refusal := a.Refuse(); refusal != nil {
			if a.OnRefused != nil {
				a.OnRefused(workspace, refusal)
			}
			return refusal
		}
		if refusal := a.limits.enter(workspace, a.LimitShare(), a.Clock.Now()); refusal != nil {
			return refusal
		}
		defer a.limits.leave(workspace.Name)
		return next(c)
	}
}

// enter admits one request of a workspace, or returns a refusal. share is the fraction of the workspace's limits that
// applies at this entry host.
func (l *limits) enter(workspace rudderconfig.Workspace, share float64, now time.Time) *Refusal {
	perSecond, concurrent := workspace.Limits.RequestsPerSecond, workspace.Limits.Concurrent
	if perSecond <= 0 {
		perSecond = defaultRequestsPerSecond
	}
	if concurrent <= 0 {
		concurrent = defaultConcurrent
	}
	perSecond *= share
	concurrent = max(1, int(math.Ceil(float64(concurrent)*share)))
	burst := max(1, int(math.Ceil(perSecond)))

	l.mu.Lock()
	defer l.mu.Unlock()
	if l.workspaces == nil {
		l.workspaces = make(map[string]*workspaceLimit)
	}
	limit, ok := l.workspaces[workspace.Name]
	if !ok {
		limit = &workspaceLimit{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
		l.workspaces[workspace.Name] = limit
	}
	if limit.limiter.Limit() != rate.Limit(perSecond) {
		limit.limiter.SetLimitAt(now, rate.Limit(perSecond))
		limit.limiter.SetBurstAt(now, burst)
	}
	if limit.running >= concurrent {
		return refuseTooMany("concurrency_limit", "the workspace has too many requests in flight")
	}
	if !limit.limiter.AllowN(now, 1) {
		return refuseTooMany("rate_limit", "the workspace sends requests too fast")
	}
	limit.running++
	l.running++
	return nil
}

func (l *limits) leave(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workspaces[workspace].running--
	l.running--
}

// InFlight returns the number of admitted requests in progress.
func (a *API) InFlight() int {
	a.limits.mu.Lock()
	defer a.limits.mu.Unlock()
	return a.limits.running
}

func refuseTooMany(code, message string) *Refusal {
	r := refuse(http.StatusTooManyRequests, code, message, "send the request again after the time in Retry-After, or ask for a higher limit")
	r.RetryAfter = time.Second
	return r
}

// interruptRead ends the read of a request body when a context ends. The returned function waits for an interruption that has begun:
// echo uses the response for another request after this one.
func interruptRead(ctx context.Context, w http.ResponseWriter) (stop func()) {
	interrupted := make(chan struct{})
	connection := http.NewResponseController(w)
	end := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		_ = connection.SetReadDeadline(time.Unix(1, 0))
	})
	return func() {
		if !end() {
			<-interrupted
		}
	}
}

// readBody reads a request body up to the workspace's limit into memory that has to be reserved.
func (a *API) readBody(c echo.Context, memory *rudderbody.Reservation) ([]byte, error) {
	limit := a.MaxBodyBytes
	if own := workspaceOf(c).Limits.BodyBytes; own > 0 {
		limit = min(limit, own)
	}
	if a.Accepting != nil {
		defer interruptRead(a.Accepting, c.Response())()
	}
	body, err := memory.Read(c.Request().Body, c.Request().ContentLength, limit)
	if errors.Is(err, rudderbody.ErrTooLarge) {
		return nil, refuse(http.StatusRequestEntityTooLarge, "body_too_large", "the request body is above the workspace's limit", "send a smaller body")
	}
	if errors.Is(err, rudderbody.ErrNoMemory) {
		refusal := refuse(http.StatusServiceUnavailable, "memory_full", "the bodies of other requests leave no memory for this one", "send the request again after the time in Retry-After, or to another entry host")
		refusal.RetryAfter = time.Second
		return nil, refusal
	}
	if a.Accepting != nil && a.Accepting.Err() != nil {
		if refusal := a.Refuse(); refusal != nil {
			return nil, refusal
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, refuse(http.StatusRequestTimeout, "body_incomplete", "the request body did not arrive in time", "send the request again")
	}
	if err != nil {
		return nil, refuseBadRequest("the request body could not be read: " + err.Error())
	}
	return body, nil
}
