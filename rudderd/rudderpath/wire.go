package rudderpath

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/shared/rudderresponse"
)

// Request is a request to a target that is sent through another entry host.
type Request struct {
	Target  string
	Born    int64
	Service string
	// ID is the ID of the caller's attempt, and Remaining the time that is left for it.
	ID        string
	Remaining time.Duration
	// Repeatable is set if the request may be sent once more when this send fails.
	Repeatable bool

	Method string
	// RequestTarget is the request target of the request line, unchanged.
	RequestTarget string
	Host          string
	Header        http.Header
	Body          []byte
}

// ResponseHead is the beginning of a target's response.
type ResponseHead struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the response has none. Chunked is set if it has chunks.
	ContentLength int64
	Chunked       bool
	// Claimed is set if the request's ID was sent once on the connection to the target. Earlier versions do not set it.
	Claimed bool
}

const (
	// MaxHeadBytes bounds the encoded header of a request or a response.
	MaxHeadBytes = 256 << 10
	// MaxBodyBytes bounds the body of a request that is relayed.
	MaxBodyBytes = 4 << 20
	// headCopies bounds what a head takes while it is decoded, as a multiple of its length.
	headCopies = 6
)

var errMalformed = errors.New("path: malformed message")

// requestHead and responseHead hold bytes where a string need not be valid UTF-8.
type requestHead struct {
	Target        string  `json:"target"`
	Born          int64   `json:"born"`
	Service       string  `json:"service"`
	ID            []byte  `json:"id"`
	RemainingMS   int64   `json:"remaining_ms"`
	Repeatable    bool    `json:"repeatable"`
	Method        string  `json:"method"`
	RequestTarget []byte  `json:"request_target"`
	Host          []byte  `json:"host"`
	Fields        []field `json:"fields"`
}

type responseHead struct {
	Status        int     `json:"status"`
	ContentLength int64   `json:"content_length"`
	Chunked       bool    `json:"chunked"`
	Claimed       bool    `json:"claimed"`
	Fields        []field `json:"fields"`
}

type field struct {
	Name   string   `json:"name"`
	Values [][]byte `json:"values"`
}

func fieldsOf(h http.Header) []field {
	var list []field
	for name, values := range h {
		f := field{Name: name, Values: make([][]byte, len(values))}
		for i, v := range values {
			f.Values[i] = []byte(v)
		}
		list = append(list, f)
	}
	return list
}

func headerOf(list []field) http.Header {
	h := make(http.Header, len(list))
	for _, f := range list {
		values := make([]string, len(f.Values))
		for i, v := range f.Values {
			values[i] = string(v)
		}
		h[f.Name] = values
	}
	return h
}

// encode writes a head as its length and JSON.
func encode(head any, rest []byte) ([]byte, error) {
	text, err := json.Marshal(head)
	if err != nil {
		return nil, err
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)+len(rest)), uint32(len(text)))
	return append(append(out, text...), rest...), nil
}

// decode reads a head from the beginning of a message, into memory that has to be reserved.
func decode(r io.Reader, head any, memory *rudderbody.Reservation) error {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxHeadBytes {
		return errMalformed
	}
	if err := memory.Resize(int64(n)); err != nil {
		return err
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return err
	}
	return json.Unmarshal(text, head)
}

// Encode returns the message for a request.
func (r Request) Encode() ([]byte, error) {
	return encode(requestHead{
		Target: r.Target, Born: r.Born, Service: r.Service, ID: []byte(r.ID), RemainingMS: r.Remaining.Milliseconds(), Repeatable: r.Repeatable,
		Method: r.Method, RequestTarget: []byte(r.RequestTarget), Host: []byte(r.Host), Fields: fieldsOf(r.Header),
	}, r.Body)
}

// DecodeRequest reads a request.
func DecodeRequest(source io.Reader) (Request, error) {
	var head requestHead
	if err := decode(source, &head, nil); err != nil {
		return Request{}, err
	}
	body, err := io.ReadAll(source)
	if err != nil {
		return Request{}, err
	}
	return Request{
		Target: head.Target, Born: head.Born, Service: head.Service, ID: string(head.ID), Remaining: time.Duration(head.RemainingMS) * time.Millisecond,
		Repeatable: head.Repeatable, Method: head.Method, RequestTarget: string(head.RequestTarget), Host: string(head.Host),
		Header: headerOf(head.Fields), Body: body,
	}, nil
}

// Encode returns the beginning of the message for a response; the body follows.
func (h ResponseHead) Encode() ([]byte, error) {
	return encode(responseHead{Status: h.Status, ContentLength: h.ContentLength, Chunked: h.Chunked, Claimed: h.Claimed, Fields: fieldsOf(h.Header)}, nil)
}

// Response is a target's response to a relayed request.
type Response struct {
	*http.Response
	// Claimed is as in ResponseHead.
	Claimed bool
}

// readResponse reads the head of a response. The response's body reads the rest of source and closes it.
func readResponse(source io.ReadCloser, memory *rudderbody.Reservation) (*Response, error) {
	reader := bufio.NewReader(source)
	var head responseHead
	if err := decode(reader, &head, memory); err != nil {
		return nil, err
	}
	header := headerOf(head.Fields)
	if err := rudderresponse.CheckHead(head.Status, header); err != nil { // an earlier version relays what it has read
		return nil, err
	}
	response := &http.Response{
		StatusCode: head.Status, Status: http.StatusText(head.Status), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
		ContentLength: head.ContentLength, Body: struct {
			io.Reader
			io.Closer
		}{reader, source},
	}
	if head.Chunked {
		response.TransferEncoding = []string{"chunked"}
	}
	return &Response{response, head.Claimed}, nil
}
