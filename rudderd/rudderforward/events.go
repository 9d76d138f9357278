package rudderforward

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderbody"
)

const (
	// maxEventBytes bounds one event, so that a faulty target cannot exhaust the memory.
	maxEventBytes = 256 << 10
	// eventChunk is the least free part of the buffer before a read.
	eventChunk = 2048
	// freeEventBytes is the size up to which a buffer takes no memory from the budget, so that streams of short events go on
	// without any. It is less than the buffers of the stream's connections.
	freeEventBytes = 8 << 10
	// heldCopies is the size of a slice that append has grown, as a multiple of its content.
	heldCopies = 2
)

var errEventTooLong = errors.New("forward: event exceeds the size limit")

// eventReader splits an event stream into complete events. It never returns a truncated event as complete.
type eventReader struct {
	source  io.Reader
	memory  *rudderbody.Reservation // for buffer; nil sets no bound
	buffer  []byte
	start   int   // index of the first unread byte
	scanned int   // bytes from start that are known to contain no event terminator
	readErr error // error of the last read from source
}

// next returns the bytes of the next event, with its terminating blank line, and its ID, which may be empty.
// The bytes are valid until the next call. After the last event it returns the remaining bytes with io.EOF.
func (e *eventReader) next() (event []byte, id string, err error) {
	for {
		if n := e.eventLength(); n > 0 {
			event = e.buffer[e.start : e.start+n]
			e.start, e.scanned = e.start+n, 0
			return event, eventID(event), nil
		}
		if e.readErr != nil {
			rest := e.buffer[e.start:]
			e.start, e.scanned = len(e.buffer), 0
			return rest, "", e.readErr
		}
		if len(e.buffer)-e.start > maxEventBytes {
			return nil, "", errEventTooLong
		}
		if err := e.fill(); err != nil {
			return nil, "", err
		}
	}
}

// buffered reports whether a complete event is available without another read.
func (e *eventReader) buffered() bool { return e.eventLength() > 0 }

// maxTerminator is the length of the longest event terminator: a line end and a blank line, "\r\n\r\n".
const maxTerminator = 4

// eventLength returns the length of the first event with its terminator, or 0 if no event is complete. Bytes
// are scanned once only, so that the cost of an event that never ends stays linear in its size.
func (e *eventReader) eventLength() int {
	from := max(e.scanned-maxTerminator+1, 0)
	if n := eventEnd(e.buffer[e.start+from:]); n > 0 {
		return from + n
	}
	e.scanned = len(e.buffer) - e.start
	return 0
}

// fill reads more bytes. The error is rudderbody.ErrNoMemory if there is none for a longer buffer.
func (e *eventReader) fill() error {
	if e.start > 0 {
		e.buffer = e.buffer[:copy(e.buffer, e.buffer[e.start:])]
		e.start = 0
	}
	if len(e.buffer) == 0 && cap(e.buffer) > freeEventBytes { // a long event need not be followed by another one
		e.buffer = nil
		e.memory.Release()
	}
	if old := cap(e.buffer); old-len(e.buffer) < eventChunk {
		size := 2*old + eventChunk
		if err := e.memory.Resize(int64(old + size)); err != nil {
			return err
		}
		grown := make([]byte, len(e.buffer), size)
		copy(grown, e.buffer)
		e.buffer = grown
		_ = e.memory.Resize(int64(size)) // a smaller size always fits
	}
	n, err := e.source.Read(e.buffer[len(e.buffer):cap(e.buffer)])
	e.buffer = e.buffer[:len(e.buffer)+n]
	e.readErr = err
	return nil
}

// eventEnd returns the length of the first event with its terminator, or 0.
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

// validEvent reports whether a text has the form of an event: comments, or fields of which one at least has a name that
// the format knows. A status line, a page or a JSON object does not.
func validEvent(event []byte) bool {
	fields, known := 0, false
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) == 0 || line[0] == ':' {
			continue
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.ContainsFunc(name, func(r rune) bool { return !fieldNameRune(r) }) {
			return false
		}
		fields++
		switch string(name) {
		case "data", "event", "id", "retry":
			known = true
		}
	}
	return fields == 0 || known
}

func fieldNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_'
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

// newer reports whether an event advances its stream: its ID is higher than that of the last delivered event.
// Blank lines, comments and repeated events do not.
func newer(id, last string) bool {
	return id != "" && id != last && !older(id, last)
}

// hasNews reports whether an event begins the response of a stream: it advances the stream, or has data and no ID.
func hasNews(event []byte, id, last string) bool {
	if id != "" {
		return newer(id, last)
	}
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

// older reports whether an event was already delivered, judged by its ID and that of the last delivered
// event.
func older(id, last string) bool {
	if id == "" || last == "" {
		return false
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA == nil && errB == nil && a <= b
}

// heldEvents holds what precedes the first news of a stream, so that another target may still begin the response.
type heldEvents struct {
	text   []byte
	memory *rudderbody.Reservation
}

// add adds an event, unless the caller has it.
func (h *heldEvents) add(event []byte, id, last string) error {
	if older(id, last) {
		return nil
	}
	size := len(h.text) + len(event)
	if size > maxEventBytes {
		return errEventTooLong
	}
	if err := h.memory.Resize(int64(size)); err != nil {
		return err
	}
	h.text = append(h.text, event...)
	return nil
}

func (h *heldEvents) release() {
	h.text = nil
	h.memory.Release()
}
