package rudderedge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// formerPeers is the number of entry hosts that are asked for the addresses of former ones, at most once in formerInterval.
	// formerTimeout bounds the calls.
	formerPeers    = 8
	formerInterval = 300 * time.Millisecond
	formerTimeout  = 300 * time.Millisecond
)

// askFormer asks other entry hosts which hosts have lost their registrations, in the background. A process that has started
// after them cannot know it.
func (e *Edge) askFormer() {
	now, last := int64(e.uptime()), e.bootstrap.formerAskedAt.Load()
	if _, synced := e.view.Staleness(); !synced || last > 0 && now-last < int64(formerInterval) || !e.bootstrap.formerAskedAt.CompareAndSwap(last, now) {
		return
	}
	list := slices.DeleteFunc(slices.Clone(e.view.Snapshot().EntryHosts), func(x rudderview.EntryHost) bool {
		return x.Peer == "" || x.Name == e.Settings.Name
	})
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	for _, x := range list[:min(len(list), formerPeers)] {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), formerTimeout)
			defer cancel()
			response, err := rudderpeer.NewFormerHostsProtobufClient("http://"+x.Peer, e.peers.client).List(ctx, &rudderpeer.FormerHostsRequest{})
			if err != nil {
				e.Logger.Debug().Err(err).Str("peer", x.Name).Msg("entry host does not tell which hosts have lost their registrations")
				return
			}
			e.addFormer(response.GetHosts())
		}()
	}
}

func (e *Edge) addFormer(hosts []*rudderpeer.FormerHost) {
	for _, x := range hosts {
		e.view.AddFormerHost(x.GetIp(), time.Duration(x.GetAgeMs())*time.Millisecond)
	}
}

func (e *Edge) listFormer() []*rudderpeer.FormerHost {
	var list []*rudderpeer.FormerHost
	for ip, age := range e.view.FormerHosts() {
		list = append(list, &rudderpeer.FormerHost{Ip: ip, AgeMs: age.Milliseconds()})
	}
	return list
}

// formerServer serves the FormerHosts calls of other entry hosts.
type formerServer struct{ edge *Edge }

// List implements rudderpeer.FormerHosts.
func (s formerServer) List(context.Context, *rudderpeer.FormerHostsRequest) (*rudderpeer.FormerHostsResponse, error) {
	return &rudderpeer.FormerHostsResponse{Hosts: s.edge.listFormer()}, nil
}
