package rudderapp

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"comfreyrudder.example/shared/rudderhost"
)

// Guards against status and drain that fail for operators while the host list cannot be read.
func TestLastHostListIsKept(t *testing.T) {
	var cache hostCache
	down := func(context.Context) ([]rudderhost.Host, error) { return nil, errors.New("down") }
	_, err := cache.read(context.Background(), down)
	require.Error(t, err)
	up := func(context.Context) ([]rudderhost.Host, error) { return []rudderhost.Host{{Name: "h1"}}, nil }
	_, err = cache.read(context.Background(), up)
	require.NoError(t, err)
	hosts, err := cache.read(context.Background(), down)
	require.NoError(t, err)
	require.Equal(t, "h1", hosts[0].Name)
}
