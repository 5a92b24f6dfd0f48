package sesamerows

import (
	"context"

	"github.com/cockroachdb/errors"
)

// snapshotAttempts is how often a snapshot is begun in one call of
// Follower.Next when the store discards the changes that complete it.
const snapshotAttempts = 2

// readAll reads a snapshot of all parts, or of the part in FollowOptions. The
// next changes are requested from the version up to which the feed was replayed,
// so that a feed which lags behind the rows brings some of them again. A
// *HistoryError says that the store discarded the changes during each attempt.
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
	f.after = found.oldest
	f.started = true
	return Batch{
		Rows:     found.rows,
		Snapshot: true,
		Now:      found.now,
		Version:  found.oldest,
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

// scanTable reads the rows one range after the other. The list of parts has no
// version, so that the scan's oldest version is that of a read before it: a part
// that is not in the list and has rows has changed since.
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
// early or too late has had its later changes. It ends before that when the feed
// brings nothing. Afterwards the scan's oldest version is the one reached.
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
		found.now = max(found.now, page.Now)
		if page.Version <= version {
			break // the feed lags
		}
		version = page.Version
	}
	found.rows = rows.list()
	found.oldest = version
	return nil
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

// apply adds a row or replaces it as it was before. A change older than the row
// has no effect.
func (s *rowSet) apply(row Row) {
	if i, known := s.positions[row.Key]; known {
		if row.Version >= s.rows[i].Version {
			s.rows[i] = row
		}
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
