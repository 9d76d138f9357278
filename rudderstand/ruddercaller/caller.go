// Package ruddercaller is a client of the system that follows its documentation: it asks for entry addresses,
// caches them for their lifetime and retries only requests that a response declares safe to repeat.
package ruddercaller

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/rudderoracle"
)

// Caller sends the requests of one workspace. Set the exported fields before the first request.
type Caller struct {
	// Seeds are the entry addresses to ask for the list of entry hosts if no known entry host returns it.
	Seeds      []string
	Key        string
	Workspace  string
	DataCentre string
	HTTP       *http.Client
	// Record, if not nil, is called with the outcome of each attempt.
	Record func(rudderoracle.Answer)
	// MaxAttempts bounds the attempts of one request; 0 means defaultAttempts.
	MaxAttempts int

	mu      sync.Mutex
	entries []entry
	expires time.Time
	next    int
}

// entry is an entry host in the list that GET /v1/entries returns.
type entry struct {
	Address string `json:"address"`
	Name    string `json:"name"`
}

const (
	defaultAttempts = 4
	entriesTimeout  = 2 * time.Second
	// nearestEntries is the number of best ranked entry hosts over which a caller spreads its requests.
	nearestEntries = 3
	// failoverPause is the pause before a retry at another entry host after a lost connection.
	failoverPause = 50 * time.Millisecond
)

// Codes of attempts that ended without a response.
const (
	CodeNotConnected   = "connection_refused"
	CodeConnectionLost = "connection_lost"
)

// ErrNoEntryHost reports that no known entry host and no seed returned a list of entry hosts.
var ErrNoEntryHost = errors.New("caller: no entry host answers")

// Result is the outcome and the latencies of one request.
type Result struct {
	// Answer is the outcome of the last attempt.
	Answer   rudderoracle.Answer
	Attempts int
	// Waiting is the time from the first attempt to the first token, for streamed chats.
	Waiting time.Duration
	// FirstToken is the time from the last attempt to the first token; Gaps are the times between tokens.
	FirstToken time.Duration
	Gaps       []time.Duration
	// Body is the body of the response to a plain call, and Replayed tells whether it is a stored response.
	Body     []byte
	Replayed bool
}

// UseEntry makes the caller use one address until it fails, as if it were the only one in the list.
func (c *Caller) UseEntry(address string) *Caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries, c.expires = []entry{{Address: address}}, time.Now().Add(time.Hour)
	return c
}

// choose returns one of the nearest entry hosts in round-robin order, after a refresh of an expired list.
func (c *Caller) choose(ctx context.Context) (entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !time.Now().Before(c.expires) {
		if err := c.refresh(ctx); err != nil && len(c.entries) == 0 {
			return entry{}, err
		}
	}
	c.next++
	return c.entries[c.next%min(nearestEntries, len(c.entries))], nil
}

// refresh fetches the list of entry hosts from the known addresses and then from the seeds. It needs the mutex.
func (c *Caller) refresh(ctx context.Context) error {
	var addresses []string
	for _, e := range c.entries {
		addresses = append(addresses, e.Address)
	}
	for _, address := range append(addresses, c.Seeds...) {
		asked := time.Now()
		list, lifetime, err := c.ask(ctx, address)
		if err == nil && len(list) > 0 {
			c.entries, c.expires = list, asked.Add(lifetime)
			return nil
		}
	}
	return ErrNoEntryHost
}

// ask fetches the list of entry hosts and its lifetime from one address.
func (c *Caller) ask(ctx context.Context, address string) ([]entry, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries?data_centre="+c.DataCentre, nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Entries         []entry `json:"entries"`
		LifetimeSeconds int     `json:"lifetime_seconds"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Entries, time.Duration(answer.LifetimeSeconds) * time.Second, err
}

// drop removes an unreachable address until the next refresh.
func (c *Caller) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make([]entry, 0, len(c.entries))
	for _, e := range c.entries {
		if e.Address != address {
			kept = append(kept, e)
		}
	}
	c.entries = kept
	if len(kept) == 0 {
		c.expires = time.Time{}
	}
}

// verdict says whether and how an attempt is followed by a retry.
type verdict struct {
	retry  bool
	pause  time.Duration
	better string // address of an entry host with room
}

// sendWithRetry sends a request until it completes, may not be retried or has no attempts left.
func (c *Caller) sendWithRetry(ctx context.Context, send func(e entry, result *Result) verdict) Result {
	result := Result{}
	limit := c.MaxAttempts
	if limit == 0 {
		limit = defaultAttempts
	}
	better := ""
	for result.Attempts < limit {
		result.Attempts++
		e, err := c.choose(ctx)
		if err != nil {
			result.Answer = rudderoracle.Answer{Workspace: c.Workspace, Outcome: rudderoracle.OutcomeNotRun, Code: CodeNotConnected, SentAt: time.Now(), EndedAt: time.Now()}
			return result
		}
		if better != "" {
			e = entry{Address: better}
		}
		v := send(e, &result)
		result.Answer.EndedAt, result.Answer.Workspace = time.Now(), c.Workspace
		if name, _, found := strings.Cut(result.Answer.RequestID, "."); found {
			result.Answer.Entry = name
		} else {
			result.Answer.Entry = e.Name
		}
		if c.Record != nil {
			c.Record(result.Answer)
		}
		if !v.retry || ctx.Err() != nil {
			return result
		}
		better = v.better
		select {
		case <-ctx.Done():
		case <-time.After(v.pause):
		}
	}
	return result
}

// lost ends an attempt whose connection failed. repeatable tells whether a request that may have run may be
// retried. A request whose connection was never established has not run and is always retried.
func (c *Caller) lost(e entry, err error, answer *rudderoracle.Answer, repeatable bool) verdict {
	var operation *net.OpError
	c.drop(e.Address)
	answer.Outcome, answer.Code = rudderoracle.OutcomeUnknown, CodeConnectionLost
	if errors.As(err, &operation) && operation.Op == "dial" {
		answer.Outcome, answer.Code = rudderoracle.OutcomeNotRun, CodeNotConnected
		return verdict{retry: true, pause: failoverPause}
	}
	return verdict{retry: repeatable, pause: failoverPause}
}

// refusal is the error body of the system's API.
type refusal struct {
	Error struct {
		Code        string `json:"code"`
		Message     string `json:"message"`
		Outcome     string `json:"outcome"`
		BetterEntry string `json:"better_entry"`
	} `json:"error"`
}

// refused reads an error response and returns whether it permits a retry.
func refused(response *http.Response, body []byte, answer *rudderoracle.Answer, repeatable bool) verdict {
	var r refusal
	_ = json.Unmarshal(body, &r)
	answer.Code, answer.Outcome = r.Error.Code, r.Error.Outcome
	busy := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	retry := answer.Outcome == rudderoracle.OutcomeNotRun && busy || answer.Outcome == rudderoracle.OutcomeMayHaveRun && repeatable
	if response.Header.Get("X-Should-Retry") == "false" {
		retry = false
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	v := verdict{retry: retry, pause: time.Duration(seconds) * time.Second, better: r.Error.BetterEntry}
	if v.better != "" {
		v.pause = failoverPause // another entry host has room now
	}
	return v
}
