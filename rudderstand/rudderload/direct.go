package rudderload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/ruddercaller"
	"comfreyrudder.example/rudderstand/rudderengine"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/shared/ruddergroup"
)

// Direct compares requests to one group through an entry host with requests to its leader directly.
type Direct struct {
	// Requests is the number of requests of each kind, which are sent in turn and one at a time. Tokens is the
	// length of each answer.
	Requests int
	Tokens   int
}

// DirectResult holds the latencies of both kinds of requests.
type DirectResult struct {
	Through, Direct Row
}

// ErrWrongText reports an answer whose text is not the expected one.
var ErrWrongText = errors.New("load: wrong text")

const directStartTimeout = 20 * time.Second

// Run starts a small environment with one model group and one entry host, and measures both kinds of requests.
func (d Direct) Run(ctx context.Context) (DirectResult, error) {
	layout := rudderfleetstand.Small()
	layout.Document.Selectors[0].WantedGroups = 1
	scene := &rudderscene.Scene{Fleet: &rudderfleetstand.Fleet{Layout: layout}, Locations: rudderscene.LocationsOf(layout, 1)}
	defer scene.Close()
	if err := scene.Start(); err != nil {
		return DirectResult{}, err
	}
	workspace := scene.Fleet.Document.Workspaces[0].Name
	client := &http.Client{}
	through := &ruddercaller.Caller{Seeds: []string{scene.Entries()[0].App.CallerAddress()}, Key: rudderfleetstand.WorkspaceKey(workspace), HTTP: client}
	chat := ruddercaller.Chat{Model: rudderfleetstand.ModelLedger, MaxTokens: d.Tokens, Stream: true}
	err := rudderscene.Await(directStartTimeout, "an answer", func() bool {
		chat.Prompt = "ready?"
		return through.Chat(ctx, chat).Answer.Outcome != "" && leaderOf(ctx, scene) != ""
	})
	if err != nil {
		return DirectResult{}, err
	}
	leader := leaderOf(ctx, scene)
	throughTimes, directTimes := newHistograms(key{class: "through"}), newHistograms(key{class: "straight"})
	for n := range d.Requests {
		chat.Prompt = fmt.Sprintf("through %d %s", n, rudderengine.LengthMark(d.Tokens))
		if err := throughTimes.record(through.Chat(ctx, chat)); err != nil {
			return DirectResult{}, err
		}
		// An engine reports no outcome, so the caller counts its answer as a lost connection and drops the
		// address. Each direct request therefore has its own caller with a single attempt.
		direct := (&ruddercaller.Caller{HTTP: client, MaxAttempts: 1}).UseEntry(leader)
		chat.Prompt = fmt.Sprintf("straight %d %s", n, rudderengine.LengthMark(d.Tokens))
		if err := directTimes.record(direct.Chat(ctx, chat)); err != nil {
			return DirectResult{}, err
		}
	}
	return DirectResult{throughTimes.finish(), directTimes.finish()}, nil
}

// leaderOf returns the address of the leader of the only model group, or "".
func leaderOf(ctx context.Context, scene *rudderscene.Scene) string {
	entries, _, _ := scene.Fleet.KV.Store().List(ctx, ruddergroup.PlanPrefix)
	for _, e := range entries {
		var plan ruddergroup.Plan
		if json.Unmarshal(e.Value, &plan) != nil {
			continue
		}
		for _, g := range plan.Groups {
			if g.Model != "" {
				return g.Leader()
			}
		}
	}
	return ""
}

// record records the latencies of one answer. It returns ErrWrongText unless the text is complete and correct.
func (h *histograms) record(r ruddercaller.Result) error {
	r.Answer.Outcome = "complete"
	if wrongText(r.Answer) || r.FirstToken == 0 {
		return errors.Wrapf(ErrWrongText, "%s: %d bytes", h.row.Class, len(r.Answer.Text))
	}
	h.row.Outcomes[r.Answer.Outcome]++
	_ = h.waiting.RecordValue(r.Waiting.Microseconds())
	_ = h.firstToken.RecordValue(r.FirstToken.Microseconds())
	for _, gap := range r.Gaps {
		_ = h.gap.RecordValue(gap.Microseconds())
	}
	return nil
}

func (h *histograms) finish() Row {
	h.row.Waiting, h.row.FirstToken, h.row.Gap = quantiles(h.waiting), quantiles(h.firstToken), quantiles(h.gap)
	return h.row
}

// AddedFirstToken returns what the system adds to the time to first token, as the difference of the quantiles.
func (r DirectResult) AddedFirstToken() Quantiles {
	return r.Through.FirstToken.minus(r.Direct.FirstToken)
}

// AddedGap returns what the system adds to the time between tokens.
func (r DirectResult) AddedGap() Quantiles { return r.Through.Gap.minus(r.Direct.Gap) }

func (q Quantiles) minus(other Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - other.P50, P95: q.P95 - other.P95, P99: q.P99 - other.P99}
}

// Write writes the p50/p95/p99 of both kinds of requests and their difference in milliseconds, or JSON.
func (r DirectResult) Write(output io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(output).Encode(struct {
			Through         Row       `json:"through"`
			Straight        Row       `json:"straight"`
			AddedFirstToken Quantiles `json:"added_first_token"`
			AddedGap        Quantiles `json:"added_gap"`
		}{r.Through, r.Direct, r.AddedFirstToken(), r.AddedGap()})
	}
	precise := func(q Quantiles) string { return fmt.Sprintf("%.2f/%.2f/%.2f", q.P50, q.P95, q.P99) }
	_, err := fmt.Fprintf(output, "first token: through %s, straight %s, added %s ms\nbetween tokens: through %s, straight %s, added %s ms\n",
		precise(r.Through.FirstToken), precise(r.Direct.FirstToken), precise(r.AddedFirstToken()),
		precise(r.Through.Gap), precise(r.Direct.Gap), precise(r.AddedGap()))
	return err
}
