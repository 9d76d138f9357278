package rudderedge

import (
	"context"
	"net/http"
	"time"

	"comfreyrudder.example/rudderd/rudderverdict"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

// indirectProbePath is the path of the call with which entry hosts ask each other for a finding on a target.
const indirectProbePath = "/indirect-probe"

// findingRequest asks for a finding on one incarnation of a target. Without a target, it asks only for the path.
type findingRequest struct {
	Target string `json:"target,omitempty"`
	Born   int64  `json:"born,omitempty"`
	// SilenceMS is how long the target has not answered the entry host that asks.
	SilenceMS int64 `json:"silence_ms,omitempty"`
	// Report is set if a target that names a limit of requests is to be probed too.
	Report bool `json:"report,omitempty"`
}

// findingResponse is a rudderverdict.Finding.
type findingResponse struct {
	Path       bool    `json:"path"`
	Refused    bool    `json:"refused,omitempty"`
	Answered   bool    `json:"answered,omitempty"`
	Alive      bool    `json:"alive,omitempty"`
	Group      string  `json:"group,omitempty"`
	Epoch      int64   `json:"epoch,omitempty"`
	Rank       int     `json:"rank,omitempty"`
	Phase      string  `json:"phase,omitempty"`
	Orders     int64   `json:"orders,omitempty"`
	Running    int     `json:"running,omitempty"`
	Waiting    int     `json:"waiting,omitempty"`
	TimeFactor float64 `json:"time_factor,omitempty"`
	Born       int64   `json:"born,omitempty"`
}

func newDetector(e *Edge) *rudderverdict.Detector {
	return &rudderverdict.Detector{
		Name: e.Settings.Name, DataCentre: e.Settings.DataCentre, Logger: e.Logger, Uptime: e.uptime, Snapshot: e.view.Snapshot,
		Probe: e.forwarder.ProbeTarget, Connect: e.connect, Ask: e.askForFinding, Streaming: e.forwarder.Streaming, Isolated: func() bool { return e.path.Isolated() },
		Limits: e.limits, Planning: func() bool { return e.planner.Planning() },
	}
}

// connectTarget opens a connection to a target and closes it.
func connectTarget(ctx context.Context, address string) error {
	connection, err := Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return connection.Close()
}

// askForFinding implements rudderverdict.Detector.Ask.
func (e *Edge) askForFinding(ctx context.Context, x rudderview.EntryHost, t *rudderview.Target, q rudderverdict.Question) (rudderverdict.Finding, error) {
	question := findingRequest{SilenceMS: q.Silence.Milliseconds(), Report: q.Report}
	if t != nil {
		question.Target, question.Born = t.Name, t.Born
	}
	var answer findingResponse
	if err := e.callPeer(ctx, x, indirectProbePath, question, &answer); err != nil {
		return rudderverdict.Finding{}, err
	}
	return rudderverdict.Finding{Path: answer.Path, Refused: answer.Refused, Answered: answer.Answered, Alive: answer.Alive, Report: ruddertarget.GroupReport{
		Membership: ruddertarget.Membership{Group: answer.Group, Epoch: answer.Epoch, Rank: answer.Rank, Phase: ruddertarget.GroupPhase(answer.Phase)},
		Orders:     answer.Orders, Running: answer.Running, Waiting: answer.Waiting, TimeFactor: answer.TimeFactor, Born: answer.Born,
	}}, nil
}

// serveIndirectProbe serves the questions of other entry hosts for a finding.
func (e *Edge) serveIndirectProbe(w http.ResponseWriter, r *http.Request) {
	var question findingRequest
	if !readCall(w, r, &question) {
		return
	}
	finding := e.finding(r.Context(), question)
	m := finding.Report.Membership
	writeAnswer(w, findingResponse{
		Path: finding.Path, Refused: finding.Refused, Answered: finding.Answered, Alive: finding.Alive,
		Group: m.Group, Epoch: m.Epoch, Rank: m.Rank, Phase: string(m.Phase),
		Orders: finding.Report.Orders, Running: finding.Report.Running, Waiting: finding.Report.Waiting, TimeFactor: finding.Report.TimeFactor, Born: finding.Report.Born,
	})
}

// finding answers a question. An incarnation that this entry host does not know is answered as if it had no path.
func (e *Edge) finding(ctx context.Context, question findingRequest) rudderverdict.Finding {
	if question.Target == "" {
		return rudderverdict.Finding{Path: e.detector.HasPath(ctx, nil)}
	}
	t := e.view.Snapshot().Incarnation(question.Target, question.Born)
	if t == nil {
		return rudderverdict.Finding{}
	}
	return e.detector.ProbeForPeer(t, rudderverdict.Question{Silence: time.Duration(question.SilenceMS) * time.Millisecond, Report: question.Report})
}
