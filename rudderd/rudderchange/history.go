package rudderchange

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderstore"
)

// historyLength is how many versions stay in the history.
const historyLength = 200

// HistoryKey is the key of a version in the history. The number is padded, so that keys list in order.
func HistoryKey(version int64) string {
	return fmt.Sprintf("%s%010d", rudderconfig.HistoryPrefix, version)
}

// writeHistory records a written version and drops the one that falls out of the history.
func (k *Controller) writeHistory(ctx context.Context, version int64, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, k.storeTimeout())
	defer cancel()
	put := rudderstore.PutRequest{Key: HistoryKey(version), Value: raw, Expected: rudderstore.AnyRevision}
	if _, err := k.Store.Put(ctx, put); err != nil {
		return errors.Wrap(err, "write the configuration history")
	}
	if version <= historyLength {
		return nil
	}
	_, err := k.Store.Delete(ctx, HistoryKey(version-historyLength), rudderstore.AnyRevision)
	if errors.Is(err, rudderstore.ErrNotFound) {
		return nil
	}
	return errors.Wrap(err, "shorten the configuration history")
}
