package sesamegang

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// settledProgress are the kinds of progress after which a member never runs again.
var settledProgress = []sesamewire.Progress{
	sesamewire.Progress_PROGRESS_NEVER,
	sesamewire.Progress_PROGRESS_DONE,
	sesamewire.Progress_PROGRESS_FAILED,
	sesamewire.Progress_PROGRESS_STOPPED,
}

// drawReports returns n reports of any progress, with or without a lost target.
func drawReports(t *rapid.T, n int) []Report {
	reports := make([]Report, n)
	for i := range reports {
		reports[i].TargetLost = rapid.Bool().Draw(t, "target lost")
		reports[i].Progress = rapid.SampledFrom(append([]sesamewire.Progress{
			sesamewire.Progress_PROGRESS_UNSPECIFIED,
			sesamewire.Progress_PROGRESS_RUNNING,
			sesamewire.Progress_PROGRESS_UNKNOWN,
		}, settledProgress...)).Draw(t, "progress")
	}
	return reports
}

// failJob is a retry policy without retries: the first failed attempt fails the
// job.
func failJob(job sesamemodel.Job, _ []sesamemodel.TargetID, detail string) sesamemodel.Job {
	return job.WithEvent(time.Unix(1000, 0), sesamemodel.Failed, detail)
}

// noneStarted reports whether all members reported that they never started.
func noneStarted(reports []Report) bool {
	for _, r := range reports {
		if r.Progress != sesamewire.Progress_PROGRESS_NEVER {
			return false
		}
	}
	return true
}

// TestConclude checks what becomes of a job for any reports of its members.
func TestConclude(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("a job that must not be repeated never runs again once it may have started", rapid.MakeCheck(func(t *rapid.T) {
		is := is.New(t)
		n := rapid.IntRange(1, 4).Draw(t, "members")
		job := sesamemodel.Job{
			Spec: sesamemodel.Spec{
				AtMostOnce: true,
			},
			State:       sesamemodel.Stopping,
			Attempt:     1,
			Started:     true,
			Next:        rapid.SampledFrom([]sesamemodel.State{sesamemodel.Queued, sesamemodel.Cancelled}).Draw(t, "next"),
			Assignments: make([]sesamemodel.Assignment, n),
		}
		reports := drawReports(t, n)
		after, settled := Conclude(now, job, reports, failJob)
		if !settled {
			is.Equal(after.State, sesamemodel.Stopping)
			return
		}
		if after.State == sesamemodel.Queued || !after.Started {
			is.True(noneStarted(reports)) // queued again or marked as not started only when no member started
		}
	}))
	t.Run("an attempt is done only when every member is done", rapid.MakeCheck(func(t *rapid.T) {
		is := is.New(t)
		n := rapid.IntRange(1, 4).Draw(t, "members")
		job := sesamemodel.Job{
			Spec: sesamemodel.Spec{
				AtMostOnce: rapid.Bool().Draw(t, "once"),
			},
			State:       sesamemodel.Running,
			Started:     true,
			Assignments: make([]sesamemodel.Assignment, n),
		}
		reports := drawReports(t, n)
		after, _ := Conclude(now, job, reports, failJob)
		done := true
		for _, r := range reports {
			done = done && r.Progress == sesamewire.Progress_PROGRESS_DONE
		}
		is.Equal(after.State == sesamemodel.Done, done)
	}))
	t.Run("the retry policy gets the targets on which a repeatable job failed", func(t *testing.T) {
		is := is.New(t)
		job := sesamemodel.Job{
			State:   sesamemodel.Running,
			Started: true,
			Assignments: []sesamemodel.Assignment{
				{
					Target: "w1",
				},
			},
		}
		reports := []Report{
			{
				Progress: sesamewire.Progress_PROGRESS_FAILED,
				Detail:   "exit 1",
			},
		}
		var failedOn []sesamemodel.TargetID
		_, settled := Conclude(now, job, reports, func(job sesamemodel.Job, on []sesamemodel.TargetID, _ string) sesamemodel.Job {
			failedOn = on
			return job
		})
		is.True(settled)
		is.Equal(failedOn, []sesamemodel.TargetID{"w1"})
	})
}
