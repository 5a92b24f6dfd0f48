package sesameintake_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// chainedSteps returns that many steps, each after all earlier ones.
func chainedSteps(count int) []sesamework.Step {
	var steps []sesamework.Step
	var earlier []int
	for i := range count {
		steps = append(steps, sesamework.Step{
			Count: 1,
			After: earlier,
		})
		earlier = append(earlier[:i:i], i)
	}
	return steps
}

// TestJobLargerThanARow guards against a job whose row the store refuses for good
// and whose caller is told to come back: it is refused as invalid, and nothing is
// sent.
func TestJobLargerThanARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIntakeWorld(t)
		w.rows.SetFault(func(write bool) sesamestandin.RowFault {
			is.True(!write)
			return sesamestandin.RowFault{}
		})
		admission, err := w.intake.Admit("host", "/queue/job", "key1")
		is.NoErr(err)
		err = w.intake.Submit(context.Background(), admission, sesamework.Job{
			ID:    "job",
			Steps: chainedSteps(256),
		}, "text")
		is.True(errors.HasType(err, (*sesamework.InvalidError)(nil)))
		is.True(!w.isStored("job"))
	})
}

// TestManySteps accepts a job that just fits.
func TestManySteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIntakeWorld(t)
		admission, err := w.intake.Admit("host", "/queue/job", "key1")
		is.NoErr(err)
		is.NoErr(w.intake.Submit(context.Background(), admission, sesamework.Job{
			ID:    "job",
			Steps: chainedSteps(100),
		}, "text"))
		is.True(w.isStored("job"))
		row, _, err := sesamerows.ReadRow(context.Background(), w.memory, sesamework.JobKey("job"))
		is.NoErr(err)
		is.True(len(row.Value) > sesamerows.MaxValueBytes/8)
	})
}
