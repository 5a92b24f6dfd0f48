package sesamerows

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Batch is what one call of Follower.Next read: a snapshot of the table, or
// the rows that changed since the batch before.
type Batch struct {
	// Rows are the rows read, with tombstones for removed ones.
	Rows []Row
	// Snapshot is set when Rows are all rows of the table: a row that is not
	// among them does not exist.
	Snapshot bool
	// Now is the store's steady clock when the batch was read.
	Now time.Duration
	// Version is the store's newest version whose changes the batch includes.
	Version Version
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
// that the store is back.
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

// readAll reads a snapshot of all parts, or of the part in FollowOptions. The
// next changes are requested from the version of the earliest page on, so that
// none is missed; rows that changed during the read are returned again.
func (f *Follower) readAll(ctx context.Context) (Batch, error) {
	parts := []string{f.part}
	if !f.onePart {
		var err error
		if parts, err = f.store.Parts(ctx, f.table); err != nil {
			return Batch{}, err
		}
	}
	// A table without parts still needs a version from which to watch it, so
	// one empty read is made.
	if len(parts) == 0 {
		parts = []string{""}
	}
	page, err := ReadParts(ctx, f.store, f.table, parts)
	if err != nil {
		return Batch{}, err
	}
	f.after = page.Version
	f.started = true
	return Batch{
		Rows:     page.Rows,
		Snapshot: true,
		Now:      page.Now,
		Version:  page.Version,
	}, nil
}

// ReadParts reads all rows of the given parts of a table; see ReadRanges.
func ReadParts(ctx context.Context, s Store, table string, parts []string) (Page, error) {
	ranges := make([]Range, 0, len(parts))
	for _, part := range parts {
		ranges = append(ranges, Range{
			Table: table,
			Part:  part,
		})
	}
	return ReadRanges(ctx, s, ranges)
}

// parallelReads is the most ranges that ReadRanges reads at the same time. A
// process has as many connections to the platform's store.
const parallelReads = 16

// ReadRanges reads all rows of the ranges, up to parallelReads ranges at a time,
// and returns them in the order of the ranges. The page's version is the lowest
// of all reads, its Now the latest. An error is that of the first read that
// failed.
func ReadRanges(ctx context.Context, s Store, ranges []Range) (Page, error) {
	pages := make([]Page, len(ranges))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for i, r := range ranges {
		group.Go(func() error {
			var err error
			pages[i], err = ReadAll(ctx, s, r)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Page{}, err
	}
	var all Page
	for i, page := range pages {
		all.Rows = append(all.Rows, page.Rows...)
		all.Now = max(all.Now, page.Now)
		if i == 0 || page.Version < all.Version {
			all.Version = page.Version
		}
	}
	return all, nil
}

// ReadRow reads the row with the key. If there is none, the returned row has
// the key and version 0. The page is the store's answer, with its Version and
// Now.
func ReadRow(ctx context.Context, s Store, key Key) (Row, Page, error) {
	page, err := s.Read(ctx, Range{
		Table: key.Table,
		Part:  key.Part,
		From:  key.Name,
		To:    key.Name + "\x00",
	})
	if err != nil || len(page.Rows) == 0 {
		return Row{
			Key: key,
		}, page, err
	}
	return page.Rows[0], page, nil
}

// ReadAll reads a whole range, page by page. The result has the version of the
// first page, so that changes between the pages are not missed when the feed
// is read from that version on, and the Now of the last page.
func ReadAll(ctx context.Context, s Store, r Range) (Page, error) {
	var all Page
	for {
		page, err := s.Read(ctx, r)
		if err != nil {
			return Page{}, err
		}
		if all.Version == 0 {
			all.Version = page.Version
		}
		all.Rows = append(all.Rows, page.Rows...)
		all.Now = page.Now
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		r.From = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
}
