package rudderchange

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderstore"
)

// historyLength is the number of versions that are kept in the history.
const historyLength = 200

// HistoryKey returns the key of a version in the history. The number is zero-padded, so that keys sort by
// version.
func HistoryKey(version int64) string {
	return fmt.Sprintf("%s%010d", rudderconfig.HistoryPrefix, version)
}

// writeHistory adds a version to the history and deletes the version that exceeds historyLength.
func (c *Controller) writeHistory(ctx context.Context, version int64, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.storeTimeout())
	defer cancel()
	put := rudderstore.PutRequest{Key: HistoryKey(version), Value: raw, Expected: rudderstore.AnyRevision}
	if _, err := c.Store.Put(ctx, put); err != nil {
		return errors.Wrap(err, "write the configuration history")
	}
	if version <= historyLength {
		return nil
	}
	_, err := c.Store.Delete(ctx, HistoryKey(version-historyLength), rudderstore.AnyRevision)
	if errors.Is(err, rudderstore.ErrNotFound) {
		return nil
	}
	return errors.Wrap(err, "delete the oldest version of the configuration history")
}
