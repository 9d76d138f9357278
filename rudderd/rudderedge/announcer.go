package rudderedge

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// announceTimeout bounds a call about a departure or an arrival.
	announceTimeout = 400 * time.Millisecond
	// announceConcurrency bounds the calls at once.
	announceConcurrency = 64
	// announcePause is the pause before entry hosts that did not answer are called again. It doubles with each attempt, up to
	// maxAnnouncePause.
	announcePause    = 100 * time.Millisecond
	maxAnnouncePause = time.Second
)

// announcer calls all other entry hosts until each of them has answered.
type announcer struct {
	edge     *Edge
	request  *rudderpeer.AnnounceRequest
	told     map[peerProcess]bool
	attempts map[peerProcess]int
	due      map[peerProcess]time.Duration // uptime of the next attempt
}

// peerProcess is a process of an entry host that is called.
type peerProcess struct {
	name, instance, peer string
}

// announce tells the other entry hosts of this process until the context ends. Those that do not answer are called again, and so
// are those that start meanwhile.
func (e *Edge) announce(ctx context.Context, request *rudderpeer.AnnounceRequest) {
	a := announcer{edge: e, request: request, told: map[peerProcess]bool{}, attempts: map[peerProcess]int{}, due: map[peerProcess]time.Duration{}}
	for ctx.Err() == nil {
		changed := e.view.Changed()
		a.round(ctx)
		timer := time.NewTimer(announcePause)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// processes returns those that have not been told yet and are due. Those that stop still answer callers that look for entry hosts.
func (a *announcer) processes() []peerProcess {
	var list []peerProcess
	add := func(p peerProcess) {
		if p.name != a.edge.Settings.Name && p.peer != "" && !a.told[p] && a.edge.uptime() >= a.due[p] {
			list = append(list, p)
		}
	}
	for _, x := range a.edge.view.Snapshot().EntryHosts {
		add(peerProcess{x.Name, x.Instance, x.Peer})
	}
	for _, d := range a.edge.view.Departures(a.edge.Settings.StopGrace) {
		add(peerProcess{d.Name, d.Instance, d.Peer})
	}
	return list
}

// round calls the processes that are due.
func (a *announcer) round(ctx context.Context) {
	list := a.processes()
	answers := make([]announceAnswer, len(list))
	var calls errgroup.Group
	calls.SetLimit(announceConcurrency)
	for i, p := range list {
		calls.Go(func() error {
			answers[i] = a.call(ctx, p)
			return nil
		})
	}
	_ = calls.Wait()
	told := 0
	for i, p := range list {
		if !answers[i].final {
			a.attempts[p]++
			a.due[p] = a.edge.uptime() + min(announcePause<<min(a.attempts[p]-1, 8), maxAnnouncePause)
			continue
		}
		a.told[p] = true
		a.told[peerProcess{p.name, answers[i].instance, p.peer}] = true
		told++
	}
	if told > 0 {
		a.edge.Logger.Info().Int("told", told).Int("failed", len(list)-told).Bool("departure", a.request.GetDeparture() != nil).
			Msg("announced to other entry hosts")
	}
}

// announceAnswer is the outcome of a call. final is false if the call is to be repeated.
type announceAnswer struct {
	instance string
	final    bool
}

func (a *announcer) call(ctx context.Context, p peerProcess) announceAnswer {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	response, err := rudderpeer.NewDeparturesProtobufClient("http://"+p.peer, a.edge.peers.client).Announce(ctx, a.request)
	switch {
	case err == nil:
		return announceAnswer{instance: response.GetInstance(), final: true}
	case isEarlierVersion(err):
		a.edge.Logger.Debug().Str("peer", p.name).Msg("entry host of an earlier version learns of it from the key-value service only")
		return announceAnswer{instance: p.instance, final: true}
	}
	a.edge.Logger.Debug().Err(err).Str("peer", p.name).Msg("entry host does not answer an announcement yet")
	return announceAnswer{}
}
