// Package rudderrelay transfers the confirmations of group members from the planners that poll them to the
// entry hosts that route requests to the groups.
package rudderrelay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrudder.example/rudderd/rudderfleet"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderpeer"
	"comfreyrudder.example/shared/ruddertarget"
)

// Relay pulls confirmations from planners and serves the pulls of other entry hosts. Set the exported fields
// before Run.
type Relay struct {
	Self       string
	Fleet      *rudderfleet.Fleet
	Members    func() []ruddermember.Member
	HTTPClient *http.Client
	Clock      clockwork.Clock
	// Interval between two pulls from one planner.
	Interval time.Duration
	// Planners returns the fabric domains whose confirmations this entry host needs, by the name of the entry
	// host that plans them. The relay sets them as the followed domains of the Fleet.
	Planners func() map[string][]string
	// AllPlanners returns all fabric domains in the same form, for Refresh.
	AllPlanners func() map[string][]string
	// ConfirmTTL is the age from which on a confirmation is not used.
	ConfirmTTL time.Duration
}

// Handler serves the pulls of other entry hosts.
func (r *Relay) Handler() rudderpeer.TwirpServer { return rudderpeer.NewFleetServer(r) }

// Confirmations implements the twirp service.
func (r *Relay) Confirmations(_ context.Context, request *rudderpeer.ConfirmationsRequest) (*rudderpeer.ConfirmationsResponse, error) {
	now := r.Clock.Now()
	longest := time.Duration(request.GetMaxAgeMs()) * time.Millisecond
	response := &rudderpeer.ConfirmationsResponse{}
	for _, domain := range request.GetDomains() {
		for _, c := range r.Fleet.Confirmations(domain) {
			if age := now.Sub(c.At); longest == 0 || age < longest {
				response.Confirmations = append(response.Confirmations, toWire(c, age))
			}
		}
	}
	return response, nil
}

// checksPerInterval is how often in an interval the relay checks for domains that it newly needs: a new owner
// of a shard grants nothing before it has their confirmations.
const checksPerInterval = 4

// Run pulls confirmations until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	ticker := r.Clock.NewTicker(r.Interval / checksPerInterval)
	defer ticker.Stop()
	known := map[string]bool{}
	for check := 0; ; check++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		known = r.pullNeeded(ctx, known, check%checksPerInterval == 0)
	}
}

// pullNeeded starts one pull from each planner, for all its needed domains or for those that were not needed
// before. The pulls run concurrently, so that one that hangs does not delay the others. It returns the needed
// domains.
func (r *Relay) pullNeeded(ctx context.Context, known map[string]bool, all bool) map[string]bool {
	members := r.members()
	followed := map[string]bool{}
	for planner, domains := range r.Planners() {
		var wanted []string
		for _, d := range domains {
			followed[d] = true
			if all || !known[d] {
				wanted = append(wanted, d)
			}
		}
		if m, ok := members[planner]; ok && planner != r.Self && len(wanted) > 0 {
			go r.pull(ctx, m, wanted)
		}
	}
	r.Fleet.SetFollowed(followed)
	return followed
}

// Refresh pulls the confirmations of all domains once and waits for the result. It is used for reports to
// operators.
func (r *Relay) Refresh(ctx context.Context) {
	members := r.members()
	var pulls sync.WaitGroup
	for planner, domains := range r.AllPlanners() {
		if m, ok := members[planner]; ok && planner != r.Self {
			pulls.Go(func() { r.pull(ctx, m, domains) })
		}
	}
	pulls.Wait()
}

func (r *Relay) members() map[string]ruddermember.Member {
	members := make(map[string]ruddermember.Member)
	for _, m := range r.Members() {
		members[m.Name] = m
	}
	return members
}

func (r *Relay) pull(ctx context.Context, m ruddermember.Member, domains []string) {
	ctx, cancel := context.WithTimeout(ctx, r.Interval)
	defer cancel()
	// Ages count from before the call, so that they include the transfer time.
	start := r.Clock.Now()
	client := rudderpeer.NewFleetProtobufClient("http://"+m.PeerAddress, r.HTTPClient)
	response, err := client.Confirmations(ctx, &rudderpeer.ConfirmationsRequest{
		Domains: domains, MaxAgeMs: uint32(r.ConfirmTTL.Milliseconds()),
	})
	if err != nil {
		return // the next pull retries; if all fail, the confirmations expire
	}
	for _, c := range response.GetConfirmations() {
		r.Fleet.ObserveStatus(fromWire(c, start))
	}
}

func toWire(c rudderfleet.Confirmation, age time.Duration) *rudderpeer.Confirmation {
	s := c.Status
	return &rudderpeer.Confirmation{
		Domain: c.Domain, Host: c.Host, Address: c.Address, Incarnation: s.Incarnation, Phase: string(s.Phase),
		Group: s.Role.Group, Rank: uint32(s.Role.Rank), Size: uint32(s.Role.Size),
		Model: s.Role.Model, ModelVersion: s.Role.ModelVersion, Adapters: s.Role.Adapters,
		HighestFencing: s.HighestFencing, Leaving: s.Leaving,
		Running: uint32(s.Load.Running), Waiting: uint32(s.Load.Waiting), Slots: uint32(s.Load.Slots),
		AgeMs: uint32(age.Milliseconds()) + 1, // rounded up
	}
}

func fromWire(c *rudderpeer.Confirmation, start time.Time) rudderfleet.Confirmation {
	at := start.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
	return rudderfleet.Confirmation{
		Domain: c.GetDomain(), Host: c.GetHost(), Address: c.GetAddress(), At: at,
		Status: ruddertarget.Status{
			Host: c.GetHost(), Incarnation: c.GetIncarnation(), Phase: ruddertarget.Phase(c.GetPhase()),
			Role: ruddertarget.Role{
				Group: c.GetGroup(), Rank: int(c.GetRank()), Size: int(c.GetSize()),
				Model: c.GetModel(), ModelVersion: c.GetModelVersion(), Adapters: c.GetAdapters(),
			},
			HighestFencing: c.GetHighestFencing(), Leaving: c.GetLeaving(),
			Load: ruddertarget.Load{Running: int(c.GetRunning()), Waiting: int(c.GetWaiting()), Slots: int(c.GetSlots()), At: at},
		},
	}
}
