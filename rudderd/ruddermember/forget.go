package ruddermember

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of Forget. Callers test them with errors.Is.
var (
	// ErrUnknownMember reports a name that the registry does not list.
	ErrUnknownMember = errors.New("member registry: unknown entry host")
	// ErrLiveMember reports an entry host that still sends heartbeats.
	ErrLiveMember = errors.New("member registry: entry host is live")
)

// Forget removes a lost entry host from the registry without waiting for RemoveAfter. Once the removal is
// committed, changes of the configuration no longer wait for its permit. The commit needs the same majorities
// and the same wait as any removal, so an entry host that is in fact alive but partitioned off loses its
// permit first.
func (rg *Registrar) Forget(ctx context.Context, name string) error {
	n := rg.Node
	if _, listed := n.Registry().Member(name); !listed {
		return errors.Wrap(ErrUnknownMember, name)
	}
	for _, m := range n.Live() {
		if m.Name == name {
			return errors.Wrap(ErrLiveMember, name)
		}
	}
	return rg.change(ctx, func(r Registry) (Registry, bool) { return r.Without(name) })
}
