package rudderforward

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/rudderd/rudderview"
)

// maxBufferedBytes bounds the response that is buffered before its headers are sent, so that targets with
// endless responses do not exhaust the memory of a small host. A larger response, or one for which there is no
// memory, is streamed to the caller until the request's deadline and cannot be retried.
const maxBufferedBytes = 256 << 10

// call serves a request that has a single response.
func (f *Forwarder) call(ctx context.Context, j *job) {
	for {
		g, refused := f.nextGroup(ctx, j)
		if refused != nil {
			f.finishFailed(ctx, j, *refused)
			return
		}
		j.group = g.ID
		f.loads.begin(g.Leader.Name, f.Uptime())
		done := f.callOnce(ctx, j, g)
		f.loads.end(g.Leader.Name, f.Uptime())
		if done {
			return
		}
		if ctx.Err() != nil {
			f.finishFailed(ctx, j, refusal{status: http.StatusServiceUnavailable, code: "deadline", message: "time is up"})
			return
		}
	}
}

// callOnce sends the request to one group. It returns true when the response has ended, and false when another group may serve
// the request.
func (f *Forwarder) callOnce(ctx context.Context, j *job, g *rudderview.Group) bool {
	sendContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.hang = f.guardSend(cancel, g, j)
	answer, err := f.send(sendContext, j, g, "")
	done := false
	switch {
	case err != nil:
	case answer.NotRun:
		f.recordRefusal(j, g, answer)
	default:
		done = f.answerCall(ctx, j, g, answer)
		if !done {
			err = j.lastErr
		}
	}
	if err = j.hang.stop(err); err != nil {
		f.recordFailure(ctx, j, g, err)
	}
	return done
}

// answerCall sends a target's response to the caller. If the response is unusable, it sets j.lastErr and
// returns false; no headers have been sent then.
func (f *Forwarder) answerCall(ctx context.Context, j *job, g *rudderview.Group, answer *reply) bool {
	response := answer.response
	defer func() { _ = response.Body.Close() }()
	if successful(response.StatusCode) && !answer.Sealed {
		answer.discard()
		j.lastErr = errors.Mark(errors.New("response without the seal header"), ErrWrongAnswer)
		return false
	}
	if !j.route.Repeatable() && promisesNotRun(response.StatusCode) {
		j.lastErr = errors.Newf("target %s answered %d without the statement that the request has not run", g.Leader.Name, response.StatusCode)
		return false
	}
	memory := f.Bodies.Reservation(1)
	defer memory.Release()
	body, complete, err := f.readBegin(ctx, j, g, answer, memory)
	if err != nil {
		j.lastErr = err
		return false
	}
	if response.StatusCode >= 500 && j.route.Repeatable() && complete && j.runs+1 < max(j.route.MaxAttempts, 1) {
		if f.canRetry(ctx, j) {
			j.lastErr = errors.Newf("target %s answered %d", g.Leader.Name, response.StatusCode)
			return false
		}
	}
	if complete {
		if err := f.checkEnd(ctx, answer, g.Leader); err != nil {
			j.lastErr = err
			return false
		}
	}
	j.sends++
	j.runs++
	f.recordSurvival(j)
	f.writeHead(j, response, complete, len(body))
	if _, err := j.writer.Write(body); err != nil {
		j.code, j.lastErr = "caller_left", err
		return true
	}
	if !complete {
		_, err := io.Copy(j.writer, response.Body)
		if err == nil {
			err = f.checkEnd(ctx, answer, g.Leader)
		}
		if err != nil {
			j.abort, j.code, j.lastErr = true, "answer_broken", err
		}
	}
	return true
}

// readBegin reads a response up to maxBufferedBytes. complete is set if that is all of it.
func (f *Forwarder) readBegin(ctx context.Context, j *job, g *rudderview.Group, answer *reply, memory *rudderbody.Reservation) (body []byte, complete bool, err error) {
	body, complete, err = memory.ReadPart(answer.response.Body, maxBufferedBytes)
	if err != nil {
		answer.discard()
		err = errors.Mark(errors.Wrap(err, "read response body"), ErrBroken)
		if answer.connection != nil {
			err = f.blamePath(ctx, g.Leader, err)
		}
		return nil, false, err
	}
	if !j.hang.answered(answer.response.StatusCode < http.StatusInternalServerError) {
		answer.discard()
		return nil, false, errors.Mark(errors.WithStack(errLateResponse), ErrBroken)
	}
	return body, complete, nil
}

// promisesNotRun reports whether callers take a status as the promise that the request has not run and may be repeated.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func successful(status int) bool { return status >= 200 && status < 300 }

// canRetry reports whether another group is left for the request and at least a quarter of its time.
func (f *Forwarder) canRetry(ctx context.Context, j *job) bool {
	if ctx.Err() != nil || j.remaining(f.Uptime()) < j.limit/4 {
		return false
	}
	groups := f.View.Snapshot().Groups(j.service, j.request.Model)
	return len(groups) > len(j.exclude)+1
}

// writeHead sends the status and the header fields of a target's response.
func (f *Forwarder) writeHead(j *job, response *http.Response, complete bool, length int) {
	j.status = response.StatusCode
	j.firstByte = f.Uptime() - j.begin
	header := j.writer.Header()
	closing := header.Get("Connection")
	for name, values := range response.Header {
		if !ConnectionField(name) {
			header[name] = values
		}
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	if complete {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	j.started = true
	j.running.answered.Store(true)
	j.writer.WriteHeader(response.StatusCode)
}

// ConnectionField reports whether a header field, by its canonical name, applies to a single connection and
// must not be forwarded.
func ConnectionField(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}
