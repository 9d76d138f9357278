package rudderfaults

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/rudderstand/rudderoracle"
	"comfreyrudder.example/rudderstand/rudderscene"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

// operatorTimeout bounds the wait of an operator until a change is in force.
const operatorTimeout = 8 * time.Second

// change sends a change to the admin API of an entry host and records the result as evidence. A version above 0
// is the configuration version that the change is based on.
func (w *World) change(e *rudderscene.Entry, method, path string, version int64, body any) (rudderadmin.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	client := &rudderadmin.Client{
		Addresses: []string{e.App.AdminAddress()}, Token: rudderfleetstand.OperatorToken, HTTP: w.client,
	}
	var result rudderadmin.ChangeResult
	err := client.Do(ctx, method, path, nil, version, body, &result)
	w.recorder.Change(result, err)
	return result, err
}

// changeLabel sets a label that no selector uses, which changes the configuration without any other effect.
func (w *World) changeLabel(e *rudderscene.Entry, value string, version int64) (rudderadmin.ChangeResult, error) {
	host := w.fleet.Hosts[0].Name
	return w.change(e, http.MethodPatch, "/hosts/"+host+"/labels", version, rudderadmin.LabelChange{Set: map[string]string{"shift": value}})
}

// drain drains a host. From the moment the change is in force, the oracle checks that the host gets no new
// work.
func (w *World) drain(e *rudderscene.Entry, host string) error {
	result, err := w.change(e, http.MethodPut, "/hosts/"+host+"/drain", 0, nil)
	if err != nil || result.State != rudderadmin.StateAccepted {
		return errors.Newf("drain of %s is %q: %v", host, result.State, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving[host] = rudderoracle.Stop{Host: host, Address: w.fleet.Host(host).Address, From: time.Now()}
	return nil
}

// undrain returns a drained host to service.
func (w *World) undrain(e *rudderscene.Entry, host string) error {
	w.mu.Lock()
	if s, drained := w.leaving[host]; drained && s.To.IsZero() {
		s.To = time.Now()
		w.recorder.Leaving(s)
		delete(w.leaving, host)
	}
	w.mu.Unlock()
	_, err := w.change(e, http.MethodDelete, "/hosts/"+host+"/drain", 0, nil)
	return err
}

// handOver reassigns the hosts of the cues selector to the other model.
func (w *World) handOver(e *rudderscene.Entry) error {
	var selector rudderconfig.Selector
	for _, s := range w.fleet.Document.Selectors {
		if s.Name == selectorCues {
			selector = s
		}
	}
	selector.Model = rudderfleetstand.ModelLedger
	_, err := w.change(e, http.MethodPut, "/selectors/"+selectorCues, 0, selector)
	return err
}

// raceOperators changes the same configuration version at two entry hosts concurrently. At most one change
// may be accepted.
func (w *World) raceOperators() {
	live := w.live()
	version, ok := live[0].App.ServingVersion()
	if !ok || len(live) < 2 {
		return
	}
	type outcome struct {
		result rudderadmin.ChangeResult
		err    error
	}
	outcomes := make(chan outcome, 2)
	for i, value := range []string{"morning", "evening"} {
		go func() {
			result, err := w.changeLabel(live[i], value, version)
			outcomes <- outcome{result, err}
		}()
	}
	first, second := <-outcomes, <-outcomes
	if first.err == nil && second.err == nil && first.result.Version == second.result.Version {
		w.addViolation(rudderoracle.Config, "two operators both changed version %d into %d", version, first.result.Version)
	}
}
