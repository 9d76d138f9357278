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

// Latency holds the times of streamed answers.
type Latency struct {
	FirstToken, TokenGap []time.Duration // sorted
}

// Quantile of sorted times.
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

// CompareLatency streams answers straight from an engine and through the system by turns, so that both
// see the same machine.
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
		return direct, through, errors.New("no group serves the ledger's model")
	}
	leader := f.Scene.Fleet.Host(groups[i].Hosts[0]).Address
	entry := f.Scene.Entries()[0].App.CallerAddress()
	key := rudderfleetstand.WorkspaceKey(rudderfleetstand.WorkspaceName(rudderfleetstand.FirmUmuvumu, 1))
	for n := range requests {
		if err := stream(ctx, leader, "", fmt.Sprint("direct-", n), &direct); err != nil {
			return direct, through, errors.Wrap(err, "straight to the engine")
		}
		if err := stream(ctx, entry, key, "", &through); err != nil {
			return direct, through, errors.Wrap(err, "through the system")
		}
	}
	for _, l := range []*Latency{&direct, &through} {
		slices.Sort(l.FirstToken)
		slices.Sort(l.TokenGap)
	}
	return direct, through, nil
}

// stream sends one request and takes the times of its tokens.
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
		return errors.Newf("status %d", response.StatusCode)
	}
	return into.read(response, began)
}

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
		return errors.New("an answer without a token")
	}
	return lines.Err()
}

// ConfigChanges makes changes of the configuration and returns, for each, the time until it was in force
// on all entry hosts.
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
			return times, errors.Newf("change is %s, missing %v", result.State, result.Missing)
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	return times, nil
}
