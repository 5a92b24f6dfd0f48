package sesameattempt

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// TestRowCacheRelease guards against allocations that stay in a cell after
// their attempt has ended: the cached cell may be older than the placement, and
// then does not show them.
func TestRowCacheRelease(t *testing.T) {
	t.Run("frees what was allocated after the cell was cached", func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		f := newFixture(is)
		store := sesamestore.New(f.table, f.table)
		placed, err := store.Cell(ctx, fixtureCell)
		is.NoErr(err)
		stale := placed
		stale.Value = placed.Value.WithoutAttempt(f.id, 1, "")
		stale.Version--
		rows := NewRowCache(store, f.clock, sesameplanner.UpdateSuspectFailures)
		rows.CacheCell(stale)
		_, err = rows.UpdateJob(ctx, f.id, func(j sesamemodel.Job) (sesamemodel.Job, bool) {
			return j.WithEvent(f.clock.Now(), sesamemodel.Cancelled, "cancelled"), true
		})
		is.NoErr(err)
		after, err := store.Cell(ctx, fixtureCell)
		is.NoErr(err)
		is.Equal(len(after.Value.Allocations), 0)
	})
}
