package sesameintake_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesameintake"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// publish writes the planner's summary, by which a new job waits for a minute, and
// lets the intake read it.
func (w *intakeWorld) publish(units int) {
	is := is.New(w.t)
	_, page, err := sesamerows.ReadRow(context.Background(), w.memory, guardKey)
	is.NoErr(err)
	value, err := json.Marshal(sesamework.Summary{
		At: page.Now.Milliseconds(),
		Queues: map[string]sesamework.QueueLoad{
			"queue": {
				Wait:  60_000,
				Least: 5_000,
			},
		},
		Units: units,
		Bound: 100,
	})
	is.NoErr(err)
	_, err = w.memory.Commit(context.Background(), sesamerows.Transaction{
		Writes: []sesamerows.Write{{
			Key:   sesamework.SummaryKey(),
			Value: value,
		}},
	})
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
}

// submitTo submits a job of 5 s to the queue with that priority, in which a job
// should end within 16 s. The guarantee is 8 accelerators.
func (w *intakeWorld) submitTo(priority int, job sesamework.Job) error {
	admission, err := w.intake.Admit("host", "/queue/", "key1")
	is.New(w.t).NoErr(err)
	admission.Queue.Terms = sesamework.Terms{
		Priority: priority,
		Stretch:  3,
		Latency:  1000,
	}
	policy := *admission.Policy
	policy.Teams = []sesamework.Team{{
		Name:       "team",
		Guaranteed: 8,
	}}
	admission.Policy = &policy
	job.Digest = job.ID
	if job.Steps == nil {
		job.Steps = []sesamework.Step{{
			Count:    10,
			Estimate: 5000,
			Need: sesamework.Resources{
				Accelerators: 8,
			},
		}}
	}
	return w.intake.Submit(context.Background(), admission, job, "specification")
}

// TestCheckLoad guards against a 503 for work that is stored, may be owed or needs
// no room soon, and against submissions that are written although they are hopeless.
func TestCheckLoad(t *testing.T) {
	subtest := func(name string, units int, test func(is *is.I, w *intakeWorld)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newIntakeWorld(t)
				is := is.New(t)
				is.NoErr(w.submitTo(1, sesamework.Job{ID: "before"}))
				w.publish(units)
				test(is, w)
			})
		})
	}
	subtest("hopeless job", 10, func(is *is.I, w *intakeWorld) {
		var overloaded *sesameintake.OverloadedError
		is.True(errors.As(w.submitTo(1, sesamework.Job{ID: "a"}), &overloaded))
		is.Equal(overloaded.RetryAfter, 17*time.Second)
		is.True(!w.isStored("a"))
		is.NoErr(w.submitTo(1, sesamework.Job{ID: "before"})) // accepted already
		is.NoErr(w.submitTo(0, sesamework.Job{ID: "owed"}))
		is.NoErr(w.submitTo(1, sesamework.Job{ID: "recurring", Recurrences: 1}))
		time.Sleep(3 * time.Second)
		is.NoErr(w.submitTo(1, sesamework.Job{ID: "a"})) // the summary is old
	})
	subtest("job that another entry accepted", 10, func(is *is.I, w *intakeWorld) {
		// The feed brings no states, so that this entry doesn't know the job.
		_, err := w.memory.Commit(context.Background(), sesamerows.Transaction{
			Writes: []sesamerows.Write{{
				Key:   sesamework.JobKey("b"),
				Value: []byte(`{"id":"b","digest":"b"}`),
			}},
		})
		is.NoErr(err)
		is.NoErr(w.submitTo(1, sesamework.Job{ID: "b"}))
	})
	subtest("store doesn't tell whether the job is stored", 10, func(is *is.I, w *intakeWorld) {
		w.rows.SetFault(func(write bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				Refused: !write,
			}
		})
		is.NoErr(w.submitTo(1, sesamework.Job{ID: "c"}))
	})
	subtest("job with many tasks that wait", 98, func(is *is.I, w *intakeWorld) {
		is.NoErr(w.submitTo(1, sesamework.Job{
			ID:          "wide",
			Recurrences: 1, // its wait doesn't matter
			Steps: []sesamework.Step{{
				Count: 1 << 16,
			}},
		}))
	})
	subtest("planner near its bound", 99, func(is *is.I, w *intakeWorld) {
		recurring := sesamework.Job{
			ID:          "d",
			Recurrences: 1,
		}
		is.True(errors.HasType(w.submitTo(1, recurring), (*sesameintake.OverloadedError)(nil)))
		_, known := w.intake.State(context.Background(), sesameintake.Admission{}, sesamework.SummaryKey().Name)
		is.True(errors.HasType(known, (*sesameintake.JobNotFoundError)(nil))) // it is no job
	})
}
