package rudderswitch

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/rudderrole"
	"comfreyrudder.example/shared/rudderhost"
	"comfreyrudder.example/shared/ruddertarget"
)

// maxFaultBytes bounds the body of a request that sets a switch.
const maxFaultBytes = 64 << 10

// HostReport is one element of the response to GET /v1/hosts.
type HostReport struct {
	rudderhost.Host
	Alive  bool                `json:"alive"`
	Status ruddertarget.Status `json:"status"`
}

// Handler returns the switch API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		rudderrole.WriteJSON(w, http.StatusOK, s.reports())
	})
	mux.HandleFunc("GET /v1/ledgers/runs", func(w http.ResponseWriter, _ *http.Request) {
		rudderrole.WriteJSON(w, http.StatusOK, s.Runs.Runs())
	})
	mux.HandleFunc("GET /v1/ledgers/calls", func(w http.ResponseWriter, _ *http.Request) {
		rudderrole.WriteJSON(w, http.StatusOK, s.Calls.Calls())
	})
	mux.HandleFunc("GET /v1/kv/counts", func(w http.ResponseWriter, _ *http.Request) {
		rudderrole.WriteJSON(w, http.StatusOK, s.KV.Counts())
	})
	mux.HandleFunc("DELETE /v1/kv/counts", func(w http.ResponseWriter, _ *http.Request) {
		s.KV.ResetCounts()
		rudderrole.WriteJSON(w, http.StatusOK, struct{}{})
	})
	named := func(set func(name string, f Fault) error) http.HandlerFunc {
		return handleFault(func(r *http.Request, f Fault) error { return set(r.PathValue("name"), f) })
	}
	single := func(set func(f Fault) error) http.HandlerFunc {
		return handleFault(func(_ *http.Request, f Fault) error { return set(f) })
	}
	mux.HandleFunc("POST /v1/hosts/{name}/faults", named(s.SetHost))
	mux.HandleFunc("POST /v1/domains/{name}/faults", named(s.SetDomain))
	mux.HandleFunc("POST /v1/data_centres/{name}/faults", named(s.SetDataCentre))
	mux.HandleFunc("POST /v1/kv/faults", single(s.SetKV))
	mux.HandleFunc("POST /v1/list/faults", single(s.SetList))
	return mux
}

func (s *Server) reports() []HostReport {
	reports := make([]HostReport, 0, len(s.Hosts))
	for _, h := range s.Hosts {
		report := HostReport{Host: h.Host, Alive: h.Alive()}
		if h.Engine != nil {
			report.Status = h.Engine.Status()
		} else {
			report.Status = h.Backend.Status()
		}
		reports = append(reports, report)
	}
	return reports
}

func handleFault(set func(r *http.Request, f Fault) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
		// A misspelt field would silently set another fault than the caller meant.
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&f)
		status := http.StatusBadRequest
		if err == nil {
			err = set(r, f)
			status = statusOf(err)
		}
		if err != nil {
			rudderrole.WriteJSON(w, status, map[string]string{"error": err.Error()})
			return
		}
		rudderrole.WriteJSON(w, http.StatusOK, struct{}{})
	}
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrUnknown):
		return http.StatusNotFound
	case errors.Is(err, ErrUnsupported):
		return http.StatusUnprocessableEntity
	}
	return http.StatusInternalServerError
}
