package rudderapp

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// plansDelay is how long the key-value service may take to list the plans until other entry hosts are asked.
	plansDelay = 300 * time.Millisecond
	// planPeers is the number of entry hosts that are asked at once, and planPeerTimeout bounds the calls.
	planPeers       = 3
	planPeerTimeout = time.Second
)

// fetchPlans asks other entry hosts for their plans until this one knows some, or the key-value service has listed them. A host
// that has started while the service does not respond knows none.
func (a *App) fetchPlans(ctx context.Context) error {
	for a.wait(ctx, plansDelay); ctx.Err() == nil && !a.plansListed.Load() && len(a.fleet.Plans()) == 0; a.wait(ctx, relistPause) {
		var others []ruddermember.Member
		for _, m := range a.node.Live() {
			if m.Name != a.self.Name {
				others = append(others, m)
			}
		}
		rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
		for _, m := range others[:min(len(others), planPeers)] {
			if err := a.fetchPlansFrom(ctx, m); err != nil {
				a.warn("plans of another entry host")(errors.Wrap(err, m.Name))
			}
		}
	}
	return nil
}

func (a *App) fetchPlansFrom(ctx context.Context, m ruddermember.Member) error {
	ctx, cancel := context.WithTimeout(ctx, planPeerTimeout)
	defer cancel()
	response, err := rudderpeer.NewPlansProtobufClient("http://"+m.PeerAddress, a.peers).List(ctx, &rudderpeer.PlansRequest{})
	if err != nil {
		return err
	}
	for _, text := range response.GetPlans() {
		a.applyPlan(m.Name, text)
	}
	return nil
}

// plansServer serves the Plans calls of other entry hosts.
type plansServer struct{ app *App }

// List implements rudderpeer.Plans.
func (s plansServer) List(context.Context, *rudderpeer.PlansRequest) (*rudderpeer.PlansResponse, error) {
	response := &rudderpeer.PlansResponse{}
	for _, p := range s.app.fleet.Plans() {
		text, err := json.Marshal(p)
		if err != nil {
			return nil, errors.Wrap(err, "encode plan")
		}
		response.Plans = append(response.Plans, text)
	}
	return response, nil
}
