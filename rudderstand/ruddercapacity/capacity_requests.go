package ruddercapacity

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderrelay"
	"comfreyrudder.example/rudderstand/rudderfleetstand"
	"comfreyrudder.example/shared/rudderpeer"
)

// loadTokens is small so that the cost of admission dominates that of generating tokens.
const loadTokens = 2

// GenerateLoad sends requests at a constant rate for the span, in turn to each entry host, and returns how
// many were answered.
func (f *Fleet) GenerateLoad(perSecond int, span time.Duration) int {
	var answered atomic.Int64
	var running sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	key := rudderfleetstand.WorkspaceKey(rudderfleetstand.WorkspaceName(rudderfleetstand.FirmUmuvumu, 1))
	entries := f.Scene.Entries()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; n < int(span.Seconds()*float64(perSecond)); n++ {
		<-ticker.C
		address := entries[n%len(entries)].App.CallerAddress()
		running.Go(func() {
			if sendRequest(client, address, key) == nil {
				answered.Add(1)
			}
		})
	}
	running.Wait()
	return int(answered.Load())
}

func sendRequest(client *http.Client, address, key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	payload, err := json.Marshal(map[string]any{
		"model": rudderfleetstand.ModelLedger, "max_tokens": loadTokens,
		"messages": []map[string]string{{"role": "user", "content": "season"}},
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(payload))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("POST /v1/chat/completions: status %d", response.StatusCode)
	}
	return nil
}

// CallCost is the mean cost of one signed call between entry hosts.
type CallCost struct {
	// CPU is the CPU time of caller and callee together.
	CPU time.Duration
	// Bytes is the TCP payload in both directions.
	Bytes float64
}

// MeasurePeerCall measures signed calls with small bodies over one connection, after a tenth as many to warm
// up.
func MeasurePeerCall(calls int) (CallCost, error) {
	clock := clockwork.NewRealClock()
	keys := rudderpeer.NewKeyring([]byte("capacity-peer-secret"))
	relay := &rudderrelay.Relay{Fleet: &rudderfleet.Fleet{}, Clock: clock, Members: func() []ruddermember.Member { return nil }}
	traffic := &Traffic{}
	base := &rudderpeer.Pool{Dial: dialCounted(&traffic.PeerBytes)}
	client := &http.Client{Transport: &rudderpeer.Transport{Keys: keys, Clock: clock, Base: base}}
	server, address, err := startPeerServer(relay.Handler(), keys, clock)
	if err != nil {
		return CallCost{}, err
	}
	defer func() { _ = server.Close() }()
	fleet := rudderpeer.NewFleetProtobufClient("http://"+address, client)
	var cpu time.Duration
	for n := -calls / 10; n < calls; n++ {
		if n == 0 {
			cpu = processorTime()
			traffic.PeerBytes.Store(0)
		}
		if _, err := fleet.Confirmations(context.Background(), &rudderpeer.ConfirmationsRequest{Domains: []string{"kigali-1-a"}}); err != nil {
			return CallCost{}, err
		}
	}
	return CallCost{CPU: (processorTime() - cpu) / time.Duration(calls), Bytes: float64(traffic.PeerBytes.Load()) / float64(calls)}, nil
}
