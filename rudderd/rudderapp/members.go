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

// wireMembers connects membership, registry and configuration.
func (a *App) wireMembers() {
	a.node = &ruddermember.Node{
		Self:        a.self,
		Incarnation: uint32(a.Clock.Now().UnixNano() / int64(incarnationUnit)),
		Clock:       a.Clock,
		Peer:        ruddermember.NewPeer(a.peers),
		Seeds:       a.Settings.Seeds,
		Load:        a.load,
	}
	a.enrolment = &ruddermember.Registrar{
		Node: a.node, Store: *a.store, Clock: a.Clock, PermitTTL: a.Settings.PermitTTL,
		OnError: a.warn("member registry"),
	}
	a.keeper = &rudderchange.Controller{
		Node: a.node, Registrar: a.enrolment, Store: *a.store, Clock: a.Clock,
		PermitTTL:     a.Settings.PermitTTL,
		WatchPrefixes: []string{ruddergroup.PlanPrefix},
		OnEvents:      a.takeEvents,
		OnRelist:      a.askForRelist,
		OnError:       a.warn("configuration"),
		Validate:      validateDocument,
	}
	a.keeper.OnChange = func(*rudderconfig.Document) { a.owner.InvalidateView() }
	a.node.OnChange = func([]ruddermember.Member) { a.owner.InvalidateView() }
	a.keeper.Connect()
}

// load is what this entry host says about itself in its digests.
func (a *App) load() ruddermember.Load {
	return ruddermember.Load{InFlight: a.answers.Running()}
}

func (a *App) warn(part string) func(error) {
	return func(err error) {
		a.Logger.Warn().Str("part", part).Err(err).Msg("failed, will be tried again")
	}
}

// takeEvents takes changed plans from the watch.
func (a *App) takeEvents(events []rudderstore.Event) {
	for _, e := range events {
		if strings.HasPrefix(e.Key, ruddergroup.PlanPrefix) && !e.Deleted {
			a.takePlan(e.Key, e.Value)
		}
	}
}

// takePlan is used by the watch and by lists; the fleet view ignores plans that are older than known.
func (a *App) takePlan(key string, value []byte) {
	var plan ruddergroup.Plan
	if err := json.Unmarshal(value, &plan); err != nil {
		a.Logger.Error().Err(err).Str("key", key).Msg("plan cannot be read")
		return
	}
	a.observePlan(plan)
}

const (
	relistTimeout = 5 * time.Second
	// relistPause between two tries keeps entry hosts from asking a platform in trouble too often.
	relistPause = 500 * time.Millisecond
)

// askForRelist makes runRelists read all plans.
func (a *App) askForRelist() {
	select {
	case a.relists <- struct{}{}:
	default: // asked already
	}
}

// runRelists reads all plans whenever the watch may have missed some, and repeats a read that failed:
// a plan that does not change is not told again.
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
	for _, e := range entries {
		a.takePlan(e.Key, e.Value)
	}
	return nil
}
