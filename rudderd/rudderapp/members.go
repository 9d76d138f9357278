package rudderapp

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"comfreyrudder.example/rudderd/rudderchange"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/ruddergroup"
	"comfreyrudder.example/shared/rudderstore"
)

// incarnationUnit is the resolution of incarnation numbers: a process that starts a tenth of a second
// after its predecessor has a higher one.
const incarnationUnit = 100 * time.Millisecond

// wireMembers creates the parts for membership, the registry and the configuration.
func (a *App) wireMembers() {
	a.node = &ruddermember.Node{
		Self:        a.self,
		Incarnation: uint32(a.Clock.Now().UnixNano() / int64(incarnationUnit)),
		Clock:       a.Clock,
		Peer:        ruddermember.NewPeer(a.peers),
		Seeds:       a.Settings.Seeds,
		Load:        a.load,
	}
	a.registrar = &ruddermember.Registrar{
		Node: a.node, Store: *a.store, Clock: a.Clock, PermitTTL: a.Settings.PermitTTL,
		OnError: a.warn("member registry"),
	}
	a.config = &rudderchange.Controller{
		Node: a.node, Registrar: a.registrar, Store: *a.store, Clock: a.Clock,
		PermitTTL:     a.Settings.PermitTTL,
		WatchPrefixes: []string{ruddergroup.PlanPrefix},
		OnEvents:      a.applyEvents,
		OnRelist:      a.requestRelist,
		OnError:       a.warn("configuration"),
		Validate:      validateDocument,
	}
	a.config.OnChange = func(document *rudderconfig.Document) {
		a.owner.InvalidateView()
		a.logEvacuations(document)
	}
	a.node.OnChange = func([]ruddermember.Member) { a.owner.InvalidateView() }
	a.config.Connect()
}

// load returns the load that this entry host reports in its membership digests.
func (a *App) load() ruddermember.Load {
	return ruddermember.Load{InFlight: a.answers.Running()}
}

func (a *App) warn(part string) func(error) {
	return func(err error) {
		a.Logger.Warn().Str("part", part).Err(err).Msg("operation failed; retrying")
	}
}

// applyEvents applies the changed plans of a watch.
func (a *App) applyEvents(events []rudderstore.Event) {
	for _, e := range events {
		if strings.HasPrefix(e.Key, ruddergroup.PlanPrefix) && !e.Deleted {
			a.applyPlan(e.Key, e.Value)
		}
	}
}

// applyPlan applies a plan from a watch or a list. The fleet view ignores plans that are older than the known one.
func (a *App) applyPlan(key string, value []byte) {
	var plan ruddergroup.Plan
	if err := json.Unmarshal(value, &plan); err != nil {
		a.Logger.Error().Err(err).Str("key", key).Msg("cannot decode plan")
		return
	}
	a.observePlan(plan)
}

const (
	relistTimeout = 5 * time.Second
	// relistPause is the time between two attempts. It limits the load on a platform that is failing.
	relistPause = 500 * time.Millisecond
)

// requestRelist makes runRelists read all plans.
func (a *App) requestRelist() {
	select {
	case a.relists <- struct{}{}:
	default: // already requested
	}
}

// runRelists reads all plans whenever the watch may have missed some. It repeats failed reads, because the
// watch never reports a missed plan again unless the plan changes.
func (a *App) runRelists(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.relists:
		}
		for ctx.Err() == nil {
			err := a.listPlans(ctx)
			if err == nil {
				break
			}
			a.warn("plans")(err)
			a.wait(ctx, relistPause)
		}
	}
}

func (a *App) listPlans(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, relistTimeout)
	defer cancel()
	entries, _, err := a.store.List(ctx, ruddergroup.PlanPrefix)
	if err != nil {
		return err
	}
	a.plansListed.Store(true)
	for _, e := range entries {
		a.applyPlan(e.Key, e.Value)
	}
	return nil
}
