package rudderstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/ruddertarget"
)

// Guards against a second run of a request whose last token had arrived before a probe found that its engine has ended or does
// not know the attempt any more.
func TestArrivedTokensAreReadBeforeAnAttemptIsGivenUp(t *testing.T) {
	const id = "entry.1"
	token := readResult{event: Event{RequestID: id, Attempt: 1, Seq: 1, Text: "t1 "}}
	last := readResult{event: Event{RequestID: id, Attempt: 1, Seq: 1, FinishReason: "stop"}}
	cut := readResult{err: errors.Mark(errors.New("cut"), ErrBroken)}
	ended := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for _, test := range []struct {
		name     string
		probe    error
		arrived  []readResult
		outcome  error
		received int
	}{
		{"ended, cut after the last token", ended, []readResult{token, last, cut}, nil, 1},
		{"ended, silent after the last token", ended, []readResult{token, last}, nil, 1},
		{"attempt unknown, cut after the last token", ruddertarget.ErrNotFound, []readResult{token, last, cut}, nil, 1},
		{"ended, cut before the last token", ended, []readResult{token, cut}, errSilent, 1},
		{"ended, nothing arrived", ended, nil, errSilent, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := testRunner()
				r.Probe = func(context.Context, string, string) (ruddertarget.RequestStatus, error) {
					return ruddertarget.RequestStatus{}, test.probe
				}
				s := &run{Runner: r, request: Request{ID: id}, answer: NewAnswer(id, "w", "m", time.Now()), attempt: 1}
				s.answer.StartAttempt(1)
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(r.SilenceAfter) // the stream's reader ends
				}()
				next := 0
				stream := &Stream{Close: func() {}, Next: func() (Event, error) {
					if next == 0 {
						time.Sleep(r.SilenceAfter + time.Millisecond) // this process reads late
					}
					if next == len(test.arrived) {
						<-ctx.Done()
						return Event{}, ctx.Err()
					}
					next++
					return test.arrived[next-1].event, test.arrived[next-1].err
				}}
				err := s.read(ctx, Slot{}, stream)
				require.True(t, errors.Is(err, test.outcome), err)
				require.Equal(t, test.received, s.answer.Received())
				if test.outcome == nil {
					result, _ := s.answer.Done()
					require.Equal(t, OutcomeComplete, result.Outcome)
				}
			})
		})
	}
}
