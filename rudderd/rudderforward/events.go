package rudderforward

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event, so that a faulty target cannot fill the memory.
const maxEventBytes = 256 << 10

var errEventTooLong = errors.New("forward: event too long")

// eventReader splits an event stream into whole events. An event that was cut is never handed on.
type eventReader struct {
	source io.Reader
	buffer []byte
	start  int // of the first unread byte
	seen   int // bytes from start on that hold no end of an event
	end    error
}

// next returns the bytes of the next event with its blank line, and the event's ID or "". The bytes are
// valid until the next call. After the last event it returns what follows it, with io.EOF.
func (e *eventReader) next() (event []byte, id string, err error) {
	for {
		if n := e.whole(); n > 0 {
			event = e.buffer[e.start : e.start+n]
			e.start, e.seen = e.start+n, 0
			return event, eventID(event), nil
		}
		if e.end != nil {
			rest := e.buffer[e.start:]
			e.start, e.seen = len(e.buffer), 0
			return rest, "", e.end
		}
		if len(e.buffer)-e.start > maxEventBytes {
			return nil, "", errEventTooLong
		}
		e.fill()
	}
}

// buffered reports whether a whole event can be returned without reading.
func (e *eventReader) buffered() bool { return e.whole() > 0 }

// longestEnd is the length of the longest blank line with the end of the line before it.
const longestEnd = 4

// whole returns the length of the first event with its blank line, or 0. Bytes that were looked through before are not
// looked through again, so that an event without end costs no more than its bytes.
func (e *eventReader) whole() int {
	from := max(e.seen-longestEnd+1, 0)
	if n := eventEnd(e.buffer[e.start+from:]); n > 0 {
		return from + n
	}
	e.seen = len(e.buffer) - e.start
	return 0
}

func (e *eventReader) fill() {
	const chunk = 2048
	if e.start > 0 {
		e.buffer = e.buffer[:copy(e.buffer, e.buffer[e.start:])]
		e.start = 0
	}
	if cap(e.buffer)-len(e.buffer) < chunk {
		grown := make([]byte, len(e.buffer), 2*cap(e.buffer)+chunk)
		copy(grown, e.buffer)
		e.buffer = grown
	}
	n, err := e.source.Read(e.buffer[len(e.buffer):cap(e.buffer)])
	e.buffer = e.buffer[:len(e.buffer)+n]
	e.end = err
}

// eventEnd returns the length of the first event with its blank line, or 0.
func eventEnd(b []byte) int {
	end := 0
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 && (end == 0 || i+4 < end) {
		end = i + 4
	}
	return end
}

// eventID returns the value of the event's id field.
func eventID(event []byte) string {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// newer reports whether an event is progress of its stream: the ID is higher than that of the last delivered event.
// Blank lines, comments and repeated events are none.
func newer(id, last string) bool {
	return id != "" && id != last && !older(id, last)
}

// older reports whether an event was delivered before, by its ID and the last delivered one.
func older(id, last string) bool {
	if id == "" || last == "" {
		return false
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA == nil && errB == nil && a <= b
}
