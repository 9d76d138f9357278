package rudderstore

import "context"

type progressKey struct{}

// WithProgress returns a context for a List that calls progress when a part of the answer has arrived.
func WithProgress(ctx context.Context, progress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, progress)
}

// Progress reports that a part of the answer to a call with this context has arrived.
func Progress(ctx context.Context) {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		progress()
	}
}
