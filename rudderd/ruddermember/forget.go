package ruddermember

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of Forget. Callers test them with errors.Is.
var (
	// ErrUnknownMember reports a name that the registry does not list.
	ErrUnknownMember = errors.New("member registry: unknown entry host")
	// ErrLiveMember reports an entry host that is heard of.
	ErrLiveMember = errors.New("member registry: entry host is live")
)

// Forget takes an entry host that is gone off the registry before its silence would. Changes of the
// configuration no longer wait for its permit once the removal is committed, which needs the same
// majorities and the same wait as any removal: an entry host that is in fact alive and cut off loses its
// permit first.
func (e *Registrar) Forget(ctx context.Context, name string) error {
	n := e.Node
	if _, listed := n.Registry().Member(name); !listed {
		return errors.Wrap(ErrUnknownMember, name)
	}
	for _, m := range n.Live() {
		if m.Name == name {
			return errors.Wrap(ErrLiveMember, name)
		}
	}
	return e.change(ctx, func(r Registry) (Registry, bool) { return r.Without(name) })
}
