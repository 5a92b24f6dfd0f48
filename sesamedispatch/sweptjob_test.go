package sesamedispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// wideJob returns the row of a job with that many tasks, and those of their runs
// and ends, all done on the target.
func wideJob(is *is.I, id string, tasks int, target sesamework.Target) []sesamerows.Row {
	var job sesamework.Job
	row := jobFillingTarget(id, 1)
	is.NoErr(json.Unmarshal(row.Value, &job))
	job.Steps[0].Count = tasks
	row.Value = encode(job)
	rows := []sesamerows.Row{row}
	targetKey := targetRow(target, 0).Key
	for i := range tasks {
		task := sesamework.TaskID{
			Job:   id,
			Index: i,
		}
		run := sesamework.Run{
			Number: 1,
			Members: []sesamework.Member{{
				Index:  i,
				Target: targetKey.Name,
				Zone:   target.Zone,
				Life:   target.Life,
			}},
		}
		end := sesamework.End{
			Outcome: sesamework.EndDone,
			Target:  targetKey.Name,
			Life:    target.Life,
		}
		rows = append(rows, sesamerows.Row{
			Key:   sesamework.RunKey(sesamework.UnitID(task), target.Zone),
			Value: encode(run),
		}, sesamerows.Row{
			Key:   sesamework.EndKey(targetKey, task, 1),
			Value: encode(end),
		})
	}
	return append(rows, sesamerows.Row{
		Key: sesamework.StateKey(sesamework.PlanPart, id),
		Value: encode(sesamework.JobStatus{
			State: sesamework.JobCompleted,
		}),
	})
}

// newSweptFixture completes a job with that many tasks, removes rows of it in one
// sweep after its retention, and replaces the planner.
func newSweptFixture(t *testing.T, tasks int) *termFixture {
	target := newTarget("a")
	f := newTermFixture(t, targetRow(target, 0))
	f.write(wideJob(f.is, "job", tasks, target)...)
	f.replacePlanner(f.memory)
	f.is.Equal(f.term.view.jobs["job"].published, sesamework.JobCompleted)
	f.clock.Advance(endedJobRetention + 1)
	f.write(targetRow(target, 0))
	f.term.view.now = f.term.now()
	f.is.NoErr(f.term.sweep(t.Context()))
	f.replacePlanner(f.memory)
	return f
}

// TestSweptJobStartsAgain replaces the planner between the sweeps of a completed
// job, for jobs around the size that one sweep removes.
func TestSweptJobStartsAgain(t *testing.T) {
	for tasks := maxSweepRows/2 - 4; tasks <= maxSweepRows/2+1; tasks++ {
		f := newSweptFixture(t, tasks)
		f.is.Equal(len(f.term.view.Decide(f.term.now()).Starts), 0)
	}
}

// TestSweptEndOfWantedRun sweeps a part of a completed job's rows. A run must not
// stay ordered without its end: a new agent would start it again, and a new
// planner would count it as active.
func TestSweptEndOfWantedRun(t *testing.T) {
	f := newSweptFixture(t, maxSweepRows)
	f.is.Equal(f.term.view.jobs["job"].published, sesamework.JobCompleted)
	f.is.True(!f.term.view.jobs["job"].isActive())
}

// TestSweepWhileBusy guards against jobs that stay in the store and in each planner's
// memory for as long as there is something to decide, which may be always.
func TestSweepWhileBusy(t *testing.T) {
	const ended = 100
	target := newTarget("a")
	f := newTermFixture(t, targetRow(target, 0))
	for i := range ended {
		f.write(wideJob(f.is, fmt.Sprint("old-", i), 1, target)...)
	}
	f.write(jobWithSteps("wide", 10_000))
	f.replacePlanner(f.memory)
	r := newRunner(f)
	f.clock.Advance(endedJobRetention)
	for range 100 {
		f.clock.Advance(100 * time.Millisecond)
		f.write(targetRow(target, 0))
		f.decide(1)
		r.end(isDone)
		f.followOnce()
	}
	f.is.Equal(len(r.starts), 99*64) // the first decision has no report to go by, each other one starts some
	f.is.Equal(len(f.term.view.jobs), 1)
}
