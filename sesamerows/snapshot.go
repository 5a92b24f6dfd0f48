package sesamerows

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
)

// snapshotAttempts is how often a snapshot is begun in one call of
// Follower.Next when the store discards the changes that complete it.
const snapshotAttempts = 2

// readAll reads a snapshot of all parts, or of the part in FollowOptions. The
// next changes are requested from the snapshot's version on. A *HistoryError
// says that the store discarded the changes during each attempt, a *StaleFeedError
// that the feed lags behind the rows.
func (f *Follower) readAll(ctx context.Context) (Batch, error) {
	var found scan
	var err error
	for range snapshotAttempts {
		if found, err = f.readTable(ctx); !errors.HasType(err, (*HistoryError)(nil)) {
			break
		}
	}
	if err != nil {
		return Batch{}, err
	}
	f.after = found.newest
	f.started = true
	return Batch{
		Rows:     found.rows,
		Snapshot: true,
		Now:      found.now,
		Version:  found.newest,
		Parts:    found.parts,
		Replayed: found.replayed,
	}, nil
}

// readTable scans the table and then replays what changed meanwhile, so that
// the rows are those of one version.
func (f *Follower) readTable(ctx context.Context) (scan, error) {
	found, err := f.scanTable(ctx)
	if err == nil && found.oldest < found.newest {
		err = f.replay(ctx, &found)
	}
	return found, err
}

// scanTable reads the rows of all parts, or of the part in FollowOptions. The list
// of parts has no version, so the scan's oldest version is that of a read before
// the list: a part that is not in the list and has rows has changed since.
func (f *Follower) scanTable(ctx context.Context) (scan, error) {
	if f.onePart {
		return scanRange(ctx, f.store, Range{
			Table: f.table,
			Part:  f.part,
		})
	}
	base, err := f.store.Read(ctx, Range{
		Table: f.table,
		To:    firstName,
	})
	if err != nil {
		return scan{}, err
	}
	parts, err := f.store.Parts(ctx, f.table)
	if err != nil {
		return scan{}, err
	}
	// The version of a read after the list shows whether a table without parts
	// has changed.
	if len(parts) == 0 {
		parts = []string{""}
	}
	found, err := scanRanges(ctx, f.store, partRanges(f.table, parts))
	found.oldest = min(found.oldest, base.Version)
	return found, err
}

// firstName is the end of a range that holds no row but one without a name.
const firstName = "\x00"

// replay applies the changes since the scan's oldest version, in their order and
// at least up to its newest version: by then each row that the scan read too
// early or too late has had its later changes.
func (f *Follower) replay(ctx context.Context, found *scan) error {
	rows := newRowSet(found.rows)
	version := found.oldest
	for version < found.newest {
		page, err := f.store.Changes(ctx, f.table, version, 0)
		if err != nil {
			return err
		}
		for _, row := range page.Rows {
			if !f.onePart || row.Key.Part == f.part {
				rows.apply(row)
				found.replayed++
			}
		}
		if page.Version <= version {
			return &StaleFeedError{
				Table:   f.table,
				Version: page.Version,
				Read:    found.newest,
			}
		}
		version = page.Version
		found.now = max(found.now, page.Now)
	}
	found.rows = rows.list()
	found.oldest = version
	found.newest = version
	return nil
}

// StaleFeedError says that the feed of a table ended before a version that was
// read from the table already.
type StaleFeedError struct {
	Table string
	// Version is that of the feed, and Read the one that was read.
	Version Version
	Read    Version
}

// Error names the table and both versions.
func (e *StaleFeedError) Error() string {
	return fmt.Sprintf("the feed of table %q ends at version %d, before version %d that was read", e.Table, e.Version, e.Read)
}

// rowSet holds the latest change of each row, in the order in which the rows
// became known. Tombstones are kept as such.
type rowSet struct {
	rows []Row
	// positions holds the positions in rows.
	positions map[Key]int
}

// newRowSet returns a set of the rows, of which it keeps the slice.
func newRowSet(rows []Row) *rowSet {
	s := &rowSet{
		rows:      rows,
		positions: make(map[Key]int, len(rows)),
	}
	for i, row := range rows {
		s.positions[row.Key] = i
	}
	return s
}

// apply adds a row or replaces it as it was before.
func (s *rowSet) apply(row Row) {
	if i, known := s.positions[row.Key]; known {
		s.rows[i] = row
		return
	}
	s.positions[row.Key] = len(s.rows)
	s.rows = append(s.rows, row)
}

// list returns the rows without tombstones.
func (s *rowSet) list() []Row {
	var existing []Row
	for _, row := range s.rows {
		if !row.Removed {
			existing = append(existing, row)
		}
	}
	return existing
}
