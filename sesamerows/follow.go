package sesamerows

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Batch is a step of a table's state.
type Batch struct {
	Rows []Row
	// Snapshot says that the rows are all there are: what is not among them does
	// not exist.
	Snapshot bool
	// Now is the store's steady clock when the batch was read.
	Now time.Duration
	// Version is the newest version that the batch covers.
	Version Version
}

// Follower reads a table and then its changes.
type Follower struct {
	store Store
	table string
	// part limits the follower to one part when onePart is set.
	onePart    bool
	part       string
	wait       time.Duration
	batchDelay time.Duration
	// lastHadRows says that the last call brought rows.
	lastHadRows bool
	after       Version
	started     bool
}

// FollowOptions are what a Follower needs.
type FollowOptions struct {
	Table string
	// Parts: nil means all parts of the table, otherwise the only one used.
	Part *string
	// Wait is how long one call waits for a change.
	Wait time.Duration
	// BatchDelay is the pause before the call that follows a change, so that
	// changes of a moment come together.
	BatchDelay time.Duration
}

// NewFollower returns a follower that begins with the whole table.
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

// Next returns the next batch; it is empty when nothing changed while the
// call waited. After an error the same call may be repeated.
func (f *Follower) Next(ctx context.Context) (Batch, error) {
	if !f.started {
		return f.readAll(ctx)
	}
	if f.lastHadRows && f.batchDelay > 0 && !Sleep(ctx, f.batchDelay) {
		return Batch{}, ctx.Err()
	}
	page, err := f.store.Changes(ctx, f.table, f.after, f.wait)
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

// readAll reads every part. Changes are followed from the earliest page's
// version on, so rows that change meanwhile come once more.
func (f *Follower) readAll(ctx context.Context) (Batch, error) {
	parts := []string{f.part}
	if !f.onePart {
		var err error
		if parts, err = f.store.Parts(ctx, f.table); err != nil {
			return Batch{}, err
		}
	}
	// A table without parts still needs a version to follow from.
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

// parallelReads bounds the parts that are read at a time.
const parallelReads = 8

// ReadParts reads parts of a table, and returns their rows in the order of the
// parts. The version is that of the earliest page.
func ReadParts(ctx context.Context, s Store, table string, parts []string) (Page, error) {
	pages := make([]Page, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for i, part := range parts {
		group.Go(func() error {
			var err error
			pages[i], err = ReadAll(ctx, s, Range{
				Table: table,
				Part:  part,
			})
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

// ReadRow reads one row; its Version is 0 when there is none.
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

// ReadAll reads a range page by page. The version is that of the first page.
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
