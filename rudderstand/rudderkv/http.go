package rudderkv

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderstore"
)

// maxBodyBytes covers a value of rudderstore.MaxValueBytes in base64 with its key. The value's own
// size is checked after decoding.
const maxBodyBytes = 2 << 20

// Handler returns the service's HTTP API.
func (s *Server) Handler() http.Handler {
	s.init()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.handle(s.serveGet))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.handle(s.servePut))
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.handle(s.serveDelete))
	mux.HandleFunc("GET /v1/list", s.handle(s.serveList))
	mux.HandleFunc("POST /v1/leases", s.handle(s.serveGrant))
	mux.HandleFunc("POST /v1/leases/{id}/keepalive", s.handle(s.serveKeepAlive))
	mux.HandleFunc("DELETE /v1/leases/{id}", s.handle(s.serveRevoke))
	mux.HandleFunc("GET /v1/watch", s.handle(s.serveWatch))
	return mux
}

// serve handles one kind of call.
type serve func(store *rudderstore.Store, r *http.Request) (rudderstore.Response, error)

// errBadRequest reports a request that does not follow the protocol.
var errBadRequest = errors.New("key-value service: bad request")

func (s *Server) handle(call serve) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		response, err := call(s.StoreFor(r.Header.Get(rudderstore.HeaderClient)), r)
		if errors.Is(err, rudderstore.ErrUnknownOutcome) {
			// The outcome must stay unknown to the caller, so the connection is closed without a response.
			panic(http.ErrAbortHandler)
		}
		response.Era = s.restores()
		status := http.StatusOK
		if err != nil {
			response.Error, status = rudderstore.CodeOf(err)
		}
		if errors.Is(err, errBadRequest) {
			response.Error, status = "bad_request", http.StatusBadRequest
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set(rudderstore.HeaderRevision, strconv.FormatInt(response.Revision, 10))
		w.WriteHeader(status)
		// A failed write means that the caller has disconnected.
		_ = json.NewEncoder(w).Encode(response)
	}
}

func (s *Server) serveGet(store *rudderstore.Store, r *http.Request) (rudderstore.Response, error) {
	entry, revision, err := store.Get(r.Context(), r.PathValue("key"))
	return rudderstore.Response{Revision: revision, Entry: &entry}, err
}

func (s *Server) serveList(store *rudderstore.Store, r *http.Request) (rudderstore.Response, error) {
	entries, revision, err := store.List(r.Context(), r.URL.Query().Get("prefix"))
	return rudderstore.Response{Revision: revision, Entries: entries}, err
}

func (s *Server) servePut(store *rudderstore.Store, r *http.Request) (rudderstore.Response, error) {
	var request rudderstore.PutRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return rudderstore.Response{}, rudderstore.ErrTooLarge
		}
		return rudderstore.Response{}, errBadRequest
	}
	request.Key = r.PathValue("key")
	revision, err := store.Put(r.Context(), request)
	return rudderstore.Response{Revision: revision}, err
}

func (s *Server) serveDelete(store *rudderstore.Store, r *http.Request) (rudderstore.Response, error) {
	expected, err := strconv.ParseInt(r.URL.Query().Get("expected"), 10, 64)
	if err != nil {
		return rudderstore.Response{}, errBadRequest
	}
	revision, err := store.Delete(r.Context(), r.PathValue("key"), expected)
	return rudderstore.Response{Revision: revision}, err
}

func (s *Server) serveGrant(store *rudderstore.Store, r *http.Request) (rudderstore.Response, error) {
	var request rudderstore.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTLMillis <= 0 {
		return rudderstore.Response{}, errBadRequest
	}
	lease, err := store.GrantLease(r.Context(), time.Duration(request.TTLMillis)*time.Millisecond)
	return rudderstore.Response{Lease: lease}, err
}

func (s *Server) serveKeepAlive(store *rudderstore.Store, r *http.Request) (rudderstore.Response, error) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return rudderstore.Response{}, errBadRequest
	}
	return rudderstore.Response{}, store.KeepAlive(r.Context(), id)
}

func (s *Server) serveRevoke(store *rudderstore.Store, r *http.Request) (rudderstore.Response, error) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return rudderstore.Response{}, errBadRequest
	}
	return rudderstore.Response{}, store.RevokeLease(r.Context(), id)
}

func (s *Server) serveWatch(store *rudderstore.Store, r *http.Request) (rudderstore.Response, error) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil || len(query["prefix"]) == 0 {
		return rudderstore.Response{}, errBadRequest
	}
	result, err := store.Watch(r.Context(), rudderstore.WatchRequest{
		Prefixes: query["prefix"], After: after, Wait: time.Duration(wait) * time.Millisecond,
	})
	return rudderstore.Response{Revision: result.Revision, Events: result.Events}, err
}
