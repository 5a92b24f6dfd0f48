package sesamestore

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametable"
)

// TestJobIDFor checks that a job's ID shows its region and its team, and that
// different pairs of team and key have different IDs.
func TestJobIDFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[ -~]{1,8}`)
		region := rapid.StringMatching(`[a-z0-9-]{1,8}`).Draw(t, "region")
		team, other := sesamemodel.TeamID(text.Draw(t, "team")), sesamemodel.TeamID(text.Draw(t, "other"))
		key, another := text.Draw(t, "key"), text.Draw(t, "another")
		id := JobIDFor(region, team, key)
		if !ValidJobID(region, id) || RegionOf(id) != region || !OwnedBy(id, team) {
			t.Fatalf("%q is not a name of team %q in region %q", id, team, region)
		}
		if OwnedBy(id, other) != (team == other) {
			t.Fatalf("%q of team %q is reported as owned by team %q", id, team, other)
		}
		if same := id == JobIDFor(region, other, another); same != (team == other && key == another) {
			t.Fatalf("%q/%q and %q/%q have the same name: %v", team, key, other, another, same)
		}
		if found, ok := JobOfKey(OpenKey(id)); !ok || found != id {
			t.Fatalf("key of %q names %q", id, found)
		}
	})
}

// submitAndEnd submits the job and ends it in that state.
func submitAndEnd(is *is.I, store *Store, job sesamemodel.Job, state sesamemodel.State) {
	is.Helper()
	is.NoErr(store.Submit(context.Background(), job))
	row, err := store.Job(context.Background(), job.ID)
	is.NoErr(err)
	ended := row.Value
	ended.State = state
	is.NoErr(store.Update(context.Background(), Batch{
		Jobs: []Versioned[sesamemodel.Job]{row.With(ended)},
	}))
}

// TestStore checks which rows a job has while it is open and once it has ended.
func TestStore(t *testing.T) {
	fixture := func(t *testing.T) (*is.I, *Store, sesamemodel.Job) {
		table := sesamestandin.NewStore(clockwork.NewFakeClock())
		job := sesamemodel.Job{
			ID:    JobIDFor("east", "cork", "k1"),
			State: sesamemodel.Queued,
		}
		return is.New(t), New(table, table), job
	}
	t.Run("finds an ended job and no open one", func(t *testing.T) {
		is, store, job := fixture(t)
		submitAndEnd(is, store, job, sesamemodel.Cancelled)
		found, err := store.Job(context.Background(), job.ID)
		is.NoErr(err)
		is.Equal(found.Value.State, sesamemodel.Cancelled)
		open, err := store.TeamJobs(context.Background(), "east", "cork")
		is.NoErr(err)
		is.Equal(len(open), 0)
	})
	t.Run("creates no job whose name was ever used", func(t *testing.T) {
		is, store, job := fixture(t)
		submitAndEnd(is, store, job, sesamemodel.Done)
		var conflict *sesametable.ConflictError
		is.True(errors.As(store.Submit(context.Background(), job), &conflict))
	})
	t.Run("reads a team's open jobs and no other's", func(t *testing.T) {
		is, store, job := fixture(t)
		is.NoErr(store.Submit(context.Background(), job))
		job.ID = JobIDFor("east", "mill", "k1")
		is.NoErr(store.Submit(context.Background(), job))
		open, err := store.TeamJobs(context.Background(), "east", "mill")
		is.NoErr(err)
		is.Equal(len(open), 1)
		is.Equal(open[0].Value.ID, job.ID)
	})
}
