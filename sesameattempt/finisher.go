package sesameattempt

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesametable"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// Finisher records the outcomes of attempts that agents report.
type Finisher struct {
	options Options
}

// NewFinisher returns a finisher. It uses neither Dialer nor Grace of the
// options.
func NewFinisher(o Options) *Finisher {
	return &Finisher{
		options: o,
	}
}

// Finish records the outcome in one report. After an error the agent repeats
// the report. A report for an attempt that is over, or for a job that no longer
// exists, is answered as recorded.
func (f *Finisher) Finish(ctx context.Context, req *sesamewire.FinishRequest) (*sesamewire.FinishReply, error) {
	id := sesamemodel.JobID(req.GetId().GetJob())
	var before sesamemodel.Job
	changed := false
	after, err := f.options.Rows.UpdateJob(ctx, id, func(job sesamemodel.Job) (sesamemodel.Job, bool) {
		before = job
		var next sesamemodel.Job
		next, changed = f.conclude(job, req)
		return next, changed
	})
	var missing *sesametable.NotFoundError
	if errors.As(err, &missing) {
		return &sesamewire.FinishReply{
			Recorded: true,
		}, nil
	}
	if err != nil {
		return nil, err
	}
	f.options.OnChange(before, after)
	if changed {
		f.emitOutcome(after)
	}
	return &sesamewire.FinishReply{
		Recorded: true,
	}, nil
}

// conclude applies the report to the job; false means no change. An outcome
// that was recorded as unknown is replaced once a later report shows that the
// job is done or failed.
func (f *Finisher) conclude(job sesamemodel.Job, req *sesamewire.FinishRequest) (sesamemodel.Job, bool) {
	if job.Attempt != req.GetId().GetAttempt() || !job.Started {
		return job, false
	}
	if !job.State.Active() && job.State != sesamemodel.Unknown {
		return job, false
	}
	reports := memberReports(job, req)
	now := f.options.Clock.Now()
	next, settled := sesamegang.Conclude(now, job, reports, f.options.RetryPolicy)
	if job.State == sesamemodel.Unknown {
		known := next.State == sesamemodel.Done || next.State == sesamemodel.Failed
		return next, settled && known
	}
	if settled {
		return next, true
	}
	if job.State == sesamemodel.Stopping {
		return job, false
	}
	return job.WithStop(now, sesamemodel.Queued, requeueReason(req)), true
}

// memberReports returns the members' reports in the order of the job's
// assignments. A member without a report has an empty one, which counts as
// still running.
func memberReports(job sesamemodel.Job, req *sesamewire.FinishRequest) []sesamegang.Report {
	reports := make([]sesamegang.Report, len(job.Assignments))
	for _, r := range req.GetReports() {
		i := int(r.GetMember())
		if i < 0 || i >= len(reports) {
			continue
		}
		reports[i] = sesamegang.Report{
			Progress: r.GetProgress(),
			Detail:   r.GetDetail(),
			Results:  resultsFromWire(r.GetResults()),
		}
	}
	return reports
}

// requeueReason returns the first detail that a member reported, or a general
// reason.
func requeueReason(req *sesamewire.FinishRequest) string {
	for _, r := range req.GetReports() {
		if r.GetDetail() != "" {
			return r.GetDetail()
		}
	}
	return "a member of the gang was lost"
}

// emitOutcome logs the job's state after a report that changed it and, if the
// job is done, records the time since it was submitted.
func (f *Finisher) emitOutcome(job sesamemodel.Job) {
	f.options.Log.Emit(eventOutcomeRecorded, sesamelog.Fields{
		"job":     job.ID,
		"attempt": job.Attempt,
		"state":   job.State,
		"reason":  job.Reason,
	})
	if job.State == sesamemodel.Done {
		JobScope(f.options.Scope, job).Timer("submit_to_done").Record(f.options.Clock.Since(job.Submitted))
	}
}
