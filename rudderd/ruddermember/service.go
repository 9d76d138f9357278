package ruddermember

import (
	"context"

	"github.com/twitchtv/twirp"

	"comfreyrudder.example/rudderd/rudderpermit"
	"comfreyrudder.example/shared/rudderpeer"
)

var _ rudderpeer.Membership = (*Node)(nil)

// Digest implements rudderpeer.Membership.
func (n *Node) Digest(_ context.Context, q *rudderpeer.DigestRequest) (*rudderpeer.DigestResponse, error) {
	n.prepare()
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.table.entries[memberID(n.Self.Name)]
	return digestResponse(n.registry, &n.table, self, q, n.Clock.Now()), nil
}

// Acknowledge implements rudderpeer.Membership. A host without a configuration answers, but acknowledges no
// version.
func (n *Node) Acknowledge(ctx context.Context, q *rudderpeer.AcknowledgeRequest) (*rudderpeer.AcknowledgeResponse, error) {
	n.checkConfigVersion(rudderpermit.Version{Number: q.ConfigVersion, Hash: q.ConfigHash}, q.Caller)
	n.prepare()
	v, hasConfig := n.Config()
	r := n.Registry()
	if q.RegistryVersion > r.Version && q.Caller != "" {
		go n.pull(context.WithoutCancel(ctx), q.Caller)
	}
	a := &rudderpeer.AcknowledgeResponse{
		HasConfig: hasConfig, ConfigVersion: v.Number, ConfigHash: v.Hash, RegistryVersion: r.Version,
	}
	if q.RegistryVersion < r.Version {
		a.Registry = r.Encode()
	}
	return a, nil
}

// ConfigDocument implements rudderpeer.Membership.
func (n *Node) ConfigDocument(context.Context, *rudderpeer.ConfigDocumentRequest) (*rudderpeer.ConfigDocumentResponse, error) {
	version, raw := n.Document()
	if raw == nil {
		return nil, twirp.NotFoundError("no configuration yet")
	}
	return &rudderpeer.ConfigDocumentResponse{ConfigVersion: version, Document: raw}, nil
}
