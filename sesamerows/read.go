package sesamerows

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

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

// ReadAll reads a whole range, page by page. Each page is one moment of the
// store, a later one than that of the page before: while others write, the
// result is no moment of the store. A row that exists, and does not change,
// from before the call until its end is certainly in it, as it is. Whoever needs
// the rows as of one version reads a snapshot with a Follower. The result has
// the version of the first page and the Now of the last one.
func ReadAll(ctx context.Context, s Store, r Range) (Page, error) {
	found, err := scanRange(ctx, s, r)
	return found.page(), err
}

// ReadParts reads all rows of the given parts of a table; see ReadRanges. If the
// caller had the parts from Store.Parts, rows of parts that came later are
// missing, and may be older than the page's version.
func ReadParts(ctx context.Context, s Store, table string, parts []string) (Page, error) {
	return ReadRanges(ctx, s, partRanges(table, parts))
}

// ReadRanges reads all rows of the ranges, up to parallelReads ranges at a time,
// and returns them in the order of the ranges. The ranges are read at different
// moments; ReadAll tells what this means. The page's version is the lowest of
// all reads, its Now the latest. An error is that of the first read that failed.
func ReadRanges(ctx context.Context, s Store, ranges []Range) (Page, error) {
	found, err := scanRanges(ctx, s, ranges)
	return found.page(), err
}

// partRanges returns the ranges that hold the given parts of a table.
func partRanges(table string, parts []string) []Range {
	ranges := make([]Range, 0, len(parts))
	for _, part := range parts {
		ranges = append(ranges, Range{
			Table: table,
			Part:  part,
		})
	}
	return ranges
}

// scan holds rows that were read page by page. While others write, it is no
// moment of the store: each row is as it was at some version from oldest to
// newest, and rows that were written or removed in between may be missing or be
// there.
type scan struct {
	rows   []Row
	oldest Version
	newest Version
	// now is the store's steady clock at the last read.
	now time.Duration
	// parts is the number of ranges that were read, and replayed that of the
	// changes that were applied to the rows.
	parts    int
	replayed int
}

// page returns the rows with the oldest version.
func (c scan) page() Page {
	return Page{
		Rows:    c.rows,
		Version: c.oldest,
		Now:     c.now,
	}
}

// scanRange reads a range page by page.
func scanRange(ctx context.Context, s Store, r Range) (scan, error) {
	found := scan{
		parts: 1,
	}
	for first := true; ; first = false {
		page, err := s.Read(ctx, r)
		if err != nil {
			return scan{}, err
		}
		if first {
			found.oldest = page.Version
		}
		found.rows = append(found.rows, page.Rows...)
		found.newest = page.Version
		found.now = page.Now
		if !page.More || len(page.Rows) == 0 {
			return found, nil
		}
		r.From = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
}

// parallelReads is the most ranges that scanRanges reads at the same time. A
// process has as many connections to the platform's store.
const parallelReads = 16

// scanRanges reads ranges, up to parallelReads at a time, and returns their rows
// in the order of the ranges.
func scanRanges(ctx context.Context, s Store, ranges []Range) (scan, error) {
	scans := make([]scan, len(ranges))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for i, r := range ranges {
		group.Go(func() error {
			var err error
			scans[i], err = scanRange(ctx, s, r)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return scan{}, err
	}
	var all scan
	for i, found := range scans {
		all.rows = append(all.rows, found.rows...)
		all.now = max(all.now, found.now)
		all.newest = max(all.newest, found.newest)
		all.parts += found.parts
		if i == 0 || found.oldest < all.oldest {
			all.oldest = found.oldest
		}
	}
	return all, nil
}
