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

// NewFinisher returns a finisher; it uses neither the dialer nor the grace.
func NewFinisher(o Options) *Finisher {
	return &Finisher{
		options: o,
	}
}

// Finish records one report. After an error the agent repeats it; a report
// for an attempt that is over is answered as recorded.
func (f *Finisher) Finish(ctx context.Context, req *sesamewire.FinishRequest) (*sesamewire.FinishReply, error) {
	id := sesamemodel.JobID(req.GetId().GetJob())
	var before sesamemodel.Job
	after, err := f.options.Rows.UpdateJob(ctx, id, func(job sesamemodel.Job) (sesamemodel.Job, bool) {
		before = job
		return f.conclude(job, req)
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
	f.emitOutcome(after)
	return &sesamewire.FinishReply{
		Recorded: true,
	}, nil
}

// conclude decides what the report makes of the job. An unknown outcome is
// replaced by what the agent turns out to know.
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

// memberReports orders the reports by the job's assignments. A member without
// a report is still running for all that is known.
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

func requeueReason(req *sesamewire.FinishRequest) string {
	for _, r := range req.GetReports() {
		if r.GetDetail() != "" {
			return r.GetDetail()
		}
	}
	return "a member of the gang was lost"
}

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
