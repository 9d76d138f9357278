package rudderstore

import "context"

// Condition is one row of a transaction's condition: the key has the revision, 0 for "absent".
type Condition struct {
	Key      string
	Revision int64
}

// Transaction is written as a whole or not at all.
type Transaction struct {
	Conditions []Condition
	// Puts ignore their Expected field; conditions stand in Conditions.
	Puts    []PutRequest
	Deletes []string
}

// Committer is the port to transactions over several keys, for stores that have them. Commit returns the
// revision of the writes, or ErrConflict, ErrNotFound (a lease has ended) or the errors of Store.
type Committer struct {
	Commit func(ctx context.Context, t Transaction) (int64, error)
}
