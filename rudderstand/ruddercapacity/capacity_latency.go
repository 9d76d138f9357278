package ruddercapacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/shared/rudderadmin"
)

// Latency holds the token latencies of streamed responses.
type Latency struct {
	FirstToken, TokenGap []time.Duration // sorted
}

// Quantile returns the q-quantile of sorted durations, or 0 if there are none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

const (
	streamTokens  = 20
	streamTimeout = 20 * time.Second
)

// CompareLatency streams responses directly from an engine and through the system. It alternates between
// the two so that both are measured under the same machine load.
func (f *Fleet) CompareLatency(requests int) (direct, through Latency, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var listed struct {
		Groups []rudderadmin.Group `json:"groups"`
	}
	if err := f.Admin().Get(ctx, "/groups", nil, &listed); err != nil {
		return direct, through, err
	}
	groups := listed.Groups
	i := slices.IndexFunc(groups, func(g rudderadmin.Group) bool {
		return g.State == "serving" && strings.HasPrefix(g.Work, rudderfleetstand.ModelLedger)
	})
	if i < 0 {
		return direct, through, errors.Newf("none of %d groups serves model %s", len(groups), rudderfleetstand.ModelLedger)
	}
	leader := f.Scene.Fleet.Host(groups[i].Hosts[0]).Address
	entry := f.Scene.Entries()[0].App.CallerAddress()
	key := rudderfleetstand.WorkspaceKey(rudderfleetstand.WorkspaceName(rudderfleetstand.FirmUmuvumu, 1))
	for n := range requests {
		if err := stream(ctx, leader, "", fmt.Sprint("direct-", n), &direct); err != nil {
			return direct, through, errors.Wrapf(err, "request %d sent directly to engine %s", n, leader)
		}
		if err := stream(ctx, entry, key, "", &through); err != nil {
			return direct, through, errors.Wrapf(err, "request %d sent through entry host %s", n, entry)
		}
	}
	for _, l := range []*Latency{&direct, &through} {
		slices.Sort(l.FirstToken)
		slices.Sort(l.TokenGap)
	}
	return direct, through, nil
}

// stream sends one streaming request and records its token latencies.
func stream(ctx context.Context, address, key, id string, into *Latency) error {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	body := map[string]any{
		"model": rudderfleetstand.ModelLedger, "stream": true, "max_tokens": streamTokens,
		"messages": []map[string]string{{"role": "user", "content": "summarise the season of cooperative " + time.Now().String()}},
	}
	if id != "" {
		body["rudder_request_id"], body["rudder_attempt"] = id, 1
	}
	payload, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(payload))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("POST /v1/chat/completions: status %d", response.StatusCode)
	}
	return into.read(response, began)
}

// read records the arrival times of the non-empty tokens of an event stream.
func (l *Latency) read(response *http.Response, began time.Time) error {
	lines := bufio.NewScanner(response.Body)
	last, tokens := began, 0
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData || !strings.Contains(data, `"content":"`) || strings.Contains(data, `"content":""`) {
			continue
		}
		now := time.Now()
		if tokens == 0 {
			l.FirstToken = append(l.FirstToken, now.Sub(began))
		} else {
			l.TokenGap = append(l.TokenGap, now.Sub(last))
		}
		last = now
		tokens++
	}
	if tokens == 0 {
		return errors.New("streamed response contained no tokens")
	}
	return lines.Err()
}

// ConfigChanges changes the configuration repeatedly and returns the sorted times until each change was in
// force on all entry hosts.
func (f *Fleet) ConfigChanges(changes int) ([]time.Duration, error) {
	host := f.Scene.Fleet.Hosts[0].Name
	var times []time.Duration
	for n := range changes {
		ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
		var result rudderadmin.ChangeResult
		began := time.Now()
		err := f.Admin().Do(ctx, http.MethodPatch, "/hosts/"+host+"/labels", nil, 0,
			rudderadmin.LabelChange{Set: map[string]string{"bench": fmt.Sprint(n)}}, &result)
		cancel()
		if err != nil {
			return times, err
		}
		if result.State != "accepted" {
			return times, errors.Newf("label change %d of host %s ended in state %s, not confirmed by %v", n, host, result.State, result.Missing)
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	return times, nil
}
