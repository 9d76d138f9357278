package ruddersoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
)

const (
	shortTokens    = 20
	longTokens     = 120 // about 3 s, so that faults hit answers in flight
	thinkTime      = 50 * time.Millisecond
	requestTimeout = 20 * time.Second
)

// caller returns a client that uses the given entry hosts as seeds and keeps its connections open.
func (s *Soak) caller(entries []*entry) *ruddercaller.Caller {
	c := &ruddercaller.Caller{
		Key: rudderfleetstand.WorkspaceKey("umuvumu-01"), Workspace: "umuvumu-01", DataCentre: "kigali-1",
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, Record: s.record,
	}
	for _, e := range entries {
		c.Seeds = append(c.Seeds, e.callers.address())
	}
	return c
}

func (s *Soak) record(a rudderoracle.Answer) {
	s.recorder.Answer(a)
	outcome := a.Outcome
	if outcome == rudderoracle.OutcomeUnknown {
		outcome = "unknown"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[outcome]++
}

// startLoad starts the callers, each of which sends one request after the other.
func (s *Soak) startLoad(ctx context.Context, running *sync.WaitGroup) {
	for i := range s.Callers {
		c := s.caller(s.entries)
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)+1)) //nolint:gosec // repeatable
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				// The end of the load does not cancel a request, so that it is not mistaken for one that was
				// interrupted.
				timed, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
				request(timed, c, random.IntN(10), fmt.Sprintf("%d/%d", i, n))
				cancel()
				rudderscene.Sleep(ctx, thinkTime)
			}
		})
	}
}

// request sends one request. The number draw, from 0 to 9, selects its kind: a payment with or without a key,
// a whole answer, or a short or long stream.
func request(ctx context.Context, c *ruddercaller.Caller, draw int, label string) ruddercaller.Result {
	call := ruddercaller.Call{Service: rudderfleetstand.ServiceLedger, Method: http.MethodPost, Path: "/payments", Body: "pay " + label}
	chat := ruddercaller.Chat{Model: rudderfleetstand.ModelLedger, MaxTokens: shortTokens, Stream: true}
	switch {
	case draw < 2:
		call.Key = "soak-" + label
		return c.Call(ctx, call)
	case draw < 3:
		return c.Call(ctx, call)
	case draw < 5:
		chat.MaxTokens = longTokens
	case draw < 7:
		chat.Stream = false
	}
	chat.Prompt = label + " " + rudderengine.LengthMark(chat.MaxTokens)
	return c.Chat(ctx, chat)
}

// awaitService waits until each entry host completes a request of each kind and a change of the configuration
// is accepted.
func (s *Soak) awaitService(ctx context.Context) error {
	deadline := time.Now().Add(serviceTimeout)
	n := 0
	for _, e := range s.entries {
		c := s.caller([]*entry{e})
		c.MaxAttempts = 1
		for draw, what := range map[int]string{0: "call with a key", 2: "call without a key", 5: "whole answer", 9: "stream"} {
			err := rudderscene.Await(time.Until(deadline), what+" at "+e.name, func() bool {
				n++
				timed, cancel := context.WithTimeout(ctx, requestTimeout)
				defer cancel()
				return request(timed, c.UseEntry(e.callers.address()), draw, fmt.Sprintf("service/%s/%d", e.name, n)).Answer.Outcome == rudderoracle.OutcomeComplete
			})
			if err != nil {
				return err
			}
		}
	}
	var last error
	err := rudderscene.Await(time.Until(deadline), "change of the configuration", func() bool {
		last = s.change(s.entries[n%len(s.entries)], fmt.Sprint("service-", n))
		n++
		return last == nil
	})
	return errors.CombineErrors(err, last)
}
