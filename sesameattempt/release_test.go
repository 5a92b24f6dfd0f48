package sesameattempt_test

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesameattempt"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// TestReleaseFromStaleCell ends a job through an entry that cached the job's
// cell before the job was placed.
func TestReleaseFromStaleCell(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	table := sesamestandin.NewStore(clock)
	store := sesamestore.New(table, table)
	empty := sesamemodel.Cell{
		ID:     "south/a",
		Region: "south",
	}
	is.NoErr(store.Update(ctx, sesamestore.Batch{
		Cells: []sesamestore.Versioned[sesamemodel.Cell]{
			{
				Value: empty,
			},
		},
	}))
	rows := sesameattempt.NewRowCache(store, clock, sesameplanner.UpdateSuspectFailures)
	_, err := rows.Cell(ctx, empty.ID)
	is.NoErr(err)

	job := placeFromOtherEntry(t, store, clock, empty.ID)
	_, err = rows.UpdateJob(ctx, job, func(j sesamemodel.Job) (sesamemodel.Job, bool) {
		return j.WithResults(clock.Now(), nil), true
	})
	is.NoErr(err)
	cell, err := store.Cell(ctx, empty.ID)
	is.NoErr(err)
	is.Equal(len(cell.Value.Allocations), 0)
}

// placeFromOtherEntry places a new job in the cell as another entry would: in
// the store, past the cache under test. It returns the job's ID.
func placeFromOtherEntry(t *testing.T, store *sesamestore.Store, clock clockwork.Clock, id sesamemodel.CellID) sesamemodel.JobID {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	job := sesamemodel.Job{
		ID:     "south.team.1",
		Region: "south",
		State:  sesamemodel.Queued,
	}
	is.NoErr(store.Submit(ctx, job))
	row, err := store.Job(ctx, job.ID)
	is.NoErr(err)
	cell, err := store.Cell(ctx, id)
	is.NoErr(err)
	placed := row.Value.WithPlacement(clock.Now(), []sesamemodel.Assignment{
		{
			Target: "w1",
			Cell:   id,
			Tasks:  1,
		},
	}, false)
	is.NoErr(store.Update(ctx, sesamestore.Batch{
		Jobs: []sesamestore.Versioned[sesamemodel.Job]{row.With(placed)},
		Cells: []sesamestore.Versioned[sesamemodel.Cell]{
			cell.With(cell.Value.WithAllocations(sesamemodel.Allocation{
				Job:     job.ID,
				Attempt: placed.Attempt,
				Target:  "w1",
				Tasks:   1,
			})),
		},
	}))
	return job.ID
}
