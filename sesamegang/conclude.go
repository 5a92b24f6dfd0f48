package sesamegang

import (
	"fmt"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// RetryPolicy decides what happens to a job that may run more than once (not
// AtMostOnce) and whose tasks failed on the targets failedOn: it returns the job
// queued for another attempt, or failed. detail says how the attempt failed, for
// the reason of the returned job.
type RetryPolicy func(job sesamemodel.Job, failedOn []sesamemodel.TargetID, detail string) sesamemodel.Job

// Report is what is known of one member of an attempt, its part on one target.
type Report struct {
	// Progress is how far the member came or how it ended, as its agent last
	// reported it; unspecified when the agent has reported nothing.
	Progress sesamewire.Progress
	// Detail says why the member ended so.
	Detail string
	// Results describe the outputs of the tasks of a member that is done.
	Results []sesamemodel.Result
	// TargetLost is true when the target was lost, which is declared only after
	// its lease has ended.
	TargetLost bool
}

// settled reports whether the member does not run and never will again. A member
// whose target was lost has settled, though its outcome may not be known.
func (r Report) settled() bool {
	switch r.Progress {
	case sesamewire.Progress_PROGRESS_NEVER,
		sesamewire.Progress_PROGRESS_DONE,
		sesamewire.Progress_PROGRESS_FAILED,
		sesamewire.Progress_PROGRESS_STOPPED:
		return true
	}
	return r.TargetLost
}

// outcomeUnknown reports whether the target was lost before the member reported
// an end, so that nobody can tell if its tasks completed.
func (r Report) outcomeUnknown() bool {
	return r.TargetLost && r.Progress != sesamewire.Progress_PROGRESS_NEVER &&
		r.Progress != sesamewire.Progress_PROGRESS_DONE &&
		r.Progress != sesamewire.Progress_PROGRESS_FAILED &&
		r.Progress != sesamewire.Progress_PROGRESS_STOPPED
}

// tally counts the members of one attempt by their reports.
type tally struct {
	members int
	// settled counts the members that do not run and never will again.
	settled int
	// neverStarted, done and failed count the members whose agents reported
	// that end.
	neverStarted int
	done         int
	failed       int
	// unknown counts the members whose outcome nobody can tell.
	unknown int
	// detail is the first detail that a failed member gave.
	detail string
	// failedOn are the targets of the failed members.
	failedOn []sesamemodel.TargetID
	// results are those of all done members.
	results []sesamemodel.Result
}

// countReports returns the tally of the reports, which are in the order of the
// job's assignments.
func countReports(job sesamemodel.Job, reports []Report) tally {
	t := tally{
		members: len(job.Assignments),
	}
	for i, r := range reports {
		if r.settled() {
			t.settled++
		}
		if r.outcomeUnknown() {
			t.unknown++
		}
		switch r.Progress {
		case sesamewire.Progress_PROGRESS_NEVER:
			t.neverStarted++
		case sesamewire.Progress_PROGRESS_DONE:
			t.done++
			t.results = append(t.results, r.Results...)
		case sesamewire.Progress_PROGRESS_FAILED:
			t.failed++
			t.failedOn = append(t.failedOn, job.Assignments[i].Target)
			if t.detail == "" {
				t.detail = r.Detail
			}
		}
	}
	return t
}

// Conclude returns the job after the end of its attempt, and true. It decides by
// the reports of the members: one for each of the job's assignments, in the same
// order. While a member may still run, it returns the job unchanged and false.
func Conclude(now time.Time, job sesamemodel.Job, reports []Report, retry RetryPolicy) (sesamemodel.Job, bool) {
	if !job.Started {
		return concludeUnstarted(now, job), true
	}
	t := countReports(job, reports)
	if t.settled < t.members {
		return job, false
	}
	if t.done == t.members {
		return job.WithResults(now, t.results), true
	}
	if t.neverStarted == t.members {
		job.Started = false
		return concludeUnstarted(now, job), true
	}
	if job.Spec.AtMostOnce {
		return concludeOnce(now, job, t), true
	}
	return concludeRepeatable(now, job, t, retry), true
}

// concludeUnstarted ends an attempt of which no member was ever started. The job
// is cancelled or failed if that was the reason for the stop, else queued again.
func concludeUnstarted(now time.Time, job sesamemodel.Job) sesamemodel.Job {
	if job.Next == sesamemodel.Cancelled || job.Next == sesamemodel.Failed {
		return job.WithEvent(now, job.Next, job.Reason)
	}
	return job.WithRequeue(now, job.Reason)
}

// concludeOnce ends a started attempt of a job that must not run twice. When it
// is not certain how the attempt ended, the job's state becomes unknown.
func concludeOnce(now time.Time, job sesamemodel.Job, t tally) sesamemodel.Job {
	switch {
	case t.unknown > 0:
		reason := fmt.Sprintf("%d of %d targets were lost after the start; the outcome is not known", t.unknown, t.members)
		return job.WithEvent(now, sesamemodel.Unknown, reason)
	case t.failed > 0:
		return job.WithEvent(now, sesamemodel.Failed, t.detail)
	case job.Next == sesamemodel.Cancelled:
		return job.WithEvent(now, sesamemodel.Cancelled, "stopped after it had started")
	}
	reason := fmt.Sprintf("stopped after it had started (%s); the outcome is not known", job.Reason)
	return job.WithEvent(now, sesamemodel.Unknown, reason)
}

// concludeRepeatable ends a started attempt of a job that may run again. Without
// a failed member the job is queued again; otherwise the retry policy decides.
func concludeRepeatable(now time.Time, job sesamemodel.Job, t tally, retry RetryPolicy) sesamemodel.Job {
	if job.Next == sesamemodel.Cancelled {
		return job.WithEvent(now, sesamemodel.Cancelled, "stopped after it had started")
	}
	if t.failed == 0 {
		return job.WithRequeue(now, job.Reason)
	}
	return retry(job, t.failedOn, t.detail)
}
