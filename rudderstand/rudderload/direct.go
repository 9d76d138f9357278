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

// Direct compares one group through an entry host with the same group asked straight.
type Direct struct {
	// Requests of each kind, one after the other in turn, with answers of Tokens tokens.
	Requests int
	Tokens   int
}

// DirectResult holds the times of both ways.
type DirectResult struct {
	Through, Straight Row
}

// ErrWrongText reports an answer with another text than the right one.
var ErrWrongText = errors.New("load: wrong text")

const directStartTimeout = 20 * time.Second

// Run starts a small fleet with one model group and one entry host, and measures.
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
	throughTimes, straightTimes := newHistograms(key{class: "through"}), newHistograms(key{class: "straight"})
	for n := range d.Requests {
		chat.Prompt = fmt.Sprintf("through %d %s", n, rudderengine.LengthMark(d.Tokens))
		if err := throughTimes.record(through.Chat(ctx, chat)); err != nil {
			return DirectResult{}, err
		}
		// An engine reports no outcome, so a caller of its own takes each answer after one send.
		straight := (&ruddercaller.Caller{HTTP: client, MaxAttempts: 1}).From(leader)
		chat.Prompt = fmt.Sprintf("straight %d %s", n, rudderengine.LengthMark(d.Tokens))
		if err := straightTimes.record(straight.Chat(ctx, chat)); err != nil {
			return DirectResult{}, err
		}
	}
	return DirectResult{throughTimes.finish(), straightTimes.finish()}, nil
}

// leaderOf is the address of the only model group's leader, or "".
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

// record takes the times of one answer, whose text must be whole.
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

// AddedFirstToken is what the system adds to the time to first token: the difference of the quantiles.
func (r DirectResult) AddedFirstToken() Quantiles {
	return r.Through.FirstToken.minus(r.Straight.FirstToken)
}

// AddedGap is what the system adds between tokens.
func (r DirectResult) AddedGap() Quantiles { return r.Through.Gap.minus(r.Straight.Gap) }

func (q Quantiles) minus(other Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - other.P50, P95: q.P95 - other.P95, P99: q.P99 - other.P99}
}

// Write prints both ways and the difference, p50/p95/p99 in milliseconds, or JSON.
func (r DirectResult) Write(output io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(output).Encode(struct {
			Through         Row       `json:"through"`
			Straight        Row       `json:"straight"`
			AddedFirstToken Quantiles `json:"added_first_token"`
			AddedGap        Quantiles `json:"added_gap"`
		}{r.Through, r.Straight, r.AddedFirstToken(), r.AddedGap()})
	}
	precise := func(q Quantiles) string { return fmt.Sprintf("%.2f/%.2f/%.2f", q.P50, q.P95, q.P99) }
	_, err := fmt.Fprintf(output, "first token: through %s, straight %s, added %s ms\nbetween tokens: through %s, straight %s, added %s ms\n",
		precise(r.Through.FirstToken), precise(r.Straight.FirstToken), precise(r.AddedFirstToken()),
		precise(r.Through.Gap), precise(r.Straight.Gap), precise(r.AddedGap()))
	return err
}
