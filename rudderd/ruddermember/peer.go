package ruddermember

import (
	"context"
	"net/http"
	"sync"

	"comfreyrudder.example/shared/rudderpeer"
)

// Peer holds the calls to other entry hosts. The address is a peer address.
type Peer struct {
	Digest         func(ctx context.Context, address string, q *rudderpeer.DigestRequest) (*rudderpeer.DigestResponse, error)
	Acknowledge    func(ctx context.Context, address string, q *rudderpeer.AcknowledgeRequest) (*rudderpeer.AcknowledgeResponse, error)
	ConfigDocument func(ctx context.Context, address string) (*rudderpeer.ConfigDocumentResponse, error)
}

// NewPeer returns a Peer that uses Twirp. The transport of the client must sign the requests.
func NewPeer(client *http.Client) Peer {
	var clients sync.Map // address to rudderpeer.Membership; never cleaned, as there are few more addresses than members
	to := func(address string) rudderpeer.Membership {
		if c, found := clients.Load(address); found {
			return c.(rudderpeer.Membership)
		}
		c, _ := clients.LoadOrStore(address, rudderpeer.NewMembershipProtobufClient("http://"+address, client))
		return c.(rudderpeer.Membership)
	}
	return Peer{
		Digest: func(ctx context.Context, address string, q *rudderpeer.DigestRequest) (*rudderpeer.DigestResponse, error) {
			return to(address).Digest(ctx, q)
		},
		Acknowledge: func(ctx context.Context, address string, q *rudderpeer.AcknowledgeRequest) (*rudderpeer.AcknowledgeResponse, error) {
			return to(address).Acknowledge(ctx, q)
		},
		ConfigDocument: func(ctx context.Context, address string) (*rudderpeer.ConfigDocumentResponse, error) {
			return to(address).ConfigDocument(ctx, &rudderpeer.ConfigDocumentRequest{})
		},
	}
}
