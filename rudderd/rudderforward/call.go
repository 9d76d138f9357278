package rudderforward

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxBufferedBytes bounds the answers that are read whole before they are handed on, so that targets which send without
// end do not fill the memory of a small host. Larger answers are handed on as they come, until the request's time is up,
// and cannot be asked for again.
const maxBufferedBytes = 256 << 10

// call serves a request with one answer.
func (f *Forwarder) call(ctx context.Context, j *job) {
	for {
		g, refused := f.next(ctx, j)
		if refused != nil {
			f.giveUp(ctx, j, *refused)
			return
		}
		j.group = g.ID
		f.loads.begin(g.Leader.Name, f.Uptime())
		answer, err := f.send(ctx, j, g, "")
		done := false
		switch {
		case err != nil:
			f.failed(ctx, j, g, err)
		case answer.NotRun:
			f.refused(j, g, answer)
		default:
			done = f.answerCall(ctx, j, g.Leader.Name, answer)
			if !done {
				f.failed(ctx, j, g, j.last)
			}
		}
		f.loads.end(g.Leader.Name, f.Uptime())
		if done {
			return
		}
		if ctx.Err() != nil {
			f.giveUp(ctx, j, refusal{status: http.StatusServiceUnavailable, code: "deadline", message: "time is up"})
			return
		}
	}
}

// answerCall hands a target's answer on. It returns false when the answer cannot be used and sets the
// reason; the head of the answer is not out then.
func (f *Forwarder) answerCall(ctx context.Context, j *job, target string, answer *reply) bool {
	response := answer.response
	defer func() { _ = response.Body.Close() }()
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if success && !answer.Sealed {
		answer.discard()
		j.last = errors.Mark(errors.New("answer without a seal"), ErrWrongAnswer)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		answer.discard()
		j.last = errors.Mark(errors.Wrap(err, "reading the answer"), ErrBroken)
		return false
	}
	whole := len(body) < maxBufferedBytes
	if response.StatusCode >= 500 && j.route.Repeatable() && whole && j.runs+1 < max(j.route.MaxAttempts, 1) {
		if f.mayRepeat(ctx, j) {
			j.last = errors.Newf("target %s answered %d", target, response.StatusCode)
			return false
		}
	}
	j.sends++
	j.runs++
	f.writeHead(j, response, whole, len(body))
	if _, err := j.writer.Write(body); err != nil {
		j.code, j.last = "caller_left", err
		return true
	}
	if !whole {
		if _, err := io.Copy(j.writer, response.Body); err != nil {
			j.abort, j.code, j.last = true, "answer_broken", err
		}
	}
	return true
}

// mayRepeat reports whether another group could serve the request in the time left.
func (f *Forwarder) mayRepeat(ctx context.Context, j *job) bool {
	if ctx.Err() != nil || j.remaining(f.Uptime()) < j.limit/4 {
		return false
	}
	groups := f.View.Snapshot().Groups(j.service, j.request.Model)
	return len(groups) > len(j.exclude)+1
}

// writeHead sends status and header fields of a target's answer.
func (f *Forwarder) writeHead(j *job, response *http.Response, whole bool, length int) {
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
	if whole {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	j.started = true
	j.writer.WriteHeader(response.StatusCode)
}

// ConnectionField tells the header fields that concern one connection only, by canonical name.
func ConnectionField(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}
