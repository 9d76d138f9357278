// Package ruddercaller is a caller of the system as its documentation asks for one: it asks for entry
// addresses, keeps them for their lifetime and sends again only what an answer says may be repeated.
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
	// Seeds are entry addresses to ask first.
	Seeds      []string
	Key        string
	Workspace  string
	DataCentre string
	HTTP       *http.Client
	// Record takes what the caller saw of each attempt; nil drops it.
	Record func(rudderoracle.Answer)
	// MaxAttempts bounds the sends of one request; 0 takes defaultAttempts.
	MaxAttempts int

	mu      sync.Mutex
	entries []entry
	expires time.Time
	next    int
}

type entry struct {
	Address string `json:"address"`
	Name    string `json:"name"`
}

const (
	defaultAttempts = 4
	entriesTimeout  = 2 * time.Second
	// nearestEntries is how many of the best ranked addresses a caller spreads its requests over.
	nearestEntries = 3
	// failedPause is the pause before another entry host is tried after a lost connection.
	failedPause = 50 * time.Millisecond
)

// Codes of attempts that ended without an answer.
const (
	CodeNotConnected   = "connection_refused"
	CodeConnectionLost = "connection_lost"
)

// ErrNoEntryHost reports that no seed answered.
var ErrNoEntryHost = errors.New("caller: no entry host answers")

// Result is the end of one request.
type Result struct {
	// Answer is that of the last attempt.
	Answer   rudderoracle.Answer
	Attempts int
	// Waiting is the time from the first send to the answer's first token, for streamed chats.
	Waiting time.Duration
	// FirstToken is the time from the last send to the first token; Gaps lie between tokens.
	FirstToken time.Duration
	Gaps       []time.Duration
	// Body of a plain call's answer, and whether the system had it stored.
	Body     []byte
	Replayed bool
}

// UseEntry makes the caller use one address until it fails, as if the list of entries named only that one.
func (c *Caller) UseEntry(address string) *Caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries, c.expires = []entry{{Address: address}}, time.Now().Add(time.Hour)
	return c
}

// choose returns an entry host: one of the nearest, in turn.
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

// refresh asks the known addresses and then the seeds for the list. It needs the mutex.
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

// drop forgets an address that could not be reached, until the next list.
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

// verdict is what an attempt means for the next one.
type verdict struct {
	again  bool
	pause  time.Duration
	better string // address of an entry host with room
}

// repeat sends a request until it ends or an answer says that it must not be sent again.
func (c *Caller) repeat(ctx context.Context, send func(e entry, result *Result) verdict) Result {
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
		if !v.again || ctx.Err() != nil {
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

// lost ends an attempt whose connection failed. repeatable tells whether the request may be sent
// again when it may have run.
func (c *Caller) lost(e entry, err error, answer *rudderoracle.Answer, repeatable bool) verdict {
	var operation *net.OpError
	c.drop(e.Address)
	answer.Outcome, answer.Code = rudderoracle.OutcomeUnknown, CodeConnectionLost
	if errors.As(err, &operation) && operation.Op == "dial" {
		answer.Outcome, answer.Code = rudderoracle.OutcomeNotRun, CodeNotConnected
		return verdict{again: true, pause: failedPause}
	}
	return verdict{again: repeatable, pause: failedPause}
}

// refusal is the error format of the system.
type refusal struct {
	Error struct {
		Code        string `json:"code"`
		Message     string `json:"message"`
		Outcome     string `json:"outcome"`
		BetterEntry string `json:"better_entry"`
	} `json:"error"`
}

// refused reads an error answer and what it says about sending again.
func refused(response *http.Response, body []byte, answer *rudderoracle.Answer, repeatable bool) verdict {
	var r refusal
	_ = json.Unmarshal(body, &r)
	answer.Code, answer.Outcome = r.Error.Code, r.Error.Outcome
	busy := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	again := answer.Outcome == rudderoracle.OutcomeNotRun && busy || answer.Outcome == rudderoracle.OutcomeMayHaveRun && repeatable
	if response.Header.Get("X-Should-Retry") == "false" {
		again = false
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	v := verdict{again: again, pause: time.Duration(seconds) * time.Second, better: r.Error.BetterEntry}
	if v.better != "" {
		v.pause = failedPause // another entry host has room now
	}
	return v
}
