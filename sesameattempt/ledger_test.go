package sesameattempt

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamestore"
)

func TestLedgerRelease(t *testing.T) {
	t.Run("frees what was allocated after the cell was last seen", func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		w := newWorld(is)
		store := sesamestore.New(w.table, w.table)
		placed, err := store.Cell(ctx, worldCell)
		is.NoErr(err)
		earlier := placed
		earlier.Value = placed.Value.WithoutAttempt(w.id, 1, "")
		earlier.Version--
		ledger := NewLedger(store, w.clock, sesameplanner.UpdateSuspectFailures)
		ledger.NoteCell(earlier)
		_, err = ledger.UpdateJob(ctx, w.id, func(j sesamemodel.Job) (sesamemodel.Job, bool) {
			return j.WithEvent(w.clock.Now(), sesamemodel.Cancelled, "cancelled"), true
		})
		is.NoErr(err)
		after, err := store.Cell(ctx, worldCell)
		is.NoErr(err)
		is.Equal(len(after.Value.Allocations), 0)
	})
}
