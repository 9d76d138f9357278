// Package rudderload is an open-loop load generator. It measures what callers of a running system see.
package rudderload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderengine"
)

// Firm is a firm with its workspaces and the model and service that they use.
type Firm struct {
	Name    string
	Model   string
	Service string
	// Keys holds the bearer key of each workspace.
	Keys map[string]string
	// IdempotentReads tells whether the configuration declares reads of the service idempotent.
	IdempotentReads bool
}

// Load holds the settings of one load. Set the exported fields, then call Run.
type Load struct {
	Entries []string
	Firms   []Firm
	Seed    uint64
	// Rate is the number of requests per second of all firms, and BurstFactor times that between BurstStart and
	// BurstStart+BurstDuration.
	Rate          float64
	BurstFactor   float64
	BurstStart    time.Duration
	BurstDuration time.Duration
	Duration      time.Duration
	// PlainShare is the share of plain calls among the requests, and LongShare that of long chats among the
	// chats, both from 0 to 1.
	PlainShare float64
	LongShare  float64
	// ShortTokens and LongTokens are the numbers of tokens of short and long chats.
	ShortTokens int
	LongTokens  int
}

// Defaults returns the settings of `rudderstand load` without flags.
func Defaults() Load {
	return Load{
		Seed: 1, Rate: 50, BurstFactor: 1, BurstStart: 3 * time.Second, BurstDuration: 3 * time.Second,
		Duration: 10 * time.Second, PlainShare: 0.2, LongShare: 0.05, ShortTokens: 24, LongTokens: 250,
	}
}

// ErrNoCallers reports a load without entry addresses or keys.
var ErrNoCallers = errors.New("load: no entry addresses or no workspace keys")

const (
	requestTimeout  = 60 * time.Second
	idleConnections = 256
	sharedPrefixes  = 8
	prefixRepeats   = 40 // gives about 1 KB of prompt, which is several prefix-cache blocks
)

// Run sends the load and, after all requests have ended, returns what the callers saw.
func (l *Load) Run(ctx context.Context) (Result, error) {
	callers := l.callers()
	if len(l.Entries) == 0 || len(callers) == 0 {
		return Result{}, ErrNoCallers
	}
	random := rand.New(rand.NewPCG(l.Seed, 0)) //nolint:gosec // a fixed seed for repeatable load
	collector := newCollector()
	var running sync.WaitGroup
	began := time.Now()
	due := began
	for n := 0; ctx.Err() == nil; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / l.rateAt(due.Sub(began)) * float64(time.Second)))
		if due.Sub(began) >= l.Duration {
			break
		}
		request := l.generate(random, callers, n)
		request.due = due
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(due)):
			running.Go(func() { request.send(ctx, collector) })
		}
	}
	running.Wait()
	return collector.result(time.Since(began)), nil
}

// rateAt returns the arrival rate at a time since the start.
func (l *Load) rateAt(since time.Duration) float64 {
	if since >= l.BurstStart && since < l.BurstStart+l.BurstDuration {
		return l.Rate * l.BurstFactor
	}
	return l.Rate
}

// member is the caller of one workspace with its firm.
type member struct {
	firm   Firm
	caller *ruddercaller.Caller
}

// callers returns one caller for each workspace, in a fixed order.
func (l *Load) callers() []member {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	var callers []member
	for _, f := range l.Firms {
		for _, workspace := range sortedKeys(f.Keys) {
			callers = append(callers, member{f, &ruddercaller.Caller{
				Seeds: l.Entries, Key: f.Keys[workspace], Workspace: workspace, HTTP: client,
			}})
		}
	}
	return callers
}

// request is a generated request with its arrival time. Exactly one of chat and call is set.
type request struct {
	member
	class string
	chat  ruddercaller.Chat
	call  ruddercaller.Call
	due   time.Time
}

// generate generates a random request.
func (l *Load) generate(random *rand.Rand, callers []member, n int) request {
	r := request{member: callers[random.IntN(len(callers))], class: "short"}
	if random.Float64() < l.PlainShare && r.firm.Service != "" {
		r.class = "plain"
		r.call = ruddercaller.Call{Service: r.firm.Service, Method: http.MethodPost, Path: "/entries", Body: fmt.Sprint(n)}
		switch random.IntN(3) {
		case 0:
			r.call.Key = fmt.Sprintf("load-%d-%d-%d", l.Seed, time.Now().UnixNano(), n)
		case 1:
			r.call.Method, r.call.Path, r.call.Body, r.call.Idempotent = http.MethodGet, "/calendar/today", "", r.firm.IdempotentReads
		}
		return r
	}
	tokens := l.ShortTokens
	if random.Float64() < l.LongShare {
		r.class, tokens = "long", l.LongTokens
	}
	prefix := strings.Repeat(fmt.Sprintf("%s context %d. ", r.caller.Workspace, random.IntN(sharedPrefixes)), prefixRepeats)
	r.chat = ruddercaller.Chat{
		Model: r.firm.Model, Prompt: fmt.Sprintf("%s request %d %s", prefix, n, rudderengine.LengthMark(tokens)),
		MaxTokens: tokens, Stream: true,
	}
	return r
}

func (r request) send(ctx context.Context, collector *collector) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	late := time.Since(r.due)
	var result ruddercaller.Result
	if r.class == "plain" {
		result = r.caller.Call(ctx, r.call)
	} else {
		result = r.caller.Chat(ctx, r.chat)
	}
	result.Waiting += late // an open loop counts from the arrival time, also when the generator is late
	collector.add(r.firm.Name, r.class, result)
}
