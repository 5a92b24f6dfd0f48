package sesamerows

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Batch is what one call of Follower.Next read: a snapshot of the table, or
// the rows that changed since the batch before.
type Batch struct {
	// Rows are the rows read, with tombstones for removed ones.
	Rows []Row
	// Snapshot is set when Rows are all rows of the table, or of the part in
	// FollowOptions, at Version: a row that is not among them does not exist.
	Snapshot bool
	// Now is the store's steady clock when the batch was read.
	Now time.Duration
	// Version is the store's newest version whose changes the batch includes.
	// Later ones come with later batches.
	Version Version
	// Parts is the number of parts that a snapshot was read from, and Replayed
	// that of the changes during the read, which were applied to it.
	Parts    int
	Replayed int
}

// Follower reads a snapshot of a table and then watches its changes from the
// snapshot's version on. It is not safe for concurrent use.
type Follower struct {
	store Store
	table string
	// part is the only part whose rows the snapshot contains, if onePart is
	// set.
	onePart bool
	part    string
	// wait and batchDelay are as in FollowOptions.
	wait       time.Duration
	batchDelay time.Duration
	// lastHadRows is set if the last request for changes returned rows, and
	// lastFailed if it failed.
	lastHadRows bool
	lastFailed  bool
	// after is the version from which the next changes are requested.
	after Version
	// started is set once a snapshot was read, and unset when its changes are
	// no longer kept, so that the next call reads a new one.
	started bool
}

// FollowOptions are the settings of a Follower.
type FollowOptions struct {
	// Table is the table to follow.
	Table string
	// Part limits the snapshot to this part; nil means all parts. Changes
	// come from the whole table in either case.
	Part *string
	// Wait is how long one call of Next waits for a change.
	Wait time.Duration
	// BatchDelay is the pause before the next request after one that returned
	// changes, so that changes in quick succession come in one batch.
	BatchDelay time.Duration
}

// NewFollower returns a follower whose first batch is a snapshot.
func NewFollower(store Store, o FollowOptions) *Follower {
	f := &Follower{
		store:      store,
		table:      o.Table,
		wait:       o.Wait,
		batchDelay: o.BatchDelay,
	}
	if o.Part != nil {
		f.onePart = true
		f.part = *o.Part
	}
	return f
}

// Next returns the next batch, which has no rows if nothing changed within
// FollowOptions.Wait. If the store no longer keeps the changes since the last
// batch, the next batch is a snapshot. After an error, calling Next again
// skips nothing; it then does not wait for a change, so that an answer soon shows
// that the store is back. A *HistoryError says that the store discarded changes
// while a snapshot was read, and a *StaleFeedError that the feed did not bring
// them.
func (f *Follower) Next(ctx context.Context) (Batch, error) {
	if !f.started {
		return f.readAll(ctx)
	}
	if f.lastHadRows && f.batchDelay > 0 && !Sleep(ctx, f.batchDelay) {
		return Batch{}, ctx.Err()
	}
	wait := f.wait
	if f.lastFailed {
		wait = 0
	}
	page, err := f.store.Changes(ctx, f.table, f.after, wait)
	f.lastFailed = err != nil
	if errors.HasType(err, (*HistoryError)(nil)) {
		f.started = false
		return f.readAll(ctx)
	}
	if err != nil {
		return Batch{}, err
	}
	f.lastHadRows = len(page.Rows) > 0
	f.after = max(f.after, page.Version)
	return Batch{
		Rows:    page.Rows,
		Now:     page.Now,
		Version: f.after,
	}, nil
}
